#include "dragonflylane/UpdateQueue.h"

#include <cmath>
#include <vector>

namespace dragonflylane {

void UpdateQueue::push(uint64_t hash, const TransmissionLimits& limits)
{
    erase(hash);
    Item item { .local = { .limit = limits.local }, .remote = { .limit = roundAtRandom(limits.remote) } };
    if (item.local.limit > 0)
        m_local.emplace(0, hash);
    if (item.remote.limit > 0)
        m_remote.emplace(0, hash);
    if (item.local.limit > 0 || item.remote.limit > 0)
        m_items.emplace(hash, item);
}

void UpdateQueue::erase(uint64_t hash)
{
    auto found = m_items.find(hash);
    if (found == m_items.end())
        return;
    m_local.erase({ found->second.local.sent, hash });
    m_remote.erase({ found->second.remote.sent, hash });
    m_items.erase(found);
}

void UpdateQueue::clear(GossipScope scope)
{
    order(scope).clear();
    for (auto it = m_items.begin(); it != m_items.end();) {
        Item& item = it->second;
        (scope == GossipScope::LocalDataCentre ? item.local : item.remote).limit = 0;
        bool isDone = item.local.sent >= item.local.limit && item.remote.sent >= item.remote.limit;
        it = isDone ? m_items.erase(it) : std::next(it);
    }
}

void UpdateQueue::countLocal(uint64_t hash, uint32_t transmissions)
{
    if (transmissions > 0)
        count(hash, GossipScope::LocalDataCentre, transmissions);
}

void UpdateQueue::take(GossipScope scope, size_t maxRejected, const std::function<bool(uint64_t)>& tryAppend)
{
    std::vector<uint64_t> taken;
    size_t rejected = 0;
    for (const auto& [sent, hash] : order(scope)) {
        if (tryAppend(hash))
            taken.push_back(hash);
        else if (++rejected >= maxRejected)
            break;
    }
    for (uint64_t hash : taken)
        count(hash, scope, 1);
}

uint32_t UpdateQueue::roundAtRandom(double expected)
{
    double whole = std::floor(expected);
    bool isRoundedUp = std::uniform_real_distribution<double>(0, 1)(m_random) < expected - whole;
    return static_cast<uint32_t>(whole) + (isRoundedUp ? 1 : 0);
}

void UpdateQueue::count(uint64_t hash, GossipScope scope, uint32_t transmissions)
{
    auto found = m_items.find(hash);
    if (found == m_items.end())
        return;
    Count& counted = scope == GossipScope::LocalDataCentre ? found->second.local : found->second.remote;
    if (order(scope).erase({ counted.sent, hash }) == 0)
        return;
    counted.sent += transmissions;
    if (counted.sent < counted.limit)
        order(scope).emplace(counted.sent, hash);
    const Item& item = found->second;
    if (item.local.sent >= item.local.limit && item.remote.sent >= item.remote.limit)
        m_items.erase(found);
}

} // namespace dragonflylane
