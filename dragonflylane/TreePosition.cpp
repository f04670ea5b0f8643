#include "dragonflylane/TreePosition.h"

#include "dragonflylane/Digest.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonflylane {

namespace {

    /// Finaliser of SplitMix64. Mixes the combination of two hashes into all bits.
    uint64_t mix(uint64_t value)
    {
        value ^= value >> 30U;
        value *= 0xbf58476d1ce4e5b9U;
        value ^= value >> 27U;
        value *= 0x94d049bb133111ebU;
        return value ^ (value >> 31U);
    }

    uint64_t hashOf(const HostId& host)
    {
        return stableHash(host.value());
    }

    /// Rendezvous hashing: the weight of a parent for a child. The child prefers the highest weight.
    uint64_t weight(uint64_t child, uint64_t parent)
    {
        return mix(child * 0x9e3779b97f4a7c15U + parent);
    }

    /// Widens level 1 of each data centre to its equal share of the children that the control hosts serve.
    TreeOptions withLevelOneWidth(TreeOptions options, size_t controlHosts, size_t dataCentres)
    {
        size_t servedMembers = controlHosts * options.controlChildren / std::max<size_t>(dataCentres, 1);
        options.minLevelOneMembers = std::max(options.minLevelOneMembers, static_cast<unsigned>(servedMembers));
        return options;
    }

    /// Half-open range of the ranks in a level of a data centre.
    std::pair<size_t, size_t> levelRange(unsigned level, const TreeOptions& options)
    {
        size_t begin = 0;
        size_t width = std::max(options.minLevelOneMembers, 1U);
        for (unsigned current = 1; current < level; ++current) {
            begin += width;
            width *= std::max(options.fanOut, 2U);
        }
        return { begin, begin + width };
    }

    unsigned levelOfRank(size_t rank, const TreeOptions& options)
    {
        unsigned level = 1;
        while (rank >= levelRange(level, options).second)
            ++level;
        return level;
    }

    /// Range of the deepest level that has members and is not deeper than `level`, in a data centre of `size` members.
    std::pair<size_t, size_t> deepestPopulatedLevel(unsigned level, size_t size, const TreeOptions& options)
    {
        unsigned deepest = std::min(level, levelOfRank(size - 1, options));
        std::pair<size_t, size_t> range = levelRange(deepest, options);
        return { range.first, std::min(range.second, size) };
    }

    /// Sort key of other data centres in the order in which a host falls back to them: its own region first, then by
    /// weight.
    auto fallbackKey(uint64_t self, const RegionName& own, const RegionName& region, const DataCentreName& name)
    {
        return std::tuple(region != own, ~weight(self, stableHash(name.value())), name);
    }

    using Hosts = std::vector<std::pair<uint64_t, HostId>>;

    /// The hosts with the highest weights for `self`, in descending order.
    Hosts highestWeighted(Hosts hosts, uint64_t self, size_t limit)
    {
        for (auto& [hash, host] : hosts)
            hash = ~weight(self, hash); // Inverted, since the sort order is ascending.
        size_t kept = std::min(limit, hosts.size());
        std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(kept), hosts.end());
        hosts.resize(kept);
        return hosts;
    }

    /// Sorts control hosts: first one in the own data centre, so that a change is sent to a data centre only once for
    /// each control host there. Then one in another data centre, since a partition often isolates all control hosts of
    /// a data centre. Then the others in the own data centre, and the rest.
    void sortControlCandidates(std::vector<ParentCandidate>& candidates, const DataCentreName& own)
    {
        auto remote = std::stable_partition(candidates.begin(), candidates.end(),
            [&](const ParentCandidate& candidate) { return candidate.dataCentre == own; });
        bool hasOtherLocal = remote - candidates.begin() > 1;
        if (hasOtherLocal && remote != candidates.end())
            std::rotate(candidates.begin() + 1, remote, remote + 1);
    }

    /// Concatenates the candidates in their order of preference (docs/design.md, 4.3): the first `primaryCandidates` of
    /// `local`, then `remote`, the rest of `local`, and `control`. At level 1, `local` contains the control hosts.
    std::vector<ParentCandidate> concatenateCandidates(std::vector<ParentCandidate> local,
        const std::vector<ParentCandidate>& remote, const std::vector<ParentCandidate>& control,
        const TreeOptions& options)
    {
        std::vector<ParentCandidate> result;
        size_t primary = std::min<size_t>(options.primaryCandidates, local.size());
        auto middle = local.begin() + static_cast<std::ptrdiff_t>(primary);
        result.insert(result.end(), local.begin(), middle);
        result.insert(result.end(), remote.begin(), remote.end());
        result.insert(result.end(), middle, local.end());
        result.insert(result.end(), control.begin(), control.end());
        return result;
    }

} // namespace

