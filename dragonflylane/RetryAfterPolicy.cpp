#include "dragonflylane/RetryAfterPolicy.h"

#include "dragonflylane/HalfLife.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dragonflylane {

RetryAfterPolicy::RetryAfterPolicy(RetryAfterPolicyOptions options)
    : m_options(std::move(options))
{
}

void RetryAfterPolicy::recordServed(TimePoint now)
{
    m_servedCount = servedCount(now) + 1;
    m_servedCountUpdatedAt = now;
}

Duration RetryAfterPolicy::schedule(const RefusedAttempt& attempt, TimePoint now)
{
    if (attempt.left <= Duration::zero())
        return Duration::zero();
    Duration longest = attempt.left * m_options.maxPercentOfTimeLeft / 100;
    std::optional<Duration> interval = servedInterval(now);
    if (!attempt.expectedWait || !interval)
        return longest;
    TimePoint earliest = now + std::max(*attempt.expectedWait, m_options.minRetryAfter);
    TimePoint place = std::max(earliest, m_latestPlace + *interval);
    // Callers that cannot wait for their place return at their upper bounds, so they do not move the places of others.
    if (place > now + longest)
        return longest;
    m_latestPlace = place;
    auto variation = std::chrono::duration_cast<Duration>(*interval * (m_options.jitter * m_options.random()));
    return std::min(place - now + variation, longest);
}

std::optional<Duration> RetryAfterPolicy::servedInterval(TimePoint now) const
{
    // Fewer calls than this in the half-life say little about the rate.
    constexpr double minCount = 0.5;
    double count = servedCount(now);
    if (count < minCount)
        return std::nullopt;
    // A steady rate r has the decayed count r * halfLife / ln 2.
    return std::chrono::duration_cast<Duration>(m_options.rateHalfLife / (count * std::log(2)));
}

double RetryAfterPolicy::servedCount(TimePoint now) const
{
    return m_servedCount * decayFactor(now - m_servedCountUpdatedAt, m_options.rateHalfLife);
}

} // namespace dragonflylane
