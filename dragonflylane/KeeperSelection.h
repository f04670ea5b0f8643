#pragma once

// Selects the keepers of a key, i.e. the hosts that store its idempotency record. A pure function of the key and the
// keeper view, so all daemons agree.

#include "dragonflylane/KeeperHost.h"

#include <string_view>
#include <vector>

namespace dragonflylane {

/// The hosts that store idempotency records in one epoch. The epoch increases by one with each change.
struct KeeperView {
    Epoch epoch;
    std::vector<KeeperHost> hosts;

    bool contains(const HostId&) const;
    bool operator==(const KeeperView&) const = default;
};

inline constexpr size_t keepersPerKey = 3;
inline constexpr size_t maxKeeperHosts = 64;

/// Returns the keepers of a key by rendezvous hashing (Thaler and Ravishankar 1998), in order of their hash. They are
/// in different data centres if the view has enough of them. Fewer than keepersPerKey only if the view has fewer hosts.
/// O(hosts).
std::vector<HostId> keepersOf(std::string_view key, const KeeperView&);

/// Number of grants that a claim needs from this many keepers.
constexpr size_t majorityOf(size_t keepers)
{
    return keepers / 2 + 1;
}

} // namespace dragonflylane
