#include "dragonflylane/RedirectSuccessRate.h"

#include "dragonflylane/HalfLife.h"

namespace dragonflylane {

RedirectSuccessRate::RedirectSuccessRate(RedirectSuccessRateOptions options)
    : m_options(options)
{
}

void RedirectSuccessRate::record(bool wasAccepted, TimePoint now)
{
    m_successRate = successRate(now);
    m_successRate += m_options.weight * ((wasAccepted ? 1 : 0) - m_successRate);
    m_updatedAt = now;
}

double RedirectSuccessRate::successRate(TimePoint now) const
{
    return 1 - (1 - m_successRate) * decayFactor(now - m_updatedAt, m_options.halfLife);
}

} // namespace dragonflylane
