#include "dragonflylane/UnansweredRequests.h"

namespace dragonflylane {

void UnansweredRequests::connectionLost(Fingerprint fingerprint, TimePoint now)
{
    add({ .fingerprint = fingerprint, .endedAt = now, .isConnectionLost = true });
}

void UnansweredRequests::gaveUp(Fingerprint fingerprint, TimePoint sentAt, TimePoint now)
{
    add({ .fingerprint = fingerprint, .sentAt = sentAt, .endedAt = now });
}

void UnansweredRequests::upstreamIsAlive(TimePoint at)
{
    std::erase_if(m_entries, [&](const Entry& entry) { return !entry.isConnectionLost && entry.sentAt < at; });
}

std::vector<Fingerprint> UnansweredRequests::takeSuspects(TimePoint now)
{
    std::vector<Fingerprint> suspects;
    for (const Entry& entry : m_entries) {
        if (now - entry.endedAt <= m_options.window)
            suspects.push_back(entry.fingerprint);
    }
    m_entries.clear();
    return suspects;
}

void UnansweredRequests::add(Entry entry)
{
    while (!m_entries.empty() && entry.endedAt - m_entries.front().endedAt > m_options.window)
        m_entries.pop_front();
    if (m_entries.size() >= m_options.maxEntries)
        m_entries.pop_front();
    m_entries.push_back(entry);
}

} // namespace dragonflylane
