#include "dragonflylane/ParentCandidates.h"

#include <algorithm>

namespace dragonflylane {

void ParentCandidates::set(std::vector<ParentCandidate> candidates, TimePoint now)
{
    m_candidates = std::move(candidates);
    m_next = 0;
    std::erase_if(m_blockedUntil, [&](const auto& entry) { return entry.second <= now; });
}

std::optional<size_t> ParentCandidates::indexOf(const HostId& host) const
{
    auto found = std::find_if(m_candidates.begin(), m_candidates.end(),
        [&](const ParentCandidate& candidate) { return candidate.host == host; });
    if (found == m_candidates.end())
        return std::nullopt;
    return static_cast<size_t>(found - m_candidates.begin());
}

bool ParentCandidates::isBlocked(const HostId& host, TimePoint now) const
{
    auto blocked = m_blockedUntil.find(host);
    return blocked != m_blockedUntil.end() && blocked->second > now;
}

std::optional<TimePoint> ParentCandidates::firstUnblocked(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const ParentCandidate& candidate : m_candidates) {
        if (!isBlocked(candidate.host, now))
            continue;
        TimePoint until = m_blockedUntil.at(candidate.host);
        earliest = std::min(earliest.value_or(until), until);
    }
    return earliest;
}

std::optional<size_t> ParentCandidates::next(
    const HostId& self, const std::optional<HostId>& parent, TimePoint now) const
{
    for (size_t step = 0; step < m_candidates.size(); ++step) {
        size_t index = (m_next + step) % m_candidates.size();
        const HostId& host = m_candidates[index].host;
        if (!isBlocked(host, now) && host != parent && host != self)
            return index;
    }
    return std::nullopt;
}

} // namespace dragonflylane
