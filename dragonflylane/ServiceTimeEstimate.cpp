#include "dragonflylane/ServiceTimeEstimate.h"

#include "dragonflylane/HalfLife.h"

namespace dragonflylane {

Duration ServiceTimeEstimate::mean(TimePoint now, const ServiceTimeOptions& options) const
{
    return Duration(static_cast<Duration::rep>(m_mean * decayAt(now, options)));
}

Duration ServiceTimeEstimate::margin(double deviations, TimePoint now, const ServiceTimeOptions& options) const
{
    return Duration(static_cast<Duration::rep>(deviations * m_meanDeviation * decayAt(now, options)));
}

void ServiceTimeEstimate::addSample(
    Duration sample, CallOutcome outcome, TimePoint now, const ServiceTimeOptions& options)
{
    // Failures and refusals return early and carry no information about the service time; a timeout is a lower bound.
    bool isSample = outcome == CallOutcome::Success || (outcome == CallOutcome::Timeout && sample > mean(now, options));
    if (!isSample)
        return;
    auto nanoseconds = static_cast<double>(sample.count());
    // After a pause the old value has decayed, so the new sample replaces the decayed part.
    double weight = m_hasSamples ? std::max(options.weight, 1 - decayAt(now, options)) : 1;
    if (m_hasSamples)
        m_meanDeviation += weight * (std::abs(nanoseconds - m_mean) - m_meanDeviation);
    m_mean += weight * (nanoseconds - m_mean);
    m_updatedAt = now;
    m_hasSamples = true;
}

double ServiceTimeEstimate::decayAt(TimePoint now, const ServiceTimeOptions& options) const
{
    return decayFactor(now - m_updatedAt, options.halfLife);
}

} // namespace dragonflylane
