#include "dragonflylane/RetryBudget.h"

#include <algorithm>
#include <chrono>

namespace dragonflylane {

RetryBudget::RetryBudget(RetryBudgetOptions options, TimePoint now)
    : m_options(options)
    , m_floor(options.floorPerSecond)
    , m_floorAt(now)
{
}

void RetryBudget::recordSuccess()
{
    m_earned = std::min(m_options.maxEarned, m_earned + m_options.perSuccess);
}

bool RetryBudget::tryWithdraw(TimePoint now)
{
    if (!m_options.isEnabled)
        return true;
    m_floor = floorTokens(now);
    m_floorAt = std::max(m_floorAt, now);
    if (m_floor >= 1) {
        m_floor -= 1;
        return true;
    }
    if (m_earned >= 1) {
        m_earned -= 1;
        return true;
    }
    return false;
}

double RetryBudget::available(TimePoint now) const
{
    return floorTokens(now) + m_earned;
}

double RetryBudget::floorTokens(TimePoint now) const
{
    double seconds = std::chrono::duration<double>(std::max(Duration::zero(), now - m_floorAt)).count();
    return std::min(m_options.floorPerSecond, m_floor + seconds * m_options.floorPerSecond);
}

} // namespace dragonflylane
