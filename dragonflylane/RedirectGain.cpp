#include "dragonflylane/RedirectGain.h"

#include "dragonflylane/HalfLife.h"

namespace dragonflylane {

RedirectGain::RedirectGain(RedirectGainOptions options)
    : m_options(options)
{
}

void RedirectGain::record(bool wasAccepted, TimePoint now)
{
    m_successRate = successRate(now);
    m_successRate += m_options.weight * ((wasAccepted ? 1 : 0) - m_successRate);
    m_updatedAt = now;
}

double RedirectGain::successRate(TimePoint now) const
{
    return 1 - (1 - m_successRate) * remainingShare(now - m_updatedAt, m_options.halfLife);
}

} // namespace dragonflylane
