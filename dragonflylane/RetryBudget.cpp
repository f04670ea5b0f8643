#include "dragonflylane/RetryBudget.h"

#include <algorithm>
#include <chrono>
#include <iterator>

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
    if (m_options.window > Duration::zero()) {
        if (windowTokens(now) < 1)
            return false;
        ++currentStep(now).retries;
        return true;
    }
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

void RetryBudget::recordRequest(TimePoint now)
{
    if (m_options.window > Duration::zero())
        ++currentStep(now).requests;
}

RetryBudget::Step& RetryBudget::currentStep(TimePoint now)
{
    int64_t number = now.time_since_epoch() / (m_options.window / steps);
    Step& step = m_steps[static_cast<size_t>(number % std::ssize(m_steps))];
    if (step.number != number)
        step = { .number = number };
    return step;
}

// The oldest step may lie in the window in part only: its retries count, its requests do not.
double RetryBudget::windowTokens(TimePoint now) const
{
    int64_t current = now.time_since_epoch() / (m_options.window / steps);
    double tokens = m_options.slack;
    for (const Step& step : m_steps) {
        bool isInWindow = step.number >= 0 && step.number <= current && step.number >= current - steps;
        if (!isInWindow)
            continue;
        tokens -= step.retries;
        if (step.number > current - steps)
            tokens += m_options.ratio * step.requests;
    }
    return tokens;
}

double RetryBudget::available(TimePoint now) const
{
    if (m_options.window > Duration::zero())
        return windowTokens(now);
    return floorTokens(now) + m_earned;
}

double RetryBudget::floorTokens(TimePoint now) const
{
    double seconds = std::chrono::duration<double>(std::max(Duration::zero(), now - m_floorAt)).count();
    return std::min(m_options.floorPerSecond, m_floor + seconds * m_options.floorPerSecond);
}

} // namespace dragonflylane
