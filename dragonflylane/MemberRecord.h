#pragma once

// What a daemon publishes about itself and its upstream. Each record has a single writer, the daemon on that host.
// Other daemons change only its state, to suspect or dead.

#include "dragonflylane/Endpoint.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ProcessStatement.h"
#include "dragonflylane/UpstreamPhase.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace dragonflylane {

/// Random number drawn at the start of the daemon, which distinguishes its records from those of earlier starts (wire
/// field `life`).
using BootId = StrongNumber<struct BootIdTag>;

/// State of a member. The numeric order is the order of precedence among records of equal (incarnation, sequence).
enum class MemberState : uint8_t {
    Alive,
    /// Did not answer a probe. Becomes dead unless the member refutes it.
    Suspect,
    Dead,
    /// Shut down gracefully.
    Left,
};

/// Role of a host in the replicated log.
enum class ControlRole : uint8_t {
    None,
    Learner,
    Voter,
};

/// A process of an upstream that is leaving, as an owner daemon that is restarted has to know it again.
struct UpstreamDeparture {
    ProcessId process {};
    /// Sequence of the announcement that began the drain; zero if not stated.
    Sequence sequence {};
    /// The process does not take it back. Otherwise an announcement with a higher sequence ends the drain.
    bool isFinal { false };

    bool operator==(const UpstreamDeparture&) const = default;
};

/// The upstream that a daemon owns.
struct UpstreamRecord {
    UpstreamId id {};
    ServiceName service {};
    UpstreamPhase phase { UpstreamPhase::Cold };
    uint32_t slots { 0 };
    Incarnation incarnation {};
    /// Set while the process is draining, and afterwards until the next process is announced.
    std::optional<UpstreamDeparture> departure {};
    /// Empty if the upstream states none.
    UpstreamVersion version {};

    bool operator==(const UpstreamRecord&) const = default;
};

/// One member of the mesh.
struct MemberRecord {
    HostId host {};
    Endpoint address {};
    DataCentreName dataCentre {};
    RegionName region {};
    BootId bootId {};
    /// Raised by the member to refute suspicion and to supersede records of its earlier starts.
    Incarnation incarnation {};
    /// Incremented by the member at each other change of its record.
    Sequence sequence {};
    MemberState state { MemberState::Alive };
    ControlRole controlRole { ControlRole::None };
    std::optional<UpstreamRecord> upstream {};

    bool operator==(const MemberRecord&) const = default;

    /// True if the member is alive or suspect.
    bool isPresent() const { return state == MemberState::Alive || state == MemberState::Suspect; }
};

/// Name for logs and the API, such as "suspect".
constexpr std::string_view name(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Left:
        return "left";
    }
    return "invalid";
}

} // namespace dragonflylane
