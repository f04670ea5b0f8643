#pragma once

// Evidence on the versions of services during roll-outs, as one entry daemon counts it for the control leader.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <cstdint>
#include <vector>

namespace dragonflylane {

/// Counts of requests that were sent to upstreams.
struct RolloutCounts {
    uint64_t sent { 0 };
    /// Answered, refused or given up.
    uint64_t ended { 0 };
    /// Ended without an answer that tells anything about the version, for example refused for lack of capacity.
    uint64_t unanswered { 0 };
    uint64_t failed { 0 };
    /// Not failed, but several times slower than the other versions on the same route.
    uint64_t slow { 0 };
    /// Sum of the times from the start of each request at the upstream to its end.
    std::chrono::microseconds runTime { 0 };

    bool operator==(const RolloutCounts&) const = default;
};

/// The requests of one route to the target version of a service, or to its other versions.
struct RolloutTally {
    ServiceName service;
    /// The target version of the running roll-out; empty: the other versions.
    UpstreamVersion version;
    /// Hash of the route's name.
    uint64_t routeKey { 0 };
    RolloutCounts counts;

    bool operator==(const RolloutTally&) const = default;
};

/// All counts of one entry daemon since the start of each roll-out. A later report of the same process replaces an
/// earlier one.
struct RolloutReport {
    HostId host;
    /// Random number of the daemon process.
    uint64_t process { 0 };
    /// Increases with each report of the process.
    uint64_t number { 0 };
    std::vector<RolloutTally> tallies;

    bool operator==(const RolloutReport&) const = default;
};

} // namespace dragonflylane
