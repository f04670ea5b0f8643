#pragma once

// An upstream as announced by a member of the mesh.

#include "dragonflylane/Ids.h"
#include "dragonflylane/UpstreamPhase.h"

#include <cstdint>

namespace dragonflylane {

/// One upstream and the host whose daemon owns it.
struct UpstreamEntry {
    UpstreamId id;
    HostId owner;
    ServiceName service;
    DataCentreName dataCentre;
    Incarnation incarnation;
    uint32_t slots { 0 };
    UpstreamPhase phase { UpstreamPhase::Cold };
    /// Empty if the upstream states none.
    UpstreamVersion version {};

    bool operator==(const UpstreamEntry&) const = default;
    bool acceptsRequests() const { return phase == UpstreamPhase::Cold || phase == UpstreamPhase::Ready; }
};

} // namespace dragonflylane
