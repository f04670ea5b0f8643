#include "dragonflylane/DepartureRecorder.h"

#include <algorithm>

namespace dragonflylane {

DepartureRecorder::DepartureRecorder(DepartureRecorderOptions options)
    : m_options(std::move(options))
    , m_askingSince(m_options.startedAt)
    , m_nextRequest(m_options.startedAt)
{
}

void DepartureRecorder::record(const DepartedProcess& departed, TimePoint now, Callback callback)
{
    if (m_recorded.covers(departed))
        return callback(ResultCode::Ok);
    if (m_unrecorded.add(departed)) {
        m_askingSince = now;
        m_nextRequest = now;
    }
    m_waiters.push_back({ departed, now + m_options.recordTimeout, std::move(callback) });
}

std::optional<DepartureRequest> DepartureRecorder::takeRequest(TimePoint now)
{
    if (!hasRequest() || now < m_nextRequest)
        return std::nullopt;
    scheduleRequest(now);
    return DepartureRequest { .host = m_options.self, .bootId = m_options.bootId, .departures = m_unrecorded.all() };
}

void DepartureRecorder::scheduleRequest(TimePoint now)
{
    constexpr int retryShare = 8;
    Duration interval = (now - m_askingSince) / retryShare;
    m_nextRequest = now + std::clamp(interval, m_options.minRetryInterval, m_options.maxRetryInterval);
}

bool DepartureRecorder::accept(const DepartureAnswer& answer, TimePoint now)
{
    if (answer.host != m_options.self || answer.bootId != m_options.bootId)
        return false;
    for (const DepartedProcess& departed : answer.departures)
        m_recorded.add(departed);
    m_hasAnswer = true;
    m_askingSince = now;
    m_unrecorded.removeCovered(m_recorded);
    finish([this](const Waiter& waiter) { return m_recorded.covers(waiter.departed); }, ResultCode::Ok);
    return true;
}

void DepartureRecorder::tick(TimePoint now)
{
    finish([now](const Waiter& waiter) { return waiter.until <= now; }, ResultCode::QuorumLost);
}

// A callback may record another departure.
void DepartureRecorder::finish(const std::function<bool(const Waiter&)>& isFinished, ResultCode code)
{
    auto firstFinished = std::stable_partition(
        m_waiters.begin(), m_waiters.end(), [&](const Waiter& waiter) { return !isFinished(waiter); });
    std::vector<Waiter> finished(std::make_move_iterator(firstFinished), std::make_move_iterator(m_waiters.end()));
    m_waiters.erase(firstFinished, m_waiters.end());
    for (const Waiter& waiter : finished)
        waiter.callback(code);
}

TimePoint DepartureRecorder::nextWakeup() const
{
    TimePoint next = hasRequest() ? m_nextRequest : TimePoint::max();
    for (const Waiter& waiter : m_waiters)
        next = std::min(next, waiter.until);
    return next;
}

bool DepartureRecorder::isInformed(TimePoint now) const
{
    bool isOverdue = now - m_options.startedAt >= m_options.answerTimeout;
    return m_hasAnswer || (m_hasEarlierRecord && isOverdue);
}

} // namespace dragonflylane
