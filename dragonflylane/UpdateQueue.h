#pragma once

// Records that a member spreads to others, with the transmissions that remain to each of them.
//
//     UpdateQueue queue(seed);
//     queue.push(hash, { .near = 16, .far = 0.4 });
//     queue.take(GossipReach::Near, [&](uint64_t hash) { return appendIfItFits(hash); });
//
// Pattern: a fleet of hundreds in several data centres whose upstreams come and go. If each daemon sends each record to
// random members as often as one group needs, hundreds of copies of it cross between data centres, though a few would
// do: within a data centre each copy spreads by itself. So transmissions to other data centres are counted apart.
// Their number for one record may be below one at a daemon; then chance decides which daemons send it there.
// Costs O(log queued records) for each change.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace dragonflylane {

/// Where the receiver of records is.
enum class GossipReach : uint8_t {
    /// In the own data centre.
    Near,
    Far,
};

/// How often one daemon sends a record.
struct TransmissionLimits {
    uint32_t near { 0 };
    /// Expected number; a fraction is decided by chance.
    double far { 0 };
};

class UpdateQueue {
public:
    explicit UpdateQueue(uint64_t seed)
        : m_random(seed)
    {
    }

    bool isEmpty() const { return m_items.empty(); }
    bool isEmpty(GossipReach reach) const { return order(reach).empty(); }
    bool contains(uint64_t hash) const { return m_items.contains(hash); }

    /// Queues a record, or starts over if it is queued.
    void push(uint64_t hash, const TransmissionLimits&);
    void erase(uint64_t hash);
    /// Gives up the transmissions that remain to members there.
    void clear(GossipReach);
    /// Others spread the record too: counts as this many transmissions to near members. Unknown hashes are ignored.
    void countNear(uint64_t hash, uint32_t transmissions);
    /// Offers records, those sent least often first. Counts a transmission of each that is taken, and ends when
    /// `maxMisfits` have been turned down.
    void take(GossipReach, size_t maxMisfits, const std::function<bool(uint64_t hash)>& mayTake);

private:
    /// Transmissions so far and their limit.
    struct Count {
        uint32_t sent { 0 };
        uint32_t limit { 0 };
    };
    struct Item {
        Count near;
        Count far;
    };
    /// By transmissions so far.
    using Order = std::set<std::pair<uint32_t, uint64_t>>;

    Order& order(GossipReach reach) { return reach == GossipReach::Near ? m_near : m_far; }
    const Order& order(GossipReach reach) const { return reach == GossipReach::Near ? m_near : m_far; }
    uint32_t roundByChance(double expected);
    void count(uint64_t hash, GossipReach, uint32_t transmissions);

    std::mt19937_64 m_random;
    std::unordered_map<uint64_t, Item> m_items;
    Order m_near;
    Order m_far;
};

} // namespace dragonflylane
