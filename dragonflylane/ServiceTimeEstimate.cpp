#include "dragonflylane/ServiceTimeEstimate.h"

#include "dragonflylane/HalfLife.h"

namespace dragonflylane {

Duration ServiceTimeEstimate::mean(TimePoint now, const ServiceTimeOptions& options) const
{
    return Duration(static_cast<Duration::rep>(m_nanoseconds * remaining(now, options)));
}

Duration ServiceTimeEstimate::margin(double deviations, TimePoint now, const ServiceTimeOptions& options) const
{
    return Duration(static_cast<Duration::rep>(deviations * m_deviation * remaining(now, options)));
}

void ServiceTimeEstimate::learn(Duration sample, CallOutcome outcome, TimePoint now, const ServiceTimeOptions& options)
{
    // Failures and refusals come early and say nothing about the service time; a timeout is a lower bound.
    bool isSample = outcome == CallOutcome::Success || (outcome == CallOutcome::Timeout && sample > mean(now, options));
    if (!isSample)
        return;
    auto nanoseconds = static_cast<double>(sample.count());
    // After a pause the old value counts as little as mean() reports of it.
    double weight = m_hasSample ? std::max(options.weight, 1 - remaining(now, options)) : 1;
    if (m_hasSample)
        m_deviation += weight * (std::abs(nanoseconds - m_nanoseconds) - m_deviation);
    m_nanoseconds += weight * (nanoseconds - m_nanoseconds);
    m_updatedAt = now;
    m_hasSample = true;
}

double ServiceTimeEstimate::remaining(TimePoint now, const ServiceTimeOptions& options) const
{
    return remainingShare(now - m_updatedAt, options.halfLife);
}

} // namespace dragonflylane
