#include "dragonflylane/RefusedCalls.h"

#include <algorithm>

namespace dragonflylane {

void RefusedCalls::recordRefusal(
    Fingerprint fingerprint, const EarlierAttempts& attempts, TimePoint callerDeadline, TimePoint now)
{
    evict(now);
    m_calls.emplace(fingerprint, Call { attempts, callerDeadline });
    m_order.push_back({ fingerprint, attempts.firstReceived });
}

std::optional<EarlierAttempts> RefusedCalls::matchRetry(Fingerprint fingerprint, TimePoint now)
{
    auto [begin, end] = m_calls.equal_range(fingerprint);
    // Of equal requests, the one received first is likely to be retried first.
    auto found = std::min_element(begin, end, [](const auto& left, const auto& right) {
        return left.second.attempts.firstReceived < right.second.attempts.firstReceived;
    });
    if (found == end)
        return std::nullopt;
    Call call = found->second;
    m_calls.erase(found);
    return call.deadline > now ? std::optional(call.attempts) : std::nullopt;
}

// Entries are removed from the front only, so one that expires earlier than those before it may be kept longer.
void RefusedCalls::evict(TimePoint now)
{
    while (!m_order.empty()) {
        const Refusal oldest = m_order.front();
        auto [begin, end] = m_calls.equal_range(oldest.fingerprint);
        auto found = std::find_if(
            begin, end, [&](const auto& item) { return item.second.attempts.firstReceived == oldest.firstReceived; });
        bool isGone = found == end;
        bool isExpired = !isGone && found->second.deadline <= now;
        if (!isGone && !isExpired && m_order.size() < m_options.maxCalls)
            return;
        if (!isGone)
            m_calls.erase(found);
        m_order.pop_front();
    }
}

} // namespace dragonflylane
