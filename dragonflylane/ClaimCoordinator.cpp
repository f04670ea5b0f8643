#include "dragonflylane/ClaimCoordinator.h"

#include <algorithm>
#include <utility>

namespace dragonflylane {

ClaimCoordinator::ClaimCoordinator(ClaimCoordinatorOptions options)
    : m_options(std::move(options))
{
}

void ClaimCoordinator::setView(const KeeperView& view)
{
    if (m_view.hosts.empty() || m_view.epoch < view.epoch)
        m_view = view;
}

void ClaimCoordinator::setProvenAt(TimePoint provenAt)
{
    m_provenAt = m_provenAt ? std::max(*m_provenAt, provenAt) : provenAt;
}

bool ClaimCoordinator::isConfigurationStale(TimePoint now) const
{
    return m_options.fenceStaleConfiguration && (!m_provenAt || now - *m_provenAt > m_options.maxConfigurationAge);
}

void ClaimCoordinator::claim(uint64_t call, std::string key, TimePoint now)
{
    if (key.empty() || key.size() > maxClaimKeyBytes) {
        m_outputs.emplace_back(ClaimRefused { call, ResultCode::MalformedRequest, {} });
        return;
    }
    std::vector<HostId> keepers = keepersOf(key, m_view);
    if (keepers.empty() || isConfigurationStale(now)) {
        m_outputs.emplace_back(ClaimRefused { call, ResultCode::KeeperNotReady, {} });
        return;
    }
    Call& state = m_calls[call];
    state.number = m_nextNumber++;
    state.key = std::move(key);
    state.keepers = std::move(keepers);
    state.askedAt = now;
    m_callOfNumber[state.number] = call;
    m_timeouts.emplace(now + m_options.timeout, call);
    for (const HostId& keeper : state.keepers)
        m_outputs.emplace_back(ClaimSend { keeper, ClaimRequest { idOf(state), m_view.epoch, state.key } });
}

void ClaimCoordinator::markForwarded(uint64_t call)
{
    if (auto found = m_calls.find(call); found != m_calls.end())
        found->second.isForwarded = true;
}

void ClaimCoordinator::markNotRun(uint64_t call)
{
    if (auto found = m_calls.find(call); found != m_calls.end())
        found->second.isForwarded = false;
}

void ClaimCoordinator::finish(uint64_t call, std::string answer, TimePoint now)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end() || found->second.phase != Phase::Granted)
        return;
    ClaimFinish message { idOf(found->second), found->second.key, answer.size() <= maxStoredAnswerBytes, {} };
    if (message.hasAnswer)
        message.answer = std::move(answer);
    close(found->second, std::move(message), now);
    removeCall(call);
}

void ClaimCoordinator::finishUnknown(uint64_t call, TimePoint now)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end() || found->second.phase != Phase::Granted)
        return;
    close(found->second, ClaimFinish { idOf(found->second), found->second.key, false, {} }, now);
    removeCall(call);
}

void ClaimCoordinator::abandon(uint64_t call, TimePoint now)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    if (found->second.isForwarded) {
        finishUnknown(call, now);
        return;
    }
    close(found->second, ClaimRelease { idOf(found->second), found->second.key }, now);
    removeCall(call);
}

void ClaimCoordinator::receive(const HostId& from, const ClaimMessage& message, TimePoint now)
{
    if (const auto* reply = std::get_if<ClaimReply>(&message))
        handleReply(from, *reply, now);
    else if (const auto* ack = std::get_if<ClaimAck>(&message))
        handleAck(from, *ack);
}

void ClaimCoordinator::tick(TimePoint now)
{
    while (!m_timeouts.empty() && m_timeouts.begin()->first <= now) {
        uint64_t call = m_timeouts.begin()->second;
        refuse(call, m_calls.at(call).refusal, {}, now);
    }
    while (!m_resends.empty() && m_resends.begin()->first <= now) {
        uint64_t number = m_resends.begin()->second;
        m_resends.erase(m_resends.begin());
        sendClosing(number, now);
    }
}

std::optional<TimePoint> ClaimCoordinator::nextWakeup() const
{
    std::optional<TimePoint> wakeup;
    for (const auto* timers : { &m_timeouts, &m_resends }) {
        if (!timers->empty() && (!wakeup || timers->begin()->first < *wakeup))
            wakeup = timers->begin()->first;
    }
    return wakeup;
}

std::vector<ClaimOutput> ClaimCoordinator::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

