#pragma once

// One replica of the log as a state machine without I/O: Raft (Ongaro and Ousterhout 2014) with pre-vote, check-quorum,
// leader leases and single-server membership changes (Ongaro's dissertation).
//
//     LogReplica replica(options, recovered, BootClock::now());
//     replica.receive(message, now);  replica.tick(now);  replica.propose(payload, now, &index);
//     for (LogOutput& output : replica.takeOutputs())
//         ...                          // in this order
//
// What the caller does with each output:
//  * LogSend: sends the message to the host; loss, duplication and reordering are allowed.
//  * LogPersist: writes to the LogStore in the given order, syncs, then calls persisted(token, now). Messages that
//    promise durability are held back until then. After a write error the process must stop.
//  * LogApply: applies a committed entry. Entries come in index order, each once per process start. Only entries of
//    kind Command have a payload.
//  * LogRestore: replaces the application's state; later entries follow.
//  * LogTakeSnapshot: passes the application's state after all applied entries to snapshotTaken().
//  * LogRoleChange: reports a change of role, term or leader. `isReady` becomes true once the leader has committed an
//    entry of its term.
//
// A proposal is committed when LogApply delivers its index with the term that term() had when it was proposed. If the
// index is delivered with another term, the proposal was not committed. After a loss of leadership its outcome is
// uncertain until that index is applied.
//
// Bootstrap with fixed voters: the control host with the lowest id creates the log, with all control hosts as voters,
// once every other control host has sent it a join request that reports an empty disk and lists the replica id of the
// host with the lowest id. A replica that starts with an empty disk later first becomes a learner.
//
// Bootstrap with automatic voters: the bootstrap hosts (at most three, listed in the settings of every replica) hold an
// ordinary election. The winner needs votes from a majority of the bootstrap hosts. The first membership that it writes
// consists of itself and the bootstrap hosts whose replica ids it knows from join requests. Any two majorities share a
// bootstrap host, so at most one log is created.
// The leader then adds control hosts one at a time up to the target, and replaces an unresponsive voter by a replica
// that has caught up.

#include "dragonflylane/LogMessages.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <system_error>

namespace dragonflylane {

/// Options of a replica. Only tests turn the flags at the end off, to show what each mechanism prevents.
struct LogReplicaOptions {
    HostId self {};
    /// All hosts with a replica, including this one (settings section [control], voters). A replica that is not a voter
    /// sends join requests to them. With fixed voters, they are the voters of the first membership.
    std::vector<HostId> controlHosts {};
    Duration heartbeatInterval { std::chrono::milliseconds(100) };
    Duration electionTimeoutMin { std::chrono::milliseconds(600) };
    Duration electionTimeoutMax { std::chrono::milliseconds(1000) };
    Duration joinInterval { std::chrono::milliseconds(500) };

    /// Choose the voters from the control hosts that are alive instead of using all control hosts from the settings.
    bool automaticVoters { false };
    /// Automatic voters: the intended number of voters. Commands are rejected if more than one voter is missing, since
    /// an entry must be on more disks than may be lost at once.
    size_t targetVoters { 5 };
    /// Automatic voters: this replica may take part in the bootstrap of the log. Kept on the disk from the first start
    /// (setting may-found), so that a replica that lost its disk never creates a second log.
    bool canBootstrap { false };
    /// Automatic voters: number of bootstrap hosts, including those that are not known yet; at most three.
    size_t bootstrapHostCount { 0 };
    /// Automatic voters: a voter without contact for this long is replaced by the replica of another host.
    Duration voterReplacementTimeout { std::chrono::milliseconds(1500) };
    /// Automatic voters: a leader that lacks one voter accepts commands once it has led for this long, because the
    /// missing host may take long to start.
    Duration incompleteVotersGrace { std::chrono::milliseconds(1500) };

    /// Seed of the election timeouts and of the boot ID; should differ at each start.
    uint64_t seed { 1 };

    /// Limits of the entries in memory. Proposals beyond them are rejected.
    size_t maxEntriesInMemory { 16384 };
    size_t maxBytesInMemory { 64U << 20 };
    size_t maxPayloadBytes { 512U << 10 };
    /// Limits of the entries or the snapshot chunk in one message. A message may exceed them if it carries only one
    /// entry.
    size_t maxMessageBytes { 512U << 10 };
    size_t maxEntriesPerMessage { 512 };
    /// Largest number of messages with entries in flight to one follower.
    size_t maxInFlightMessages { 8 };
    size_t maxSnapshotBytes { 64U << 20 };
    /// A snapshot is requested after this many applied entries.
    size_t snapshotIntervalEntries { 4096 };
    /// Entries before a snapshot that stay in memory for followers that are slightly behind.
    size_t retainedEntries { 1024 };

