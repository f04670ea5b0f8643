#pragma once

// Values of the replicated log: members, entries, snapshots and the messages between replicas. The wire format is in
// LogWire.h, the decisions are in LogReplica.h.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflylane {

/// One life of a replica's disk: host id plus a random suffix. A host that lost its disk returns under a new id, so
/// votes and acknowledgements given before the loss are never attributed to the empty disk.
using ReplicaId = StrongString<struct ReplicaIdTag>;

/// A replica and the host that runs it.
struct LogMember {
    ReplicaId id;
    HostId host;

    auto operator<=>(const LogMember&) const = default;
    bool operator==(const LogMember&) const = default;
};

/// The replicas that take part. Voters form quorums; learners receive the log and become voters once they have caught
/// up.
struct LogMembership {
    std::vector<LogMember> voters;
    std::vector<LogMember> learners;

    bool operator==(const LogMembership&) const = default;
};

/// What an entry contains.
enum class LogEntryKind : uint8_t {
    /// Nothing; the first entry of a leader's term.
    Empty,
    /// A payload for the application.
    Command,
    /// A new membership.
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

/// The promises of a replica that must survive a restart.
struct LogHardState {
    Term term;
    /// Empty if no vote was given in the term.
    ReplicaId votedFor;

    bool operator==(const LogHardState&) const = default;
};

/// Asks for a vote. With `preVote` it asks only whether a vote would be given in `term`, and changes nothing.
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

/// Entries after (previousIndex, previousTerm), or a heartbeat if there are none.
struct LogAppendRequest {
    LogIndex previousIndex;
    Term previousTerm;
    std::vector<LogEntry> entries;
    LogIndex commitIndex;
    /// Time of sending on the leader's clock; returned in the response.
    TimePoint askedAt;
    /// Age of the leader's proof at the time of sending; absent if the leader has none.
    std::optional<Duration> proofAge;
    /// Latest `sentAt` received from the follower and the life in which it was sent.
    uint64_t echoLife { 0 };
    std::optional<TimePoint> echo;

    bool operator==(const LogAppendRequest&) const = default;
};

/// The response proves only that the follower had seen no higher term; `matchIndex` counts only synced entries.
struct LogAppendResponse {
    bool accepted { false };
    LogIndex matchIndex;
    /// When refused: term of the conflicting entry (zero if the log is too short) and the first index of that term, or
    /// the index after the follower's last entry.
    Term conflictTerm;
    LogIndex conflictIndex;
    TimePoint askedAt;
    /// Number drawn at the start of the follower's process. Distinguishes timestamps of earlier boots.
    uint64_t life { 0 };
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
    uint64_t life { 0 };
    TimePoint sentAt;

    bool operator==(const LogSnapshotResponse&) const = default;
};

/// Sent to all control hosts by a replica that is not a voter as far as it knows. A leader treats it as the claim to
/// replace the member of the same host.
struct LogJoinRequest {
    /// The sender has no term, vote, entry or snapshot.
    bool isEmpty { false };
    /// Replicas from which the sender has received a join request. Used for the first start of a new log.
    std::vector<ReplicaId> heard;
    /// The sender may take part in the first start of the log.
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

/// One atomic change of the durable log. Order: truncation, snapshot, entries.
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

/// What a replica finds in its data folder.
struct RecoveredLog {
    ReplicaId replicaId;
    LogHardState hardState;
    LogSnapshot snapshot;
    /// Contiguous, starting at snapshot.index + 1.
    std::vector<LogEntry> entries;

    bool operator==(const RecoveredLog&) const = default;
};

} // namespace dragonflylane
