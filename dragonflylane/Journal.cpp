#include "dragonflylane/Journal.h"

#include <algorithm>
#include <chrono>

namespace dragonflylane {

namespace {

    constexpr size_t maxTextLength = 256;

    int64_t wallMilliseconds()
    {
        auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    bool isMatch(const JournalEntry& entry, std::string_view id)
    {
        return entry.cause == id || std::find(entry.subjects.begin(), entry.subjects.end(), id) != entry.subjects.end();
    }

    void truncateText(std::string& text)
    {
        if (text.size() > maxTextLength)
            text.resize(maxTextLength);
    }

} // namespace

Journal::Journal(std::string host, size_t capacity)
    : m_host(std::move(host))
    , m_capacity(capacity)
{
}

void Journal::record(JournalEntry entry)
{
    entry.number = m_nextNumber++;
    entry.wallMilliseconds = wallMilliseconds();
    entry.host = m_host;
    truncateText(entry.detail);
    truncateText(entry.cause);
    for (std::string& subject : entry.subjects)
        truncateText(subject);
    if (m_entries.size() >= m_capacity)
        m_entries.pop_front();
    m_entries.push_back(std::move(entry));
}

std::vector<JournalEntry> Journal::find(std::string_view id, size_t limit) const
{
    std::vector<JournalEntry> found;
    for (auto it = m_entries.rbegin(); it != m_entries.rend() && found.size() < limit; ++it) {
        if (isMatch(*it, id))
            found.push_back(*it);
    }
    std::reverse(found.begin(), found.end());
    return found;
}

} // namespace dragonflylane
