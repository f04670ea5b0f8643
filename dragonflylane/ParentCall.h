#pragma once

// What a call that an upstream makes inherits from the call that the upstream is running for it.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <cstdint>

namespace dragonflylane {

/// A call that runs at an upstream and may have nested calls.
struct ParentCall {
    /// Empty if the call has no tenant, for example on a public route.
    TenantName tenant;
    uint32_t tenantPriority { 0 };
    /// Hash of the route's name, see EntryCall::routeKey.
    uint64_t routeKey { 0 };
    /// Priority of the route.
    uint32_t priority { 0 };
    /// Target latency of the route, as a point in time.
    TimePoint target;
    TimePoint deadline;
    /// When it was sent to the upstream.
    TimePoint startedAt {};
};

} // namespace dragonflylane