TreePosition treePosition(const std::vector<TreeMember>& members, const HostId& self, const TreeOptions& base)
{
    const uint64_t selfHash = hashOf(self);
    const TreeMember* own = nullptr;
    std::map<HostId, const TreeMember*> byHost;
    std::map<DataCentreName, Hosts> dataCentres;
    std::map<DataCentreName, RegionName> regions;
    Hosts control;
    for (const TreeMember& member : members) {
        byHost[member.host] = &member;
        if (member.host == self)
            own = &member;
        if (member.isControl) {
            control.emplace_back(hashOf(member.host), member.host);
            continue;
        }
        dataCentres[member.dataCentre].emplace_back(hashOf(member.host), member.host);
        regions[member.dataCentre] = member.region;
    }
    for (auto& [name, hosts] : dataCentres)
        std::sort(hosts.begin(), hosts.end());
    const TreeOptions options = withLevelOneWidth(base, control.size(), dataCentres.size());

    const auto candidates = [&](const Hosts& hosts) {
        std::vector<ParentCandidate> result;
        for (const auto& [hash, host] : hosts)
            result.push_back({ host, byHost[host]->dataCentre, byHost[host]->isControl });
        return result;
    };
    if (own && own->isControl)
        return { 0, {} };
    std::vector<ParentCandidate> controlCandidates = candidates(highestWeighted(control, selfHash, control.size()));
    if (own)
        sortControlCandidates(controlCandidates, own->dataCentre);
    controlCandidates.resize(std::min<size_t>(controlCandidates.size(), options.controlCandidates));
    if (!own)
        return { 1, controlCandidates };

    const Hosts& peers = dataCentres[own->dataCentre];
    const auto rank = std::find(peers.begin(), peers.end(), std::pair(selfHash, self)) - peers.begin();
    const unsigned level = levelOfRank(static_cast<size_t>(rank), options);
    std::vector<DataCentreName> order;
    for (const auto& [name, hosts] : dataCentres)
        if (name != own->dataCentre)
            order.push_back(name);
    std::sort(order.begin(), order.end(), [&](const DataCentreName& left, const DataCentreName& right) {
        return fallbackKey(selfHash, own->region, regions[left], left)
            < fallbackKey(selfHash, own->region, regions[right], right);
    });
    order.resize(std::min<size_t>(order.size(), options.remoteCandidates));
    std::vector<ParentCandidate> remote;
    for (const DataCentreName& name : order) {
        const Hosts& hosts = dataCentres[name];
        auto [begin, end] = deepestPopulatedLevel(level > 1 ? level - 1 : 1, hosts.size(), options);
        Hosts levelHosts(
            hosts.begin() + static_cast<std::ptrdiff_t>(begin), hosts.begin() + static_cast<std::ptrdiff_t>(end));
        for (const ParentCandidate& candidate : candidates(highestWeighted(levelHosts, selfHash, 1)))
            remote.push_back(candidate);
    }
    if (level == 1)
        return { level, concatenateCandidates(controlCandidates, remote, {}, options) };
    auto [begin, end] = levelRange(level - 1, options);
    Hosts above(peers.begin() + static_cast<std::ptrdiff_t>(begin), peers.begin() + static_cast<std::ptrdiff_t>(end));
    Hosts local = highestWeighted(above, selfHash, options.primaryCandidates + options.secondaryCandidates);
    return { level, concatenateCandidates(candidates(local), remote, controlCandidates, options) };
}

TreeIndex::TreeIndex(HostId self, TreeOptions options)
    : m_self(std::move(self))
    , m_options(options)
{
    m_position.level = 1;
}

bool TreeIndex::update(const TreeMember& member)
{
    auto found = m_members.find(member.host);
    if (found != m_members.end() && found->second == member)
        return false;
    bool affected = false;
    if (found != m_members.end()) {
        affected = affectsPosition(found->second);
        erase(found->second);
    }
    m_members[member.host] = member;
    insert(member);
    return (affectsPosition(member) || affected) && refresh();
}

bool TreeIndex::remove(const HostId& host)
{
    auto found = m_members.find(host);
    if (found == m_members.end())
        return false;
    bool affected = affectsPosition(found->second);
    erase(found->second);
    m_members.erase(found);
    return affected && refresh();
}

void TreeIndex::insert(const TreeMember& member)
{
    Entry entry { hashOf(member.host), member.host };
    std::vector<Entry>* entries = &m_control;
    if (!member.isControl) {
        DataCentre& dataCentre = m_dataCentres[member.dataCentre];
        dataCentre.region = member.region;
        entries = &dataCentre.entries;
    }
    entries->insert(std::lower_bound(entries->begin(), entries->end(), entry), std::move(entry));
}

void TreeIndex::erase(const TreeMember& member)
{
    Entry entry { hashOf(member.host), member.host };
    std::vector<Entry>& entries = member.isControl ? m_control : m_dataCentres[member.dataCentre].entries;
    auto found = std::lower_bound(entries.begin(), entries.end(), entry);
    if (found != entries.end() && *found == entry)
        entries.erase(found);
    if (!member.isControl && entries.empty())
        m_dataCentres.erase(member.dataCentre);
}

