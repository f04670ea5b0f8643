#include "dragonflylane/NestedCallThrottle.h"

#include "dragonflylane/HalfLife.h"

#include <algorithm>
#include <cmath>

namespace dragonflylane {

namespace {

    // Callers send a request a third time at most, so a third refusal would be final.
    constexpr uint32_t maxRefusals = 2;

} // namespace

NestedCallThrottle::NestedCallThrottle(NestedCallThrottleOptions options)
    : m_options(options)
{
}

bool NestedCallThrottle::admit(uint64_t routeKey, uint32_t earlierRefusals, TimePoint now)
{
    auto found = m_routes.find(routeKey);
    if (found == m_routes.end())
        return true;
    Route& route = found->second;
    double currentShare = share(route, now);
    if (currentShare >= 1) {
        route.credit = 0;
        return true;
    }
    bool isRetry = earlierRefusals > 0;
    if (!isRetry)
        route.credit = std::min(route.credit + currentShare, 1.0);
    bool isAdmitted
        = earlierRefusals >= maxRefusals || (isRetry ? route.credit > -m_options.maxDebt : route.credit >= 1);
    if (isAdmitted)
        route.credit = std::max(route.credit - 1, -m_options.maxDebt);
    return isAdmitted;
}

void NestedCallThrottle::parentServed(uint64_t routeKey, TimePoint now)
{
    auto found = m_routes.find(routeKey);
    if (found != m_routes.end())
        recordFailureRate(found->second, false, now);
}

void NestedCallThrottle::nestedCallRefused(uint64_t routeKey, TimePoint parentStartedAt, TimePoint now)
{
    // Bounds the memory when the routes of the configuration change; the statistics are soon collected again.
    if (m_routes.size() >= m_options.maxRoutes && !m_routes.contains(routeKey))
        m_routes.clear();
    Route& route = m_routes[routeKey];
    recordFailureRate(route, true, now);
    bool wasAdmittedAfterReduction = parentStartedAt >= route.reducedAt;
    if (!wasAdmittedAfterReduction || route.failureRate <= m_options.toleratedFailureRate)
        return;
    double factor = std::max(m_options.minReductionFactor, 1 - route.failureRate);
    route.reducedShare = std::max(m_options.minShare, share(route, now) * factor);
    route.reducedAt = now;
}

double NestedCallThrottle::admittedShare(uint64_t routeKey, TimePoint now) const
{
    auto found = m_routes.find(routeKey);
    return found == m_routes.end() ? 1 : share(found->second, now);
}

// The integral of a growth that doubles in each period.
double NestedCallThrottle::share(const Route& route, TimePoint now) const
{
    double period = std::chrono::duration<double>(m_options.growthDoublingTime).count();
    double periods = std::chrono::duration<double>(now - route.reducedAt).count() / period;
    double grown = m_options.growthPerSecond * period * (std::exp2(periods) - 1) / std::log(2);
    return std::min(1.0, route.reducedShare + grown);
}

void NestedCallThrottle::recordFailureRate(Route& route, bool isFailure, TimePoint now) const
{
    route.failureRate *= decayFactor(now - route.failureRateUpdatedAt, m_options.failureHalfLife);
    route.failureRate += m_options.weight * ((isFailure ? 1 : 0) - route.failureRate);
    route.failureRateUpdatedAt = now;
}

} // namespace dragonflylane
