#pragma once

// Histogram of durations with logarithmic bins from 1 microsecond to 100 seconds.

#include "dragonflylane/BootClock.h"

#include <cstdint>
#include <memory>

namespace dragonflylane {

/// Records durations in a fixed memory of about 4 KB. The relative error of a quantile is below 5 %.
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram&&) noexcept;
    LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

    void record(Duration);
    uint64_t count() const { return m_count; }
    /// Upper edge of the bin that holds the quantile; zero if nothing was recorded.
    Duration quantile(double q) const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
    uint64_t m_count { 0 };
};

} // namespace dragonflylane
