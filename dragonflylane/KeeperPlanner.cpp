#include "dragonflylane/KeeperPlanner.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    bool isPresent(const std::map<HostId, MemberRecord>& members, const HostId& host)
    {
        auto it = members.find(host);
        return it != members.end() && it->second.isPresent();
    }

    bool contains(const std::vector<KeeperHost>& hosts, const HostId& host)
    {
        return std::any_of(hosts.begin(), hosts.end(), [&](const KeeperHost& keeper) { return keeper.host == host; });
    }

    // Returns the present host that is not in the view and whose data centre has the fewest keepers.
    std::optional<KeeperHost> bestCandidate(
        const std::map<HostId, MemberRecord>& members, const std::vector<KeeperHost>& hosts)
    {
        std::map<DataCentreName, size_t> counts;
        for (const KeeperHost& keeper : hosts)
            ++counts[keeper.dataCentre];
        std::optional<KeeperHost> best;
        for (const auto& [host, record] : members) {
            if (!record.isPresent() || contains(hosts, host))
                continue;
            if (!best || counts[record.dataCentre] < counts[best->dataCentre])
                best = KeeperHost { host, record.dataCentre };
        }
        return best;
    }

} // namespace

void KeeperPlanner::reset()
{
    m_leaderSince.reset();
    m_changedAt.reset();
    m_absentSince.clear();
}

std::optional<KeeperViewItem> KeeperPlanner::proposeView(
    const std::map<HostId, MemberRecord>& members, const KeeperViewItem* current, TimePoint now)
{
    if (!m_leaderSince)
        m_leaderSince = now;
    if (!current)
        return firstView(members, now);
    if (m_changedAt && now - *m_changedAt < m_options.changeInterval)
        return std::nullopt;
    KeeperViewItem view = *current;
    view.epoch = current->epoch.next();
    auto candidate = bestCandidate(members, view.hosts);
    if (auto absent = longestAbsent(members, *current, now)) {
        std::erase(view.hosts, *absent);
        if (candidate)
            view.hosts.push_back(*candidate);
    } else if (candidate && view.hosts.size() < m_options.maxHosts) {
        view.hosts.push_back(*candidate);
    } else {
        return std::nullopt;
    }
    m_changedAt = now;
    return view.hosts.empty() ? std::nullopt : std::optional(view);
}

std::optional<KeeperViewItem> KeeperPlanner::firstView(const std::map<HostId, MemberRecord>& members, TimePoint now)
{
    if (members.size() != m_memberCount) {
        m_memberCount = members.size();
        m_membersStableSince = now;
    }
    if (now - m_membersStableSince < m_options.settleTime || now - *m_leaderSince < m_options.settleTime)
        return std::nullopt;
    KeeperViewItem view { .epoch = Epoch(1) };
    while (view.hosts.size() < m_options.maxHosts) {
        auto candidate = bestCandidate(members, view.hosts);
        if (!candidate)
            break;
        view.hosts.push_back(*candidate);
    }
    m_changedAt = now;
    return view.hosts.empty() ? std::nullopt : std::optional(view);
}

std::optional<KeeperHost> KeeperPlanner::longestAbsent(
    const std::map<HostId, MemberRecord>& members, const KeeperViewItem& current, TimePoint now)
{
    std::optional<KeeperHost> longest;
    TimePoint earliest = now - m_options.replaceAfter;
    for (const KeeperHost& keeper : current.hosts) {
        if (isPresent(members, keeper.host)) {
            m_absentSince.erase(keeper.host);
            continue;
        }
        TimePoint since = m_absentSince.try_emplace(keeper.host, now).first->second;
        if (since <= earliest) {
            earliest = since;
            longest = keeper;
        }
    }
    return longest;
}

} // namespace dragonflylane
