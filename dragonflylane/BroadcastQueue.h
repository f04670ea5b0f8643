#pragma once

// Broadcasts that a member forwards, and the identities of broadcasts seen before.
//
//     BroadcastQueue queue({ .maxQueued = 64, .maxIdentities = 4096 });
//     if (queue.remember(broadcast))
//         queue.push(broadcast);
//     queue.fill(piggyback, budget, transmissionLimit);
//
// Both are bounded. A broadcast whose identity has been evicted by newer ones is treated as new.

#include "dragonflylane/GossipMessages.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_set>

namespace dragonflylane {

struct BroadcastQueueOptions {
    size_t maxQueued { 64 };
    size_t maxIdentities { 4096 };
};

class BroadcastQueue {
public:
    explicit BroadcastQueue(BroadcastQueueOptions options)
        : m_options(options)
    {
    }

    bool isEmpty() const { return m_items.empty(); }
    bool isFull() const { return m_items.size() >= m_options.maxQueued; }
    /// Records the identity. Returns false if the broadcast was seen before.
    bool remember(const GossipBroadcast&);
    /// Queues a broadcast. Returns false if the queue is full.
    bool push(GossipBroadcast);
    /// Adds the broadcasts that fit into the budget, in bytes, and reduces it. A broadcast is removed from the queue
    /// after `transmissionLimit` transmissions.
    void fill(GossipPiggyback&, size_t& budget, uint32_t transmissionLimit);

private:
    struct Item {
        GossipBroadcast broadcast;
        uint32_t transmissions { 0 };
    };

    BroadcastQueueOptions m_options;
    std::deque<Item> m_items;
    std::unordered_set<uint64_t> m_identities;
    /// Identities in order of arrival, for eviction of the oldest.
    std::deque<uint64_t> m_identityOrder;
};

} // namespace dragonflylane
