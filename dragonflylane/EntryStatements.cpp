#include "dragonflylane/EntryStatements.h"

#include <algorithm>

namespace dragonflylane {

void EntryStatements::record(
    const UpstreamId& upstream, const std::optional<ProcessStatement>& statement, TimePoint now)
{
    if (!statement) {
        m_upstreams.erase(upstream);
        return;
    }
    m_upstreams[upstream] = { *statement, now };
    if (m_upstreams.size() > m_options.maxUpstreams)
        dropOldest();
}

const ProcessStatement* EntryStatements::find(const UpstreamId& upstream, TimePoint now) const
{
    auto found = m_upstreams.find(upstream);
    bool isKnown = found != m_upstreams.end() && now - found->second.updatedAt <= m_options.maxAge;
    return isKnown ? &found->second.statement : nullptr;
}

void EntryStatements::dropOldest()
{
    auto oldest = std::min_element(m_upstreams.begin(), m_upstreams.end(),
        [](const auto& a, const auto& b) { return a.second.updatedAt < b.second.updatedAt; });
    m_upstreams.erase(oldest);
}

} // namespace dragonflylane
