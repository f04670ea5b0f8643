#pragma once

// Entry-side estimate of the typical service time of each route over all upstreams of a service. The service time of
// one upstream is expressed relative to it, so that upstreams can be compared although their calls are of different
// routes. Contains no clock.

#include "dragonflylane/BootClock.h"

#include <cstdint>
#include <unordered_map>

namespace dragonflylane {

class TypicalServiceTimes {
public:
    /// Adds the usual service time that one upstream has for the route. Returns its ratio to the typical one.
    double record(uint64_t routeKey, Duration usualServiceTime);
    /// Zero if no upstream has stated one.
    Duration find(uint64_t routeKey) const;

private:
    struct Route {
        /// Logarithm of the typical service time in nanoseconds.
        double logTypical { 0 };
        uint64_t samples { 0 };
    };

    std::unordered_map<uint64_t, Route> m_routes;
};

} // namespace dragonflylane