bool TreeIndex::affectsPosition(const TreeMember& member) const
{
    auto own = m_members.find(m_self);
    if (member.isControl || member.host == m_self || own == m_members.end())
        return true;
    if (member.dataCentre == own->second.dataCentre)
        return true;
    if (m_fallbackDataCentres.size() < m_options.remoteCandidates)
        return true;
    if (std::find(m_fallbackDataCentres.begin(), m_fallbackDataCentres.end(), member.dataCentre)
        != m_fallbackDataCentres.end())
        return true;
    // The data centre has just appeared or is about to disappear if it has at most one member.
    auto found = m_dataCentres.find(member.dataCentre);
    return found == m_dataCentres.end() || found->second.entries.size() <= 1;
}

std::vector<DataCentreName> TreeIndex::fallbackDataCentres(const TreeMember& own) const
{
    using Key = decltype(fallbackKey(0, own.region, own.region, own.dataCentre));
    const uint64_t ownHash = hashOf(own.host);
    std::vector<Key> keys;
    for (const auto& [name, dataCentre] : m_dataCentres)
        if (name != own.dataCentre)
            keys.push_back(fallbackKey(ownHash, own.region, dataCentre.region, name));
    std::sort(keys.begin(), keys.end());
    keys.resize(std::min<size_t>(keys.size(), m_options.remoteCandidates));
    std::vector<DataCentreName> order;
    order.reserve(keys.size());
    for (Key& key : keys)
        order.push_back(std::move(std::get<2>(key)));
    return order;
}

std::vector<ParentCandidate> TreeIndex::remoteCandidates(const TreeMember& own, unsigned level) const
{
    std::vector<ParentCandidate> result;
    for (const DataCentreName& name : fallbackDataCentres(own)) {
        const std::vector<Entry>& entries = m_dataCentres.at(name).entries;
        auto [begin, end] = deepestPopulatedLevel(level > 1 ? level - 1 : 1, entries.size(), effectiveOptions());
        for (ParentCandidate& candidate : highestWeighted(entries, begin, end, hashOf(own.host), 1))
            result.push_back(std::move(candidate));
    }
    return result;
}

TreeOptions TreeIndex::effectiveOptions() const
{
    return withLevelOneWidth(m_options, m_control.size(), m_dataCentres.size());
}

std::vector<ParentCandidate> TreeIndex::controlCandidates(const DataCentreName& own, uint64_t childHash) const
{
    std::vector<ParentCandidate> candidates
        = highestWeighted(m_control, 0, m_control.size(), childHash, m_control.size());
    sortControlCandidates(candidates, own);
    candidates.resize(std::min<size_t>(candidates.size(), m_options.controlCandidates));
    return candidates;
}

std::vector<ParentCandidate> TreeIndex::highestWeighted(
    const std::vector<Entry>& entries, size_t begin, size_t end, uint64_t childHash, size_t limit) const
{
    std::vector<std::pair<uint64_t, const Entry*>> weighted;
    weighted.reserve(end - begin);
    for (size_t i = begin; i < end; ++i)
        weighted.emplace_back(~weight(childHash, entries[i].hash), &entries[i]);
    const auto isBefore = [](const auto& left, const auto& right) {
        return std::tie(left.first, left.second->host) < std::tie(right.first, right.second->host);
    };
    size_t kept = std::min(limit, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), weighted.end(), isBefore);
    std::vector<ParentCandidate> result;
    for (size_t i = 0; i < kept; ++i) {
        const TreeMember& member = m_members.at(weighted[i].second->host);
        result.push_back({ member.host, member.dataCentre, member.isControl });
    }
    return result;
}

TreePosition TreeIndex::positionOf(const HostId& host) const
{
    auto found = m_members.find(host);
    if (found != m_members.end() && found->second.isControl)
        return {};
    const uint64_t hash = hashOf(host);
    if (found == m_members.end())
        return { 1, highestWeighted(m_control, 0, m_control.size(), hash, m_options.controlCandidates) };
    const TreeMember& own = found->second;
    const TreeOptions options = effectiveOptions();
    std::vector<ParentCandidate> control = controlCandidates(own.dataCentre, hash);
    const std::vector<Entry>& peers = m_dataCentres.at(own.dataCentre).entries;
    auto rank = std::lower_bound(peers.begin(), peers.end(), Entry { hash, host }) - peers.begin();
    const unsigned level = levelOfRank(static_cast<size_t>(rank), options);
    std::vector<ParentCandidate> remote = remoteCandidates(own, level);
    if (level == 1)
        return { level, concatenateCandidates(std::move(control), remote, {}, options) };
    auto [begin, end] = levelRange(level - 1, options);
    size_t limit = options.primaryCandidates + options.secondaryCandidates;
    return { level, concatenateCandidates(highestWeighted(peers, begin, end, hash, limit), remote, control, options) };
}

bool TreeIndex::refresh()
{
    m_fallbackDataCentres.clear();
    auto found = m_members.find(m_self);
    if (found != m_members.end() && !found->second.isControl)
        m_fallbackDataCentres = fallbackDataCentres(found->second);
    TreePosition position = positionOf(m_self);
    if (position == m_position)
        return false;
    m_position = std::move(position);
    return true;
}

} // namespace dragonflylane
