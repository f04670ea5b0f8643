#include "dragonflylane/RecentCompletions.h"

#include <algorithm>
#include <iterator>

namespace dragonflylane {

RecentCompletions::RecentCompletions(RecentCompletionsOptions options)
    : m_options(options)
{
}

void RecentCompletions::record(Fingerprint fingerprint, TimePoint now)
{
    auto found = m_entries.find(fingerprint);
    if (found != m_entries.end()) {
        found->second->at = now;
        m_order.splice(m_order.end(), m_order, found->second);
        return;
    }
    if (m_options.maxFingerprints == 0)
        return;
    if (m_entries.size() >= m_options.maxFingerprints) {
        m_entries.erase(m_order.front().fingerprint);
        m_order.pop_front();
    }
    m_order.push_back({ fingerprint, now });
    m_entries.emplace(fingerprint, std::prev(m_order.end()));
}

void RecentCompletions::clear()
{
    m_entries.clear();
    m_order.clear();
}

std::vector<Fingerprint> RecentCompletions::excludeCompleted(std::span<const Fingerprint> inFlight, TimePoint now) const
{
    std::vector<Fingerprint> suspects;
    std::copy_if(inFlight.begin(), inFlight.end(), std::back_inserter(suspects),
        [&](Fingerprint fingerprint) { return !m_options.enabled || !contains(fingerprint, now); });
    return suspects;
}

bool RecentCompletions::contains(Fingerprint fingerprint, TimePoint now) const
{
    auto found = m_entries.find(fingerprint);
    return found != m_entries.end() && now - found->second->at <= m_options.window;
}

} // namespace dragonflylane
