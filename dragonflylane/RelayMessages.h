#pragma once

// Messages between a daemon and its parent in the distribution tree. Times are milliseconds. An absent
// optional field of a parent's heartbeat keeps the value last sent in the session, so that a heartbeat takes a few
// bytes.

#include "dragonflylane/Digest.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflylane {

/// A revision together with the digest of its content.
struct HeldState {
    Revision revision;
    Digest digest;

    bool operator==(const HeldState&) const = default;
};

/// Configuration in transit; the bytes are opaque to the relay.
struct RelayPayload {
    enum class Kind : uint8_t {
        None,
        Delta,
        Snapshot,
    };

    Kind kind { Kind::None };
    std::string bytes;
    /// State after the payload has been applied.
    HeldState to;

    bool operator==(const RelayPayload&) const = default;
};

/// Maximum number of stragglers and of refusals in one summary.
inline constexpr size_t maxNamedHosts = 16;

/// A host that holds an older revision than the relay that reports it.
struct Straggler {
    HostId host;
    Revision held;

    bool operator==(const Straggler&) const = default;
};

/// A revision that a host could not apply.
struct RevisionRefusal {
    HostId host;
    Revision revision;
    ResultCode code { ResultCode::Ok };

    bool operator==(const RevisionRefusal&) const = default;
};

/// Acknowledgements of a subtree, including its root: the lowest revision held, the number of hosts, and the hosts that
/// lag behind or refused a revision.
struct AckSummary {
    Revision lowest;
    uint32_t count { 0 };
    std::vector<Straggler> stragglers;
    std::vector<RevisionRefusal> refusals;

    bool operator==(const AckSummary&) const = default;
};

/// Child to parent, first message of a session. The child chooses the session number.
struct RelayAttach {
    uint32_t session { 0 };
    /// Time since the start of the session by the child's clock.
    uint64_t timestamp { 0 };
    HeldState held;
    Term term;
    AckSummary summary;

    bool operator==(const RelayAttach&) const = default;
};

/// Child to parent. Without any of the fields from `held` on, it requests a heartbeat, which the parent sends at once.
/// With one of them it is a report, to which the parent responds only if a payload is due.
struct RelayChildHeartbeat {
    uint32_t session { 0 };
    uint64_t timestamp { 0 };
    std::optional<HeldState> held;
    std::optional<AckSummary> summary;
    /// Set if the last payload was refused; contains its revision.
    std::optional<RevisionRefusal> refused;
    bool wantsSnapshot { false };

    bool operator==(const RelayChildHeartbeat&) const = default;
};

/// Child to parent: end of the session.
struct RelayDetach {
    uint32_t session { 0 };

    bool operator==(const RelayDetach&) const = default;
};

/// Parent to child: a response to the child's heartbeat, a configuration change, or both. The first one of a session
/// accepts the child.
struct RelayParentHeartbeat {
    uint32_t session { 0 };
    /// Newest timestamp received from the child.
    uint64_t echo { 0 };
    /// Age of the sender's proof when the message was created; absent without a proof.
    std::optional<uint64_t> proofAge;
    /// Time since the sender's proof last advanced. The child aligns its heartbeats with it. Absent if no alignment is
    /// needed (the proof has just advanced, or the sender is a control host) or possible (the proof has stopped
    /// advancing), and with a payload.
    std::optional<uint64_t> sinceProof;
    std::optional<Term> term;
    /// State that the sender holds.
    std::optional<HeldState> held;
    std::optional<RelayPayload> payload;

    bool operator==(const RelayParentHeartbeat&) const = default;
};

/// Parent to child: the session is refused or ended.
struct RelayRefusal {
    uint32_t session { 0 };
    ResultCode code { ResultCode::Ok };
    uint64_t retryAfter { 0 };

    bool operator==(const RelayRefusal&) const = default;
};

/// Parent to child: the parent is shutting down. The child looks for another parent while the session still works.
struct RelayLeaving {
    uint32_t session { 0 };

    bool operator==(const RelayLeaving&) const = default;
};

using RelayMessage
    = std::variant<RelayAttach, RelayChildHeartbeat, RelayDetach, RelayParentHeartbeat, RelayRefusal, RelayLeaving>;

} // namespace dragonflylane
