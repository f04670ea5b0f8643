#pragma once

// Entry-side estimate of how long work takes at one upstream, relative to the typical time over all upstreams of its
// service: the usual ratio, which changes slowly, times the momentary slowness. Both return to one without reports.
// Contains no clock.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/SpeedReport.h"

#include <optional>

namespace dragonflylane {

struct RelativeServiceTimeOptions {
    /// Weight of a new report in the usual ratio.
    double weight { 0.3 };
    /// Without reports, the usual ratio returns halfway to one in this time, since only another attempt can show that
    /// the upstream has become faster.
    Duration usualHalfLife { std::chrono::seconds(5) };
    /// Without reports, the slowness returns halfway to usual in this time.
    Duration slownessHalfLife { std::chrono::milliseconds(300) };
};

class RelativeServiceTime {
public:
    /// Adds a report; `usualRatio` is the upstream's usual service time divided by the typical one.
    void record(double usualRatio, SlownessPercent, TimePoint now, const RelativeServiceTimeOptions&);
    /// One before the first report, and while the difference is too small to matter.
    double value(TimePoint now, const RelativeServiceTimeOptions&) const;

private:
    /// Natural logarithms.
    double m_logUsual { 0 };
    double m_logSlowness { 0 };
    std::optional<TimePoint> m_updatedAt;
};

} // namespace dragonflylane