    bool preVote { true };
    bool checkQuorum { true };
    bool waitForSync { true };
    /// If false, a replica with a new disk immediately counts as the voter of its host.
    bool learnerBeforeVoter { true };
};

/// Sequence number of a LogPersist output.
using PersistToken = StrongNumber<struct PersistTokenTag>;

enum class LogRole : uint8_t {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
};

struct LogSend {
    HostId host;
    LogMessage message;
};

struct LogPersist {
    PersistToken token;
    LogWrite write;
};

struct LogApply {
    LogEntry entry;
};

struct LogRestore {
    LogSnapshot snapshot;
};

struct LogTakeSnapshot {
    /// Index of the last entry whose LogApply precedes this output.
    LogIndex index;
};

struct LogRoleChange {
    LogRole role { LogRole::Follower };
    Term term;
    /// Empty if no leader is known.
    LogMember leader;
    bool isReady { false };
};

using LogOutput = std::variant<LogSend, LogPersist, LogApply, LogRestore, LogTakeSnapshot, LogRoleChange>;

/// A single-server change of the membership.
struct LogMembershipChange {
    enum class Action : uint8_t {
        /// Adds a learner that becomes a voter once it has caught up.
        Add,
        Remove,
    };
    Action action { Action::Add };
    LogMember member;
};

/// One replica of the log. Not thread-safe.
class LogReplica {
public:
    LogReplica(LogReplicaOptions, RecoveredLog, TimePoint now);

    void receive(const LogMessage&, TimePoint now);
    /// Appends a command. Returns NotLeader; PlanTooLarge; QuorumLost if the entries in memory reach their limits or
    /// too many voters are missing.
    std::error_code propose(std::string payload, TimePoint now, LogIndex* assigned);
    /// Starts a membership change. Returns NotLeader; MembershipChangePending if an earlier change is not finished;
    /// NotFound; InvalidValue.
    std::error_code changeMembership(const LogMembershipChange&, TimePoint now);
    /// Automatic voters: updates the known control hosts and the bootstrap hosts among them.
    void setControlHosts(std::vector<HostId> hosts, std::vector<HostId> bootstrapHosts, TimePoint now);
    /// Reports that the write with this token and all earlier writes are synced.
    void persisted(PersistToken, TimePoint now);
    /// Stores the application's state after entry `index`, which must have been applied. Returns PlanTooLarge if it
    /// exceeds the limit, NotFound if the index is not above the last snapshot or not applied.
    std::error_code snapshotTaken(LogIndex index, std::string data, TimePoint now);
    void tick(TimePoint now);
    TimePoint nextWakeup() const;
    std::vector<LogOutput> takeOutputs();
    bool hasOutputs() const { return !m_outputs.empty(); }

    /// The latest time such that a quorum has responded to requests that this leader sent at or after it. Proves that
    /// this replica was the leader at that time. Absent on replicas that are not leader and before the leader has
    /// committed an entry of its term.
    std::optional<TimePoint> quorumProvenAt() const;
    /// The latest time up to which this replica's state is proven to be complete: it holds everything that was
    /// committed before. A follower derives it from the leader's messages (docs/design.md, 4.3) once it has committed
    /// as much as the leader had; a leader uses quorumProvenAt().
    std::optional<TimePoint> provenAt() const;
    /// True while no other replica can have become leader, so reads at this leader are current.
    bool hasLease(TimePoint now) const;

    /// The leader that this replica follows, or itself if it is the leader. Empty if there was no contact for an
    /// election timeout, or if this replica is the leader but has not committed an entry of its term yet.
    HostId currentLeader(TimePoint now) const;

    LogRole role() const { return m_role; }
    Term term() const { return m_hardState.term; }
    const LogMember& leader() const { return m_leader; }
    LogIndex commitIndex() const { return m_commitIndex; }
    LogIndex lastIndex() const;
    LogIndex firstIndex() const { return LogIndex(m_firstIndex); }
    const ReplicaId& replicaId() const { return m_self.id; }
    /// Latest membership in the log, committed or not.
    const LogMembership& membership() const { return m_memberships.back().membership; }
    bool isVoter() const;

private:
    enum class PeerMode : uint8_t {
        /// The last matching index is unknown, so only one message is in flight.
        Probe,
        /// Messages are pipelined.
        Replicate,
        /// The peer needs entries that are already compacted and receives the snapshot instead.
        Snapshot,
    };

