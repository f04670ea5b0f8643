#pragma once

// Queue of membership records that a member still has to gossip, with the number of remaining transmissions of each.
//
//     UpdateQueue queue(seed);
//     queue.push(hash, { .local = 16, .remote = 0.4 });
//     queue.take(GossipScope::LocalDataCentre, maxRejected, [&](uint64_t hash) { return appendIfItFits(hash); });
//
// Transmissions within the local data centre and to remote data centres are counted separately. In a mesh of hundreds
// of daemons with frequent changes of upstreams, sending each record to random members as often as one data centre
// needs would send hundreds of copies between data centres. A few are enough, since each copy spreads within its data
// centre. The number of remote transmissions for each daemon may be below one; a random choice then decides which
// daemons send the record.
//
// Each operation costs O(log n) for each record that it changes, with n queued records.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

namespace dragonflylane {

/// Location of the receiver of a gossip message, relative to this member.
enum class GossipScope : uint8_t {
    /// In the local data centre.
    LocalDataCentre,
    /// In a remote data centre.
    RemoteDataCentres,
};

/// Number of times that one daemon sends a record.
struct TransmissionLimits {
    uint32_t local { 0 };
    /// Expected value; rounded up or down at random.
    double remote { 0 };
};

class UpdateQueue {
public:
    explicit UpdateQueue(uint64_t seed)
        : m_random(seed)
    {
    }

    bool isEmpty() const { return m_items.empty(); }
    bool isEmpty(GossipScope scope) const { return order(scope).empty(); }
    bool contains(uint64_t hash) const { return m_items.contains(hash); }

    /// Queues a record. If it is queued already, its count of transmissions restarts.
    void push(uint64_t hash, const TransmissionLimits&);
    void erase(uint64_t hash);
    /// Drops the remaining transmissions to that location.
    void clear(GossipScope);
    /// Counts transmissions of the record by other members within the local data centre. Unknown hashes are ignored.
    void countLocal(uint64_t hash, uint32_t transmissions);
    /// Calls `tryAppend` for queued records, those with the fewest transmissions first, and counts a transmission of
    /// each record for which it returns true. Stops after it has returned false `maxRejected` times.
    void take(GossipScope, size_t maxRejected, const std::function<bool(uint64_t hash)>& tryAppend);

private:
    /// Number of transmissions so far, and its limit.
    struct Count {
        uint32_t sent { 0 };
        uint32_t limit { 0 };
    };
    struct Item {
        Count local;
        Count remote;
    };
    /// Pairs of (transmissions so far, hash).
    using Order = std::set<std::pair<uint32_t, uint64_t>>;

    Order& order(GossipScope scope) { return scope == GossipScope::LocalDataCentre ? m_local : m_remote; }
    const Order& order(GossipScope scope) const { return scope == GossipScope::LocalDataCentre ? m_local : m_remote; }
    uint32_t roundAtRandom(double expected);
    void count(uint64_t hash, GossipScope, uint32_t transmissions);

    std::mt19937_64 m_random;
    std::unordered_map<uint64_t, Item> m_items;
    Order m_local;
    Order m_remote;
};

} // namespace dragonflylane
