#pragma once

// Generates the random faults of one soak run from a seed.

#include "dragonflylane/BootClock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflylane {

enum class SoakFault : uint8_t {
    /// Sends SIGKILL and restarts the daemon after the duration.
    Kill,
    /// Sends SIGTERM and restarts the daemon after the duration, once it has exited.
    Terminate,
    /// Sends SIGSTOP, and SIGCONT after the duration.
    Pause,
    /// Delays the data on connections to an upstream.
    Delay,
    /// Resets the connections to an upstream at the start and the end of the duration.
    Reset,
    /// Drops all data on connections to an upstream, in both directions.
    Blackhole,
    /// Drops responses of an upstream, but not requests.
    DropResponses,
    /// Drains an upstream by a configuration change, and undrains it after the duration.
    Drain,
};

const char* name(SoakFault);

struct SoakStep {
    Duration at;
    SoakFault fault { SoakFault::Kill };
    /// A daemon for Kill, Terminate and Pause; otherwise an upstream.
    std::string target;
    Duration duration;
};

struct SoakPlanOptions {
    uint64_t seed { 1 };
    Duration length { std::chrono::seconds(20) };
    /// Mean time between the starts of two faults. Faults of different targets may overlap.
    Duration meanGap { std::chrono::milliseconds(900) };
    Duration longest { std::chrono::seconds(4) };
    std::vector<std::string> daemons;
    std::vector<std::string> upstreams;
};

/// Returns the steps in order of time. Faults of one target do not overlap, and every fault ends within the length of
/// the run.
std::vector<SoakStep> planSoak(const SoakPlanOptions&);

} // namespace dragonflylane