    /// The leader's replication progress for another replica.
    struct Peer {
        LogMember member;
        PeerMode mode { PeerMode::Probe };
        uint64_t nextIndex { 1 };
        uint64_t matchIndex { 0 };
        /// Last index of each message with entries in flight.
        std::deque<uint64_t> inFlight;
        bool probeInFlight { false };
        /// Time at which the leader sent the latest request that the peer responded to; zero if none.
        TimePoint lastAnsweredRequestTime;
        TimePoint lastContactAt;
        /// The peer's boot ID and the latest `sentAt` of that boot. Returned to the peer in append requests.
        uint64_t echoBootId { 0 };
        std::optional<TimePoint> echo;
        uint64_t snapshotIndex { 0 };
        uint64_t snapshotOffset { 0 };
        TimePoint chunkSentAt;
    };

    struct IndexedMembership {
        uint64_t index { 0 };
        LogMembership membership;
    };

    /// A message that is sent once the write with the token is synced.
    struct HeldMessage {
        PersistToken token;
        LogSend send;
    };

    /// A write that persisted() has not reported yet, and the last index of the log after it.
    struct UnsyncedWrite {
        PersistToken token;
        uint64_t lastIndex { 0 };
    };

    /// A time for provenAt() that becomes valid once the commit index reaches `commit`.
    struct PendingProof {
        TimePoint proof;
        uint64_t commit { 0 };
    };

    using Body = decltype(LogMessage::body);

    // Log access.
    uint64_t last() const { return m_firstIndex + m_entries.size() - 1; }
    uint64_t commit() const { return m_commitIndex.value(); }
    std::optional<Term> termAt(uint64_t index) const;
    Term lastTerm() const { return *termAt(last()); }
    const LogEntry& entryAt(uint64_t index) const { return m_entries[index - m_firstIndex]; }
    uint64_t lastIndexUpToTerm(Term) const;
    uint64_t firstIndexOfTerm(Term) const;
    bool isMemoryFull() const;
    void append(LogEntry);
    void appendInCurrentTerm(LogEntryKind, std::string payload, LogMembership);
    void truncate(uint64_t from);
    void compactUpTo(uint64_t upTo);
    void discardLog();
    uint64_t syncedIndex() const;

    // Messages and durability.
    LogSend makeSend(const LogMember& to, Term, Body) const;
    void send(const LogMember& to, Body);
    void sendAfterSync(const LogMember& to, Body);
    bool isSynced(PersistToken) const;
    LogWrite& pendingWrite();
    void setHardState(Term, const ReplicaId& votedFor);

    // Roles.
    void becomeFollower(Term, const LogMember& leader);
    void resetLeaderProgress();
    void becomeLeader();
    void campaign(bool preVote);
    void countVotes();
    void resetElectionTimer();
    void checkLeadership();
    void emitRoleChange();
    bool hasRecentLeaderContact() const;
    bool isUpToDate(const LogVoteRequest&) const;

    // Membership.
    LogMember resolveMember(const LogMember& sender) const;
    bool isMembershipChangePending() const;
    void appendMembership(LogMembership);
    void advanceMembership();
    bool promoteLearner();
    void replaceLostReplica();
    bool addOrReplaceVoter();
    const LogMember* findUnresponsiveVoter() const;
    bool hasEnoughVoters() const;
    void addJoiningPeer(const LogMember& joiner);
    bool isUninitialized() const;
    bool canBootstrapNow() const;
    std::vector<LogMember> knownBootstrapMembers() const;
    std::vector<LogMember> electionVoters() const;
    size_t electionQuorum() const;
    bool isCaughtUp(const Peer&) const;
    bool isUnresponsive(const LogMember&) const;
    void tryBootstrapFixedVoters();
    bool isEmptyDisk() const;
    void sendJoinRequests();
    void updatePeers();

