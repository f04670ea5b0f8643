#pragma once

// Options, hooks, outputs and counters of Relay.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/RelayMessages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <variant>

namespace dragonflylane {

/// Outcome of the hook `accept`: the error, if any, and what is held afterwards.
struct AcceptResult {
    std::error_code error;
    HeldState held;
};

/// Mechanisms that a test turns off to show the failure that each prevents. All are on in production.
struct RelayMechanisms {
    /// Proof times follow from echoed timestamps instead of the time of receipt.
    bool echoes { true };
    /// Messages with a term lower than one seen are refused.
    bool termCheck { true };
    /// `hasFloor()` needs a proof from after the start.
    bool floor { true };
    bool snapshotLimit { true };
    bool backoff { true };
};

struct RelayOptions {
    HostId self;
    /// A control host has no parent; its state comes from `setLocal` and `setProof`.
    bool isControl { false };
    /// Seed of jitter and session numbers; differs between hosts.
    uint64_t seed { 0 };

    Duration heartbeatInterval { std::chrono::milliseconds(500) };
    /// A daemon whose proof is older selects a new parent.
    Duration freshnessLimit { std::chrono::seconds(2) };
    /// Added to `freshnessLimit` for each level below the heads. When a source goes stale, a whole subtree does at the
    /// same time; the upper levels move first and the others usually become fresh again where they are.
    Duration freshnessGracePerLevel { std::chrono::milliseconds(250) };
    /// Levels beyond this one get no further grace.
    unsigned maxGraceLevels { 4 };
    /// A parent that has sent nothing for this long is left. Two heartbeats and a margin: short enough that the subtree
    /// below stays within `freshnessLimit`.
    Duration parentSilenceLimit { std::chrono::milliseconds(1100) };
    /// A child that has sent nothing for this long is dropped.
    Duration childSilenceLimit { std::chrono::milliseconds(2500) };
    /// Time for connecting to a candidate and for its answer.
    Duration attemptTimeout { std::chrono::milliseconds(750) };
    /// The process counts as paused if no input arrived for this long after the time it asked to be woken.
    Duration pauseLimit { std::chrono::seconds(1) };

    /// Full jitter: the delay before attempt n is uniform in [0, min(backoffCap, backoffBase * 2^n)].
    Duration backoffBase { std::chrono::milliseconds(50) };
    Duration backoffCap { std::chrono::seconds(4) };
    /// Interval at which a daemon whose parent is not its first candidate tries better ones.
    Duration improvementInterval { std::chrono::seconds(30) };
    /// A candidate that announced its departure is skipped for this long.
    Duration leavingPenalty { std::chrono::seconds(30) };
    /// Children that have not moved this long after an orderly leave are dropped.
    Duration leaveTimeout { std::chrono::seconds(5) };

    /// First choices of a relay reach 17 in a fleet of 5,700 (TreePositionTest); the rest is for children of failed
    /// relays. A control host needs room for all heads of the fleet, two for each data centre.
    size_t maxChildren { 32 };
    size_t maxSnapshotsInFlight { 4 };
    /// Hint to a child refused for SnapshotLimit; TooManyChildren gets ten times as much, since children rarely go.
    Duration retryAfter { std::chrono::milliseconds(200) };
    /// Shortest time between two summaries of acknowledgements to the parent.
    Duration ackInterval { std::chrono::milliseconds(250) };
    /// Shortest time between two requests for a snapshot, and before a refused revision is offered again.
    Duration snapshotRequestInterval { std::chrono::seconds(1) };

    /// Payload that brings a child from the given state to the one held. The pair (Revision(0), Digest()) stands for an
    /// empty state and yields a snapshot; so does a pair that is not in the known history. Kind None if there is
    /// nothing newer.
    std::function<RelayPayload(Revision held, Digest)> payloadFor;
    /// Applies a payload as a whole or not at all. A snapshot may replace a state of equal revision.
    std::function<AcceptResult(const RelayPayload&)> accept;

    RelayMechanisms mechanisms;
};

/// Which of the two sessions with a host is meant; a host may be parent and child at once for a short time.
enum class RelayLink : uint8_t {
    /// The own session as a child.
    ToParent,
    /// A session in which the other host is the child.
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

/// Close the connection of a session after the messages before it; no `disconnected` is needed.
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
    /// Why the step was taken.
    std::string reason;
    /// What led to it: a message, a timer or a revision.
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
