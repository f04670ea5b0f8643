#pragma once

// Owner-side estimate of how fast the local upstream works. Contains no I/O and no clock.
//
//     speed.recordStated(*load.slowness, now);                 // from each response that states its load
//     speed.recordServiceTime(routeKey, now - sentAt, now);    // after each successful call
//     SpeedReport report = speed.report(routeKey, now);        // for the answers to entry daemons
//
// The service time of a call is modelled as the usual service time of its route times the momentary slowness of the
// upstream. The usual time changes slowly and is kept per route. The slowness changes within a second, and there are
// two sources for it: the figure that the upstream states, and the ratio of recent service times to the usual ones. The
// source whose figure has predicted recent service times better is used.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/SpeedReport.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace dragonflylane {

struct UpstreamSpeedOptions {
    /// Weight of a new sample in the usual service time of a route.
    double usualWeight { 0.03 };
    /// Weight of a new sample in the measured slowness.
    double slownessWeight { 0.3 };
    /// Weight of a new sample in the prediction error of each source.
    double errorWeight { 0.05 };
    /// Without new figures the slowness returns halfway to usual in this time.
    Duration slownessHalfLife { std::chrono::milliseconds(300) };
};

class UpstreamSpeed {
public:
    explicit UpstreamSpeed(UpstreamSpeedOptions options = {})
        : m_options(options)
    {
    }

    void recordStated(SlownessPercent, TimePoint now);
    void recordServiceTime(uint64_t routeKey, Duration, TimePoint now);

    SpeedReport report(uint64_t routeKey, TimePoint now) const;
    SlownessPercent slowness(TimePoint now) const;

private:
    struct Route {
        /// Logarithm of the usual service time in nanoseconds, so that single long calls have little weight.
        double logUsual { 0 };
        uint64_t samples { 0 };
    };

    /// One source of the momentary slowness, as a natural logarithm; zero means usual.
    struct Source {
        double logSlowness { 0 };
        TimePoint updatedAt;
        /// Mean absolute difference to the service times that were measured.
        double error { 0 };
    };

    double logSlowness(const Source&, TimePoint now) const;
    bool usesStated() const;
    double logSlowness(TimePoint now) const;

    UpstreamSpeedOptions m_options;
    std::optional<Source> m_stated;
    Source m_measured;
    std::unordered_map<uint64_t, Route> m_routes;
};

} // namespace dragonflylane
