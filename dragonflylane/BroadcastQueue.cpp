#include "dragonflylane/BroadcastQueue.h"

#include "dragonflylane/Bytes.h"
#include "dragonflylane/Digest.h"
#include "dragonflylane/GossipWire.h"

namespace dragonflylane {

bool BroadcastQueue::remember(const GossipBroadcast& broadcast)
{
    std::string identity;
    appendText(identity, broadcast.origin.value());
    appendNumber(identity, broadcast.bootId.value());
    appendNumber(identity, broadcast.number);
    uint64_t hash = stableHash(identity);
    if (!m_identities.insert(hash).second)
        return false;
    m_identityOrder.push_back(hash);
    if (m_identityOrder.size() > m_options.maxIdentities) {
        m_identities.erase(m_identityOrder.front());
        m_identityOrder.pop_front();
    }
    return true;
}

bool BroadcastQueue::push(GossipBroadcast broadcast)
{
    if (isFull())
        return false;
    m_items.push_back({ .broadcast = std::move(broadcast) });
    return true;
}

void BroadcastQueue::fill(GossipPiggyback& piggyback, size_t& budget, uint32_t transmissionLimit)
{
    for (size_t remaining = m_items.size(); remaining > 0; --remaining) {
        Item item = std::move(m_items.front());
        m_items.pop_front();
        size_t size = encodedSizeBound(item.broadcast);
        if (size <= budget) {
            budget -= size;
            piggyback.broadcasts.push_back(item.broadcast);
            ++item.transmissions;
        }
        if (item.transmissions < transmissionLimit)
            m_items.push_back(std::move(item));
    }
}

} // namespace dragonflylane
