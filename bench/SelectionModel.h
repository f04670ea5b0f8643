#pragma once

// Virtual-time model of one service whose upstreams differ in speed and are slowed down for short periods. Compares the
// selection of UpstreamSelector with a choice that knows every work time.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/UpstreamSelector.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace dragonflylane {

struct SelectionModelOptions {
    /// Each host has an entry daemon and an upstream.
    size_t hosts { 20 };
    uint32_t slots { 12 };
    /// Work rates of the upstreams, assigned in turn.
    std::vector<double> speeds { 0.7, 0.7, 1.7 };
    /// Share of the time in which an upstream is slowed down, and by which factor.
    double slowShare { 0.15 };
    double slowdown { 2.5 };
    Duration slowPeriod { std::chrono::milliseconds(600) };
    Duration meanWork { std::chrono::milliseconds(200) };
    /// Responses later than this are late.
    Duration target { std::chrono::milliseconds(800) };
    Duration networkDelay { std::chrono::milliseconds(3) };
    /// Arriving work as a share of the capacity.
    double load { 0.6 };
    Duration length { std::chrono::seconds(30) };
    uint64_t seed { 1 };
};

struct SelectionResult {
    Duration p50 { 0 };
    Duration p99 { 0 };
    double inTime { 0 };
    /// Share of the calls that were sent to another host.
    double remoteShare { 0 };
};

/// Runs the arrivals with a selector per entry daemon. The hook changes the options of each selector.
SelectionResult runSelection(const SelectionModelOptions&, const std::function<void(UpstreamSelectorOptions&)>&);

/// Runs the same arrivals, each at the upstream where it finishes first.
SelectionResult runIdealSelection(const SelectionModelOptions&);

} // namespace dragonflylane
