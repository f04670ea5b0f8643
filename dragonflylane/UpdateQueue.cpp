#include "dragonflylane/UpdateQueue.h"

#include <cmath>
#include <vector>

namespace dragonflylane {

void UpdateQueue::push(uint64_t hash, const TransmissionLimits& limits)
{
    erase(hash);
    Item item { .near = { .limit = limits.near }, .far = { .limit = roundAtRandom(limits.far) } };
    if (item.near.limit > 0)
        m_near.emplace(0, hash);
    if (item.far.limit > 0)
        m_far.emplace(0, hash);
    if (item.near.limit > 0 || item.far.limit > 0)
        m_items.emplace(hash, item);
}

void UpdateQueue::erase(uint64_t hash)
{
    auto found = m_items.find(hash);
    if (found == m_items.end())
        return;
    m_near.erase({ found->second.near.sent, hash });
    m_far.erase({ found->second.far.sent, hash });
    m_items.erase(found);
}

void UpdateQueue::clear(GossipReach reach)
{
    order(reach).clear();
    for (auto it = m_items.begin(); it != m_items.end();) {
        Item& item = it->second;
        (reach == GossipReach::Near ? item.near : item.far).limit = 0;
        bool isDone = item.near.sent >= item.near.limit && item.far.sent >= item.far.limit;
        it = isDone ? m_items.erase(it) : std::next(it);
    }
}

void UpdateQueue::countNear(uint64_t hash, uint32_t transmissions)
{
    if (transmissions > 0)
        count(hash, GossipReach::Near, transmissions);
}

void UpdateQueue::take(GossipReach reach, size_t maxRejected, const std::function<bool(uint64_t)>& tryAppend)
{
    std::vector<uint64_t> taken;
    size_t rejected = 0;
    for (const auto& [sent, hash] : order(reach)) {
        if (tryAppend(hash))
            taken.push_back(hash);
        else if (++rejected >= maxRejected)
            break;
    }
    for (uint64_t hash : taken)
        count(hash, reach, 1);
}

uint32_t UpdateQueue::roundAtRandom(double expected)
{
    double whole = std::floor(expected);
    bool isRoundedUp = std::uniform_real_distribution<double>(0, 1)(m_random) < expected - whole;
    return static_cast<uint32_t>(whole) + (isRoundedUp ? 1 : 0);
}

void UpdateQueue::count(uint64_t hash, GossipReach reach, uint32_t transmissions)
{
    auto found = m_items.find(hash);
    if (found == m_items.end())
        return;
    Count& counted = reach == GossipReach::Near ? found->second.near : found->second.far;
    if (order(reach).erase({ counted.sent, hash }) == 0)
        return;
    counted.sent += transmissions;
    if (counted.sent < counted.limit)
        order(reach).emplace(counted.sent, hash);
    const Item& item = found->second;
    if (item.near.sent >= item.near.limit && item.far.sent >= item.far.limit)
        m_items.erase(found);
}

} // namespace dragonflylane
