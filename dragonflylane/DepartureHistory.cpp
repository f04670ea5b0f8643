#include "dragonflylane/DepartureHistory.h"

#include <algorithm>

namespace dragonflylane {

bool DepartureHistory::add(const HostId& host, const std::vector<DepartedProcess>& departures)
{
    const DepartureList& known = at(host);
    bool isNew = std::any_of(
        departures.begin(), departures.end(), [&](const DepartedProcess& departed) { return !known.covers(departed); });
    if (!isNew)
        return false;
    Entry& entry = m_hosts[host];
    for (const DepartedProcess& departed : departures)
        entry.departures.add(departed);
    entry.changedAt = ++m_changes;
    if (m_hosts.size() > maxHosts) {
        m_hosts.erase(std::min_element(m_hosts.begin(), m_hosts.end(),
            [](const auto& left, const auto& right) { return left.second.changedAt < right.second.changedAt; }));
    }
    return true;
}

const DepartureList& DepartureHistory::at(const HostId& host) const
{
    static const DepartureList none;
    auto entry = m_hosts.find(host);
    return entry == m_hosts.end() ? none : entry->second.departures;
}

std::vector<HostDepartures> DepartureHistory::all() const
{
    std::vector<std::map<HostId, Entry>::const_iterator> entries;
    for (auto entry = m_hosts.begin(); entry != m_hosts.end(); ++entry)
        entries.push_back(entry);
    std::sort(entries.begin(), entries.end(),
        [](const auto& left, const auto& right) { return left->second.changedAt < right->second.changedAt; });
    std::vector<HostDepartures> result;
    result.reserve(entries.size());
    for (const auto& entry : entries)
        result.push_back({ entry->first, entry->second.departures });
    return result;
}

} // namespace dragonflylane
