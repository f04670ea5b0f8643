#include "dragonflylane/UpstreamSpeed.h"

#include "dragonflylane/HalfLife.h"

#include <algorithm>
#include <cmath>

namespace dragonflylane {

namespace {

    constexpr size_t maxRoutes = 1024;
    constexpr double maxSlownessRatio = 1000;

    double logOf(Duration duration)
    {
        return std::log(static_cast<double>(std::max<Duration::rep>(duration.count(), 1)));
    }

    double logOf(SlownessPercent slowness)
    {
        return std::log(static_cast<double>(slowness.value()) / static_cast<double>(usualSlowness.value()));
    }

    SlownessPercent toSlowness(double logSlowness)
    {
        double ratio = std::min(std::exp(logSlowness), maxSlownessRatio);
        double percent = std::round(ratio * static_cast<double>(usualSlowness.value()));
        return SlownessPercent(static_cast<uint64_t>(std::max(percent, 1.0)));
    }

} // namespace

void UpstreamSpeed::recordStated(SlownessPercent slowness, TimePoint now)
{
    if (!m_stated)
        m_stated = Source {};
    m_stated->logSlowness = logOf(slowness);
    m_stated->updatedAt = now;
}

void UpstreamSpeed::recordServiceTime(uint64_t routeKey, Duration serviceTime, TimePoint now)
{
    // Bounds the memory when the routes of the configuration change.
    if (m_routes.size() >= maxRoutes)
        m_routes.clear();
    Route& route = m_routes[routeKey];
    double logTime = logOf(serviceTime);
    double logStated = m_stated && usesStated() ? logSlowness(*m_stated, now) : 0;
    if (route.samples == 0)
        route.logUsual = logTime - logStated;
    double logRatio = logTime - route.logUsual;
    auto updateError = [&](Source& source) {
        double error = std::abs(logRatio - logSlowness(source, now));
        source.error += m_options.errorWeight * (error - source.error);
    };
    updateError(m_measured);
    if (m_stated)
        updateError(*m_stated);
    m_measured.logSlowness
        = logSlowness(m_measured, now) + m_options.slownessWeight * (logRatio - logSlowness(m_measured, now));
    m_measured.updatedAt = now;

    ++route.samples;
    double weight = std::max(m_options.usualWeight, 1 / static_cast<double>(route.samples));
    route.logUsual += weight * (logRatio - logStated);
}

SpeedReport UpstreamSpeed::report(uint64_t routeKey, TimePoint now) const
{
    SpeedReport report { .routeKey = routeKey, .slowness = slowness(now) };
    auto found = m_routes.find(routeKey);
    if (found != m_routes.end())
        report.usualServiceTime = Duration(static_cast<Duration::rep>(std::exp(found->second.logUsual)));
    return report;
}

SlownessPercent UpstreamSpeed::slowness(TimePoint now) const
{
    return toSlowness(logSlowness(now));
}

double UpstreamSpeed::logSlowness(const Source& source, TimePoint now) const
{
    return source.logSlowness * decayFactor(now - source.updatedAt, m_options.slownessHalfLife);
}

bool UpstreamSpeed::usesStated() const
{
    return m_stated && m_stated->error <= m_measured.error;
}

double UpstreamSpeed::logSlowness(TimePoint now) const
{
    return logSlowness(usesStated() ? *m_stated : m_measured, now);
}

} // namespace dragonflylane
