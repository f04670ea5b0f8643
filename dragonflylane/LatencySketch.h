#pragma once

// Compact latency histogram with logarithmic buckets (8 per doubling, so a quantile is at most 9 % too high). Counts
// are halved after each window of samples, so that quantiles follow changes. Takes about 1 KB; record() is O(1).

#include "dragonflylane/BootClock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace dragonflylane {

class LatencySketch {
public:
    void record(Duration);
    /// Upper bound of the bucket that holds the quantile; empty with fewer than minSamples samples. O(buckets).
    std::optional<Duration> quantile(double q) const;

    static constexpr uint32_t minSamples = 50;

private:
    // From 1 µs over 32 doublings, which exceeds an hour.
    static constexpr size_t bucketsPerDoubling = 8;
    static constexpr size_t bucketCount = 32 * bucketsPerDoubling;
    static constexpr uint32_t windowSamples = 4096;

    static size_t bucketOf(Duration);
    static Duration upperBound(size_t bucket);

    std::array<uint32_t, bucketCount> m_counts {};
    uint32_t m_total { 0 };
};

} // namespace dragonflylane
