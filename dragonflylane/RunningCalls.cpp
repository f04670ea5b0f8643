#include "dragonflylane/RunningCalls.h"

#include <algorithm>

namespace dragonflylane {

void RunningCalls::add(CallId id, const std::string& requestId, const ParentCall& call)
{
    m_calls[requestId].push_back({ .id = id, .call = call });
}

void RunningCalls::remove(CallId id, const std::string& requestId)
{
    auto found = m_calls.find(requestId);
    if (found == m_calls.end())
        return;
    std::erase_if(found->second, [id](const Run& run) { return run.id == id; });
    if (found->second.empty())
        m_calls.erase(found);
}

void RunningCalls::abandon(CallId id, const std::string& requestId, TimePoint now)
{
    auto found = m_calls.find(requestId);
    if (found == m_calls.end())
        return;
    auto run = std::find_if(
        found->second.begin(), found->second.end(), [id](const Run& candidate) { return candidate.id == id; });
    if (run == found->second.end())
        return;
    m_abandoned.push_back({ .id = id, .requestId = requestId, .deadline = run->call.deadline });
    evict(now);
}

std::optional<ParentCall> RunningCalls::find(std::string_view requestId, TimePoint now) const
{
    auto found = m_calls.find(requestId);
    if (found == m_calls.end())
        return std::nullopt;
    const ParentCall& latest = found->second.back().call;
    return now < latest.deadline ? std::optional(latest) : std::nullopt;
}

void RunningCalls::evict(TimePoint now)
{
    while (!m_abandoned.empty()) {
        const Abandoned& oldest = m_abandoned.front();
        bool mayStay = now < oldest.deadline && m_abandoned.size() <= m_options.maxAbandoned;
        if (mayStay)
            return;
        remove(oldest.id, oldest.requestId);
        m_abandoned.pop_front();
    }
}

} // namespace dragonflylane