    // Message handlers.
    bool acceptTerm(const LogMessage&);
    void rejectStaleTerm(const LogMessage&);
    void handle(const LogMessage&, const LogVoteRequest&);
    void handle(const LogMessage&, const LogVoteResponse&);
    void handle(const LogMessage&, const LogAppendRequest&);
    void handle(const LogMessage&, const LogAppendResponse&);
    void handle(const LogMessage&, const LogSnapshotRequest&);
    void handle(const LogMessage&, const LogSnapshotResponse&);
    void handle(const LogMessage&, const LogJoinRequest&);
    void answerPreVote(const LogMessage&, const LogVoteRequest&);
    bool followLeader(const LogMessage&);
    bool matchesPrevious(const LogAppendRequest&) const;
    bool appendEntries(const LogMessage&, const LogAppendRequest&);
    void acknowledge(TimePoint askedAt);
    void rejectAppend(const LogAppendRequest&);
    void recordPendingProof(const LogAppendRequest&);
    void promotePendingProofs();
    bool acceptChunk(const LogSnapshotRequest&);
    void installSnapshot(LogSnapshot);

    // Replication by the leader.
    Peer* peerOf(const LogMessage&);
    void recordResponse(Peer&, TimePoint askedAt, uint64_t bootId, TimePoint sentAt);
    void updateMatch(Peer&, uint64_t match);
    void backtrack(Peer&, const LogAppendResponse&);
    void replicate(Peer&, bool heartbeat);
    void replicateAll(bool heartbeat);
    void sendAppend(Peer&, bool withEntries);
    void sendChunk(Peer&);
    void startSnapshot(Peer&);
    void advanceCommit();
    void commitTo(uint64_t index);
    TimePoint quorumRequestTime() const;

    LogReplicaOptions m_options;
    LogMember m_self;
    std::mt19937_64 m_random;
    uint64_t m_bootId { 0 };
    /// Time passed to the latest call.
    TimePoint m_now;

    LogHardState m_hardState;
    LogSnapshot m_snapshot;
    /// At most m_snapshot.index + 1: some entries before the snapshot are retained.
    uint64_t m_firstIndex { 1 };
    Term m_termBeforeFirst;
    std::deque<LogEntry> m_entries;
    size_t m_entryBytes { 0 };
    LogIndex m_commitIndex;
    bool m_snapshotRequested { false };
    /// The membership at the snapshot and all later ones, by index. Never empty.
    std::vector<IndexedMembership> m_memberships;

    LogRole m_role { LogRole::Follower };
    LogMember m_leader;
    /// This replica is the leader and has committed an entry of its term.
    bool m_isReady { false };
    LogRoleChange m_reportedRole;
    TimePoint m_electionDeadline;
    /// Absent on a new disk, since no leader can rely on an earlier response of this replica.
    std::optional<TimePoint> m_leaderContactAt;
    TimePoint m_leaderSince;
    TimePoint m_nextHeartbeat;
    TimePoint m_nextJoin;
    std::set<ReplicaId> m_votes;
    PersistToken m_ownVoteToken;
    std::map<ReplicaId, Peer> m_peers;

    /// Highest index known to match the log of the current term's leader.
    uint64_t m_matchedIndex { 0 };
    uint64_t m_acknowledgedIndex { 0 };
    /// Send time of the latest request from the current term's leader; zero if none.
    TimePoint m_lastRequestTime;
    std::deque<PendingProof> m_pendingProofs;
    /// Latest proof of freshness that this replica obtained as a follower or in an earlier term as the leader.
    std::optional<TimePoint> m_proof;
    std::optional<LogSnapshot> m_incomingSnapshot;
    /// Latest replica of each host that sent a join request.
    std::map<HostId, ReplicaId> m_joinRequesters;
    /// Those of them with an empty disk that have received a join request of this replica.
    std::map<HostId, ReplicaId> m_emptyReplicas;
    /// Automatic voters: replicas with empty disks that sent a join request with `mayFound`, by host.
    std::map<HostId, ReplicaId> m_bootstrapReplicas;
    /// Automatic voters: the hosts that may create the log.
    std::vector<HostId> m_bootstrapHosts;

    /// Changes since the latest LogPersist output; m_lastToken is their token while m_isWriteOpen.
    LogWrite m_write;
    bool m_isWriteOpen { false };
    PersistToken m_lastToken;
    PersistToken m_persistedToken;
    std::deque<UnsyncedWrite> m_unsynced;
    uint64_t m_durableIndex { 0 };
    std::deque<HeldMessage> m_heldMessages;
    std::vector<LogOutput> m_outputs;
};

} // namespace dragonflylane
