#include "dragonflylane/RelativeServiceTime.h"

#include "dragonflylane/HalfLife.h"

#include <cmath>

namespace dragonflylane {

namespace {

    // Upstreams whose relative service times are closer to one than this (about 5 %) count as equally fast. At low load
    // even the smallest difference would decide the comparison.
    constexpr double minLogDifference = 0.05;

} // namespace

void RelativeServiceTime::record(
    double usualRatio, SlownessPercent slowness, TimePoint now, const RelativeServiceTimeOptions& options)
{
    double weight = m_updatedAt ? options.weight : 1;
    m_logUsual += weight * (std::log(usualRatio) - m_logUsual);
    double slownessRatio = static_cast<double>(slowness.value()) / static_cast<double>(usualSlowness.value());
    m_logSlowness = std::log(slownessRatio);
    m_updatedAt = now;
}

double RelativeServiceTime::value(TimePoint now, const RelativeServiceTimeOptions& options) const
{
    if (!m_updatedAt)
        return 1;
    Duration age = now - *m_updatedAt;
    double logValue = m_logUsual * decayFactor(age, options.usualHalfLife)
        + m_logSlowness * decayFactor(age, options.slownessHalfLife);
    return std::abs(logValue) < minLogDifference ? 1 : std::exp(logValue);
}

} // namespace dragonflylane