void ClaimCoordinator::handleReply(const HostId& from, const ClaimReply& reply, TimePoint now)
{
    if (reply.id.coordinator != m_options.self || reply.id.bootId != m_options.bootId)
        return;
    auto number = m_callOfNumber.find(reply.id.number);
    if (number == m_callOfNumber.end())
        return;
    uint64_t callId = number->second;
    Call& call = m_calls.at(callId);
    bool isKeeper = std::find(call.keepers.begin(), call.keepers.end(), from) != call.keepers.end();
    if (call.phase != Phase::Pending || !isKeeper)
        return;
    // Replies after the timeout do not count. A restarted keeper has lost the grants that it made before the crash, and
    // relies on the timeout to know when the claims have been decided (IdempotencyRecordsOptions::settleTime).
    if (now >= call.askedAt + m_options.timeout) {
        refuse(callId, call.refusal, {}, now);
        return;
    }
    if (!call.answered.insert(from).second)
        return;

    switch (reply.status) {
    case ClaimStatus::Granted:
        call.granted.insert(from);
        break;
    case ClaimStatus::Running:
        call.refusal = ResultCode::DuplicateRunning;
        if (m_options.majorityOverridesRunning)
            break;
        refuse(callId, call.refusal, {}, now);
        return;
    case ClaimStatus::Finished:
        refuse(callId, ResultCode::Ok, reply.answer, now);
        return;
    case ClaimStatus::Unknown:
        refuse(callId, ResultCode::DuplicateUnknown, {}, now);
        return;
    case ClaimStatus::Refused:
        if (runState(reply.code) == RunState::NotRun && call.refusal != ResultCode::DuplicateRunning)
            call.refusal = reply.code;
        break;
    }
    decide(callId, now);
}

void ClaimCoordinator::decide(uint64_t callId, TimePoint now)
{
    Call& call = m_calls.at(callId);
    size_t needed = m_options.requireMajority ? majorityOf(call.keepers.size()) : 1;
    if (call.granted.size() >= needed) {
        call.phase = Phase::Granted;
        m_timeouts.erase({ call.askedAt + m_options.timeout, callId });
        m_outputs.emplace_back(ClaimGranted { callId });
        return;
    }
    // Even if a majority is no longer possible, wait for the last keeper, since it may have the response of an earlier
    // request. If another claim is running, there is no response yet.
    size_t unanswered = call.keepers.size() - call.answered.size();
    bool cannotReachMajority = call.granted.size() + unanswered < needed;
    if (unanswered == 0 || (cannotReachMajority && call.refusal == ResultCode::DuplicateRunning))
        refuse(callId, call.refusal, {}, now);
}

void ClaimCoordinator::handleAck(const HostId& from, const ClaimAck& ack)
{
    if (ack.id.coordinator != m_options.self || ack.id.bootId != m_options.bootId)
        return;
    auto found = m_closing.find(ack.id.number);
    if (found == m_closing.end())
        return;
    found->second.unacknowledged.erase(from);
    if (!found->second.unacknowledged.empty())
        return;
    m_resends.erase({ found->second.nextSendAt, ack.id.number });
    m_closing.erase(found);
}

void ClaimCoordinator::refuse(uint64_t callId, ResultCode code, std::string answer, TimePoint now)
{
    const Call& call = m_calls.at(callId);
    close(call, ClaimRelease { idOf(call), call.key }, now);
    m_outputs.emplace_back(ClaimRefused { callId, code, std::move(answer) });
    removeCall(callId);
}

// The record may have been transferred to the keepers of a newer view, so the message is sent to those too.
void ClaimCoordinator::close(const Call& call, ClaimMessage message, TimePoint now)
{
    Closing& closing = m_closing[call.number];
    closing.message = std::move(message);
    closing.unacknowledged.insert(call.keepers.begin(), call.keepers.end());
    std::vector<HostId> current = keepersOf(call.key, m_view);
    closing.unacknowledged.insert(current.begin(), current.end());
    sendClosing(call.number, now);
}

void ClaimCoordinator::sendClosing(uint64_t number, TimePoint now)
{
    auto found = m_closing.find(number);
    if (found == m_closing.end())
        return;
    Closing& closing = found->second;
    if (closing.sends >= m_options.maxSends) {
        m_closing.erase(found);
        return;
    }
    ++closing.sends;
    closing.nextSendAt = now + m_options.resendInterval;
    m_resends.emplace(closing.nextSendAt, number);
    for (const HostId& keeper : closing.unacknowledged)
        m_outputs.emplace_back(ClaimSend { keeper, closing.message });
}

void ClaimCoordinator::removeCall(uint64_t callId)
{
    auto found = m_calls.find(callId);
    m_timeouts.erase({ found->second.askedAt + m_options.timeout, callId });
    m_callOfNumber.erase(found->second.number);
    m_calls.erase(found);
}

} // namespace dragonflylane
