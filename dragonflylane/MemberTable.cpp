#include "dragonflylane/MemberTable.h"

#include "dragonflylane/Digest.h"

#include <iterator>

namespace dragonflylane {

namespace {

    constexpr unsigned bucketShift = 56;

    uint64_t versionHash(const GossipDigestEntry& entry)
    {
        const uint64_t fields[] = { entry.hostHash, entry.incarnation.value(), entry.sequence.value(),
            static_cast<uint64_t>(entry.state), entry.tieBreak };
        return stableHash({ reinterpret_cast<const char*>(fields), sizeof(fields) });
    }

} // namespace

MemberTable::HostHash MemberTable::hashOf(const HostId& host)
{
    return stableHash(host.value());
}

size_t MemberTable::bucketOf(HostHash hash)
{
    return hash >> bucketShift;
}

MemberTable::HostHash MemberTable::bucketFirst(size_t bucket)
{
    return static_cast<HostHash>(bucket) << bucketShift;
}

MemberTable::HostHash MemberTable::bucketLast(size_t bucket)
{
    return bucketFirst(bucket) | ((HostHash { 1 } << bucketShift) - 1);
}

MemberTable::Iterator MemberTable::emplace(const MemberRecord& record, uint32_t tieBreak)
{
    auto node = m_members.emplace(record.host, record).first;
    return m_entries.emplace(hashOf(record.host), Entry { .node = node, .tieBreak = tieBreak }).first;
}

MemberTable::Iterator MemberTable::insert(const MemberRecord& record, uint32_t tieBreak)
{
    Iterator it = emplace(record, tieBreak);
    index(it);
    return it;
}

void MemberTable::replace(Iterator it, const MemberRecord& record, uint32_t tieBreak)
{
    unindex(it);
    it->second.node->second = record;
    it->second.tieBreak = tieBreak;
    index(it);
}

MemberTable::Iterator MemberTable::insertSelf(const MemberRecord& record, uint32_t tieBreak)
{
    Iterator it = emplace(record, tieBreak);
    addToDigest(it->first, it->second);
    return it;
}

void MemberTable::replaceSelf(Iterator it, MemberRecord record, uint32_t tieBreak)
{
    removeFromDigest(it->first, it->second);
    it->second.node->second = std::move(record);
    it->second.tieBreak = tieBreak;
    addToDigest(it->first, it->second);
}

void MemberTable::index(Iterator it)
{
    const MemberRecord& record = it->second.record();
    addToDigest(it->first, it->second);
    m_byAddress[record.address] = it->first;
    if (record.isPresent())
        ++m_presentPerDataCentre[record.dataCentre];
    if (record.state == MemberState::Left)
        return;
    std::vector<HostHash>& list = record.isPresent() ? m_present : m_dead;
    it->second.listIndex = list.size();
    list.push_back(it->first);
}

void MemberTable::unindex(Iterator it)
{
    const MemberRecord& record = it->second.record();
    removeFromDigest(it->first, it->second);
    setDeadline(it, std::nullopt);
    auto address = m_byAddress.find(record.address);
    if (address != m_byAddress.end() && address->second == it->first)
        m_byAddress.erase(address);
    if (record.state == MemberState::Left)
        return;
    std::vector<HostHash>& list = record.isPresent() ? m_present : m_dead;
    auto dataCentre = m_presentPerDataCentre.find(record.dataCentre);
    if (record.isPresent() && dataCentre != m_presentPerDataCentre.end() && --dataCentre->second == 0)
        m_presentPerDataCentre.erase(dataCentre);
    HostHash moved = list.back();
    list[it->second.listIndex] = moved;
    m_entries.find(moved)->second.listIndex = it->second.listIndex;
    list.pop_back();
}

void MemberTable::erase(Iterator it)
{
    unindex(it);
    m_members.erase(it->second.node);
    m_entries.erase(it);
}

void MemberTable::setDeadline(Iterator it, std::optional<TimePoint> deadline)
{
    if (it->second.deadline)
        m_deadlines.erase({ *it->second.deadline, it->first });
    it->second.deadline = deadline;
    if (deadline)
        m_deadlines.emplace(*deadline, it->first);
}

MemberTable::Iterator MemberTable::nextDue()
{
    return m_deadlines.empty() ? end() : find(m_deadlines.begin()->second);
}

std::optional<TimePoint> MemberTable::nextDeadline() const
{
    return m_deadlines.empty() ? std::nullopt : std::optional(m_deadlines.begin()->first);
}

size_t MemberTable::countBetween(HostHash first, HostHash last) const
{
    if (first > last)
        return 0;
    return static_cast<size_t>(std::distance(m_entries.lower_bound(first), m_entries.upper_bound(last)));
}

MemberTable::Iterator MemberTable::findByAddress(const Endpoint& address)
{
    auto it = m_byAddress.find(address);
    return it == m_byAddress.end() ? end() : find(it->second);
}

bool MemberTable::isPresentAt(const Endpoint& address) const
{
    auto it = m_byAddress.find(address);
    return it != m_byAddress.end() && find(it->second)->second.record().isPresent();
}

size_t MemberTable::presentIn(const DataCentreName& dataCentre) const
{
    auto count = m_presentPerDataCentre.find(dataCentre);
    return count == m_presentPerDataCentre.end() ? 0 : count->second;
}

std::vector<Endpoint> MemberTable::deadAddresses() const
{
    std::vector<Endpoint> addresses;
    addresses.reserve(m_dead.size());
    for (HostHash hash : m_dead)
        addresses.push_back(find(hash)->second.record().address);
    return addresses;
}

GossipDigestEntry MemberTable::digestEntry(HostHash hash, const Entry& entry)
{
    const MemberRecord& record = entry.record();
    return { .hostHash = hash,
        .incarnation = record.incarnation,
        .sequence = record.sequence,
        .state = record.state,
        .tieBreak = entry.tieBreak };
}

void MemberTable::addToDigest(HostHash hash, const Entry& entry)
{
    if (!entry.record().isPresent())
        return;
    uint64_t version = versionHash(digestEntry(hash, entry));
    m_rootDigest += version;
    m_bucketDigests[bucketOf(hash)] += static_cast<uint32_t>(version);
}

void MemberTable::removeFromDigest(HostHash hash, const Entry& entry)
{
    if (!entry.record().isPresent())
        return;
    uint64_t version = versionHash(digestEntry(hash, entry));
    m_rootDigest -= version;
    m_bucketDigests[bucketOf(hash)] -= static_cast<uint32_t>(version);
}

} // namespace dragonflylane
