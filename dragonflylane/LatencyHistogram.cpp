#include "dragonflylane/LatencyHistogram.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>

namespace dragonflylane {

namespace {

    namespace histogram = boost::histogram;

    // 400 bins over eight decades: each is 4.7 % wide.
    constexpr unsigned binCount = 400;
    constexpr double lowestMicroseconds = 1;
    constexpr double highestMicroseconds = 1e8;

    using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

    auto makeBins()
    {
        return histogram::make_histogram_with(
            std::vector<uint64_t>(), Axis(binCount, lowestMicroseconds, highestMicroseconds));
    }

} // namespace

struct LatencyHistogram::Bins {
    decltype(makeBins()) histogram { makeBins() };
};

LatencyHistogram::LatencyHistogram()
    : m_bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;

void LatencyHistogram::record(Duration duration)
{
    double microseconds = std::chrono::duration<double, std::micro>(duration).count();
    m_bins->histogram(std::max(microseconds, lowestMicroseconds));
    ++m_count;
}

Duration LatencyHistogram::quantile(double q) const
{
    if (m_count == 0)
        return {};
    auto targetCount = static_cast<uint64_t>(std::ceil(q * static_cast<double>(m_count)));
    uint64_t seen = 0;
    const auto& axis = m_bins->histogram.axis(0);
    for (int i = 0; i < axis.size(); ++i) {
        seen += m_bins->histogram.at(i);
        if (seen < targetCount)
            continue;
        std::chrono::duration<double, std::micro> edge(axis.bin(i).upper());
        return std::chrono::duration_cast<Duration>(edge);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(highestMicroseconds));
}

} // namespace dragonflylane
