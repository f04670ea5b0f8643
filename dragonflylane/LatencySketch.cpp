#include "dragonflylane/LatencySketch.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonflylane {

void LatencySketch::record(Duration latency)
{
    ++m_counts[bucketOf(latency)];
    ++m_total;
    if (m_total < windowSamples)
        return;
    m_total = 0;
    for (uint32_t& count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

std::optional<Duration> LatencySketch::quantile(double q) const
{
    if (m_total < minSamples)
        return std::nullopt;
    auto targetCount = static_cast<uint32_t>(std::ceil(q * m_total));
    uint32_t seen = 0;
    for (size_t i = 0; i < bucketCount; ++i) {
        seen += m_counts[i];
        if (seen >= targetCount)
            return upperBound(i);
    }
    return upperBound(bucketCount - 1);
}

size_t LatencySketch::bucketOf(Duration latency)
{
    double microseconds = std::max(1.0, std::chrono::duration<double, std::micro>(latency).count());
    auto bucket = static_cast<size_t>(std::log2(microseconds) * bucketsPerDoubling);
    return std::min(bucket, bucketCount - 1);
}

Duration LatencySketch::upperBound(size_t bucket)
{
    double microseconds = std::exp2(static_cast<double>(bucket + 1) / bucketsPerDoubling);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(microseconds));
}

} // namespace dragonflylane
