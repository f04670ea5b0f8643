#pragma once

// Options, callbacks, outputs and counters of Relay.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/RelayMessages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <variant>

namespace dragonflylane {

/// Result of the callback `accept`: the error, if any, and the state held afterwards.
struct AcceptResult {
    std::error_code error;
    HeldState held;
};

/// Mechanisms that tests turn off to demonstrate the failure that each prevents. All are on in production.
struct RelayMechanisms {
    /// Proof times are derived from echoed timestamps instead of the time of receipt.
    bool echoes { true };
    /// Messages with a term lower than the highest known one are rejected.
    bool termCheck { true };
    /// `isProvenCurrent()` requires a proof from after the start of the process.
    bool proofSinceStart { true };
    bool snapshotLimit { true };
    bool backoff { true };
};

struct RelayOptions {
    HostId self;
    /// A control host has no parent; its state comes from `setLocal` and `setProof`.
    bool isControl { false };
    /// Seed of jitter and session numbers. Must differ between hosts.
    uint64_t seed { 0 };

    Duration heartbeatInterval { std::chrono::milliseconds(500) };
    /// A daemon with an older proof selects a new parent.
    Duration freshnessLimit { std::chrono::seconds(2) };
    /// Added to `freshnessLimit` for each level below level 1. When a relay goes stale, its whole subtree does so at
    /// the same time. With the grace, the upper levels move first, and the lower ones usually become fresh again
    /// without moving.
    Duration freshnessGracePerLevel { std::chrono::milliseconds(250) };
    /// Maximum number of levels for which `freshnessGracePerLevel` is added.
    unsigned maxGraceLevels { 4 };
    /// A parent that has sent nothing for this long is abandoned. Two heartbeats and a margin: short enough for the
    /// subtree to stay within `freshnessLimit`.
    Duration parentTimeout { std::chrono::milliseconds(1100) };
    /// A child that has sent nothing for this long is dropped.
    Duration childTimeout { std::chrono::milliseconds(2500) };
    /// Timeout of an attempt, from connecting to a candidate to its first response.
    Duration attemptTimeout { std::chrono::milliseconds(750) };
    /// The process was paused if there was no call for longer than this after the time returned by `nextWakeup()`.
    Duration pauseLimit { std::chrono::seconds(1) };

    /// Full jitter: the delay before attempt n is uniform in [0, min(backoffCap, backoffBase * 2^n)].
    Duration backoffBase { std::chrono::milliseconds(50) };
    Duration backoffCap { std::chrono::milliseconds(1250) };
    /// Interval at which a daemon tries candidates that it prefers to its parent.
    Duration improvementInterval { std::chrono::seconds(30) };
    /// A candidate that announced its shutdown is skipped for this long.
    Duration leavingPenalty { std::chrono::seconds(30) };
    /// Children that have not moved this long after the start of a graceful shutdown are dropped.
    Duration leaveTimeout { std::chrono::seconds(5) };

    /// Up to 17 daemons have the same relay as first candidate in a fleet of 5,700 (TreePositionTest); the rest is
    /// capacity for children of failed relays. A control host needs capacity for all level-1 members of the fleet, at
    /// least two for each data centre.
    size_t maxChildren { 32 };
    size_t maxSnapshotsInFlight { 4 };
    /// Retry hint to a child refused with SnapshotLimit. The hint with TooManyChildren is ten times as long, since
    /// children rarely leave.
    Duration retryAfter { std::chrono::milliseconds(200) };
    /// Minimum time between two summaries of acknowledgements to the parent.
    Duration ackInterval { std::chrono::milliseconds(250) };
    /// Minimum time between two requests for a snapshot, and before a refused revision is sent again.
    Duration snapshotRequestInterval { std::chrono::seconds(1) };

    /// Returns the payload that brings a child from the given state to the one held. The pair (Revision(0), Digest())
    /// stands for an empty state and yields a snapshot, as does a pair that is not in the known history. Returns kind
    /// None if there is nothing newer.
    std::function<RelayPayload(Revision held, Digest)> payloadFor;
    /// Applies a payload atomically. A snapshot may replace a state of equal revision.
    std::function<AcceptResult(const RelayPayload&)> accept;

    RelayMechanisms mechanisms;
};

/// Selects one of the two sessions with a host, which may be parent and child at the same time for a short while.
enum class RelayLink : uint8_t {
    /// The session in which this host is the child.
    ToParent,
    /// The session in which the other host is the child.
    ToChild,
};

/// Send a message on the connection of the given session.
struct RelaySend {
    HostId to;
    RelayLink link { RelayLink::ToParent };
    RelayMessage message;
};

/// Open a connection to a candidate and report `connected` or `disconnected`.
struct RelayConnect {
    HostId to;
};

/// Close the connection of a session once the messages queued before have been sent. Do not report `disconnected`.
struct RelayDisconnect {
    HostId to;
    RelayLink link { RelayLink::ToParent };
};

/// Entry for the journal of the daemon.
struct RelayEvent {
    enum class Kind : uint8_t {
        ParentSelected,
        ParentLost,
        AttemptFailed,
        ChildAttached,
        ChildRefused,
        ChildLost,
        MessageRefused,
        RevisionApplied,
        RevisionRefused,
        DigestMismatch,
        Resumed,
        Leaving,
    };

    Kind kind { Kind::ParentSelected };
    HostId peer;
    ResultCode code { ResultCode::Ok };
    Revision revision;
    /// Why this happened.
    std::string reason;
    /// What triggered it: a message, a timer or a revision.
    std::string cause;
};

using RelayOutput = std::variant<RelaySend, RelayConnect, RelayDisconnect, RelayEvent>;

struct RelayCounters {
    uint64_t parentsSelected { 0 };
    uint64_t parentsLost { 0 };
    uint64_t attempts { 0 };
    uint64_t attemptsFailed { 0 };
    uint64_t childrenRefused { 0 };
    uint64_t childrenLost { 0 };
    uint64_t staleTerm { 0 };
    uint64_t staleRevision { 0 };
    uint64_t staleSession { 0 };
    uint64_t invalidEcho { 0 };
    uint64_t digestMismatch { 0 };
    uint64_t revisionsApplied { 0 };
    uint64_t revisionsRefused { 0 };
    uint64_t duplicatePayloads { 0 };
    uint64_t deltasSent { 0 };
    uint64_t snapshotsSent { 0 };
    uint64_t snapshotRequests { 0 };
    uint64_t pauses { 0 };
};

} // namespace dragonflylane
