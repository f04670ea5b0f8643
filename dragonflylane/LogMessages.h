#pragma once

// Value types of the replicated log: members, entries, snapshots and the messages between replicas. LogWire.h encodes
// them, LogReplica.h implements the protocol. Fields have the names of wire/log.thrift unless a comment says otherwise.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflylane {

/// Identity of a replica with its disk: host id plus a random suffix. A host that lost its disk gets a new id, so votes
/// and acknowledgements given before the loss are never attributed to the empty disk.
using ReplicaId = StrongString<struct ReplicaIdTag>;

/// A replica and the host that runs it.
struct LogMember {
    ReplicaId id;
    HostId host;

    auto operator<=>(const LogMember&) const = default;
    bool operator==(const LogMember&) const = default;
};

/// The members of the log. Voters form quorums; learners receive the log and become voters once they have caught up.
struct LogMembership {
    std::vector<LogMember> voters;
    std::vector<LogMember> learners;

    bool operator==(const LogMembership&) const = default;
};

/// Content of an entry.
enum class LogEntryKind : uint8_t {
    /// No content; appended by a new leader so that it can commit an entry of its term.
    Empty,
    /// A command of the application, in `payload`.
    Command,
    /// A new membership, in `membership`.
    Membership,
};

/// One entry of the log. (index, term) identifies it.
struct LogEntry {
    LogIndex index;
    Term term;
    LogEntryKind kind { LogEntryKind::Empty };
    std::string payload;
    LogMembership membership;

    bool operator==(const LogEntry&) const = default;
};

/// State of the application after the entry `index`, which replaces all entries up to it.
struct LogSnapshot {
    LogIndex index;
    Term term;
    LogMembership membership;
    std::string data;

    bool operator==(const LogSnapshot&) const = default;
};

/// Raft's persistent term and vote.
struct LogHardState {
    Term term;
    /// Empty if no vote was given in the term.
    ReplicaId votedFor;

    bool operator==(const LogHardState&) const = default;
};

/// Requests a vote. With `preVote` it only asks whether a vote would be granted in `term`; the recipient's state does
/// not change.
struct LogVoteRequest {
    bool preVote { false };
    LogIndex lastIndex;
    Term lastTerm;

    bool operator==(const LogVoteRequest&) const = default;
};

struct LogVoteResponse {
    bool preVote { false };
    bool granted { false };

    bool operator==(const LogVoteResponse&) const = default;
};

/// Entries that follow (previousIndex, previousTerm). A heartbeat if there are none.
struct LogAppendRequest {
    LogIndex previousIndex;
    Term previousTerm;
    std::vector<LogEntry> entries;
    LogIndex commitIndex;
    /// Time of sending on the leader's clock; returned in the response.
    TimePoint askedAt;
    /// Time since LogReplica::quorumProvenAt() at the time of sending; absent if the leader has no such time.
    std::optional<Duration> proofAge;
    /// Latest `sentAt` received from the follower, and the follower's boot ID at that time (`echoLife` on the wire).
    uint64_t echoBootId { 0 };
    std::optional<TimePoint> echo;

    bool operator==(const LogAppendRequest&) const = default;
};

/// A response in the leader's term proves only that the follower had seen no higher term when it sent the response.
/// `matchIndex` covers only synced entries.
struct LogAppendResponse {
    bool accepted { false };
    LogIndex matchIndex;
    /// If not accepted: term of the conflicting entry and the first index of that term. If the follower's log is too
    /// short: zero and the index after its last entry.
    Term conflictTerm;
    LogIndex conflictIndex;
    TimePoint askedAt;
    /// Random number drawn at the start of the follower's process (`life` on the wire). Distinguishes its timestamps
    /// from those of earlier boots.
    uint64_t bootId { 0 };
    /// Time of sending on the follower's clock.
    TimePoint sentAt;

    bool operator==(const LogAppendResponse&) const = default;
};

/// One chunk of a snapshot.
struct LogSnapshotRequest {
    LogIndex index;
    Term snapshotTerm;
    LogMembership membership;
    uint64_t offset { 0 };
    uint64_t totalBytes { 0 };
    std::string data;
    TimePoint askedAt;

    bool operator==(const LogSnapshotRequest&) const = default;
};

struct LogSnapshotResponse {
    LogIndex index;
    uint64_t receivedBytes { 0 };
    TimePoint askedAt;
    /// As in LogAppendResponse.
    uint64_t bootId { 0 };
    TimePoint sentAt;

    bool operator==(const LogSnapshotResponse&) const = default;
};

/// Sent to all control hosts by a replica that is not a voter in its own latest membership. The leader starts to
/// replicate to it, so that it can replace the member of the same host or, with automatic voters, become a new member.
struct LogJoinRequest {
    /// The sender has no entry and no snapshot; with fixed voters also no term and no vote.
    bool isEmpty { false };
    /// Replicas from which the sender has received a join request. Used to bootstrap a log with fixed voters.
    std::vector<ReplicaId> heard;
    /// The sender may take part in the bootstrap of a log with automatic voters.
    bool mayFound { false };

    bool operator==(const LogJoinRequest&) const = default;
};

/// A message between replicas.
struct LogMessage {
    LogMember sender;
    /// Empty if addressed to whichever replica runs on the host.
    ReplicaId recipient;
    Term term;
    std::variant<LogVoteRequest, LogVoteResponse, LogAppendRequest, LogAppendResponse, LogSnapshotRequest,
        LogSnapshotResponse, LogJoinRequest>
        body;

    bool operator==(const LogMessage&) const = default;
};

/// One atomic change of the durable log, applied in this order: hard state, truncation, snapshot, entries.
struct LogWrite {
    std::optional<LogHardState> hardState;
    /// Remove the entries from this index on.
    std::optional<LogIndex> truncateFrom;
    /// Replaces all entries up to its index.
    std::optional<LogSnapshot> snapshot;
    std::vector<LogEntry> entries;

    bool isEmpty() const { return !hardState && !truncateFrom && !snapshot && entries.empty(); }
    bool operator==(const LogWrite&) const = default;
};

/// The state that a replica reads from its data folder at the start.
struct RecoveredLog {
    ReplicaId replicaId;
    LogHardState hardState;
    LogSnapshot snapshot;
    /// Contiguous, starting at snapshot.index + 1.
    std::vector<LogEntry> entries;

    bool operator==(const RecoveredLog&) const = default;
};

} // namespace dragonflylane
