#include "dragonflylane/WarmupPace.h"

#include <algorithm>
#include <cmath>

namespace dragonflylane {

void WarmupPace::begin()
{
    m_state = State::Pending;
    m_limit = m_options.initialLimit;
    m_lastRatio.reset();
    startRound();
}

void WarmupPace::setSlots(uint32_t slots)
{
    m_slots = slots;
}

PaceChange WarmupPace::recordRequest(Duration typical, uint32_t running)
{
    if (m_state != State::Pending)
        return PaceChange::None;
    bool hasPeers = typical > Duration::zero();
    m_limit = std::max(m_options.initialLimit, running);
    m_state = hasPeers && m_limit < m_slots ? State::WarmingUp : State::Done;
    startRound();
    return isWarmingUp() ? PaceChange::Started : PaceChange::None;
}

PaceChange WarmupPace::recordResponse(Duration serviceTime, Duration typical)
{
    if (!isWarmingUp() || typical <= Duration::zero())
        return PaceChange::None;
    double ratio
        = static_cast<double>(std::max<Duration::rep>(serviceTime.count(), 1)) / static_cast<double>(typical.count());
    m_logRatios += std::log(ratio);
    ++m_responses;
    if (m_responses < std::max(m_options.minRound, m_limit))
        return PaceChange::None;
    return finishRound();
}

PaceChange WarmupPace::recordTrouble()
{
    return isWarmingUp() ? halve() : PaceChange::None;
}

uint32_t WarmupPace::limit() const
{
    return isWarmingUp() ? std::min(m_limit, m_slots) : m_slots;
}

void WarmupPace::startRound()
{
    m_responses = 0;
    m_logRatios = 0;
}

PaceChange WarmupPace::finishRound()
{
    constexpr uint32_t raiseDivisor = 4;
    double ratio = std::exp(m_logRatios / m_responses);
    std::optional<double> before = m_lastRatio;
    m_lastRatio = ratio;
    startRound();
    bool isInTime = ratio <= m_options.inTimeRatio;
    bool isSlower = before && ratio > m_options.slowdownRatio * *before;
    if (!isInTime && isSlower)
        return halve();
    if (m_limit >= m_slots) {
        m_state = State::Done;
        return PaceChange::Ended;
    }
    uint32_t growth = isInTime ? m_limit : std::max(1U, m_limit / raiseDivisor);
    m_limit = std::min(m_slots, m_limit + growth);
    return isInTime ? PaceChange::Doubled : PaceChange::Raised;
}

// The round starts anew, so that responses to calls that were sent at the higher limit do not halve it again: each
// further halving needs another round, or another sign of trouble.
PaceChange WarmupPace::halve()
{
    m_limit = std::max(m_options.initialLimit, m_limit / 2);
    startRound();
    return PaceChange::Halved;
}

std::string_view name(PaceChange change)
{
    switch (change) {
    case PaceChange::None:
        return "none";
    case PaceChange::Started:
        return "started";
    case PaceChange::Doubled:
        return "doubled";
    case PaceChange::Raised:
        return "raised";
    case PaceChange::Halved:
        return "halved";
    case PaceChange::Ended:
        return "ended";
    }
    return "invalid";
}

} // namespace dragonflylane
