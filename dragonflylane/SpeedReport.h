#pragma once

// What an owner daemon tells entry daemons about the speed of its upstream.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Strong.h"

#include <cstdint>

namespace dragonflylane {

/// How long work takes at an upstream at this moment, in percent of its usual time.
using SlownessPercent = StrongNumber<struct SlownessPercentTag>;

/// The slowness of an upstream that works at its usual speed.
inline constexpr SlownessPercent usualSlowness { 100 };

/// Speed of one upstream for one route.
struct SpeedReport {
    uint64_t routeKey { 0 };
    /// Service time of the route without momentary slowness; zero if unknown.
    Duration usualServiceTime { 0 };
    SlownessPercent slowness { usualSlowness };
};

} // namespace dragonflylane
