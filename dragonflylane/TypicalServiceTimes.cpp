#include "dragonflylane/TypicalServiceTimes.h"

#include <algorithm>
#include <cmath>

namespace dragonflylane {

namespace {

    constexpr size_t maxRoutes = 1024;
    // Weight of a new sample once there are many.
    constexpr double sampleWeight = 0.03;

} // namespace

double TypicalServiceTimes::record(uint64_t routeKey, Duration usualServiceTime)
{
    // Bounds the memory when the routes of the configuration change.
    if (m_routes.size() >= maxRoutes)
        m_routes.clear();
    Route& route = m_routes[routeKey];
    double logUsual = std::log(static_cast<double>(std::max<Duration::rep>(usualServiceTime.count(), 1)));
    ++route.samples;
    double weight = std::max(sampleWeight, 1 / static_cast<double>(route.samples));
    route.logTypical += weight * (logUsual - route.logTypical);
    return std::exp(logUsual - route.logTypical);
}

Duration TypicalServiceTimes::find(uint64_t routeKey) const
{
    auto found = m_routes.find(routeKey);
    if (found == m_routes.end())
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(std::exp(found->second.logTypical)));
}

} // namespace dragonflylane
