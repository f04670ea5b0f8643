#include "dragonflylane/UpstreamRateLimiter.h"

#include <algorithm>

namespace dragonflylane {

void UpstreamRateLimiter::setLimit(std::optional<RequestRate> limit, TimePoint now)
{
    Duration previous = m_interval;
    if (!limit) {
        m_interval = Duration::zero();
        return;
    }
    constexpr double nanosecondsPerSecond = 1e9;
    double perSecond = std::max(limit->perSecond, m_options.minLimit.perSecond);
    m_interval = std::max(Duration(1), Duration(static_cast<Duration::rep>(nanosecondsPerSecond / perSecond)));
    m_tolerance = std::max(m_options.burst - m_interval, Duration::zero());
    // What was sent ahead of time under the previous limit still counts, at the new spacing, but the wait is no longer
    // than after a whole burst.
    double ahead = 0;
    if (previous > Duration::zero() && m_nextAt > now)
        ahead = static_cast<double>((m_nextAt - now).count()) / static_cast<double>(previous.count());
    Duration debt(static_cast<Duration::rep>(ahead * static_cast<double>(m_interval.count())));
    m_nextAt = now + std::min(debt, m_tolerance + m_interval);
}

void UpstreamRateLimiter::recordSent(TimePoint now)
{
    if (isLimited())
        m_nextAt = std::max(m_nextAt, now) + m_interval;
}

Duration UpstreamRateLimiter::wait(size_t ahead, TimePoint now) const
{
    if (!isLimited())
        return Duration::zero();
    Duration spacing = m_interval * static_cast<Duration::rep>(ahead);
    return std::max(std::max(m_nextAt, now) + spacing - m_tolerance - now, Duration::zero());
}

} // namespace dragonflylane
