#pragma once

// Which hosts keep the duplicate record of a key: a pure function of the key and the keeper view, equal at all daemons.

#include "dragonflylane/KeeperHost.h"

#include <string_view>
#include <vector>

namespace dragonflylane {

/// The hosts that store duplicate records in one epoch. Epochs grow by one with each change.
struct KeeperView {
    Epoch epoch;
    std::vector<KeeperHost> hosts;

    bool contains(const HostId&) const;
    bool operator==(const KeeperView&) const = default;
};

inline constexpr size_t keepersPerKey = 3;
inline constexpr size_t maxKeeperHosts = 64;

/// The keepers of a key by rendezvous hash (Thaler and Ravishankar 1998), in different data centres where there are
/// enough, in order of their hash. Fewer than three only if the view has fewer hosts. O(hosts).
std::vector<HostId> keepersOf(std::string_view key, const KeeperView&);

/// Grants that make a claim, of this many keepers.
constexpr size_t majorityOf(size_t keepers)
{
    return keepers / 2 + 1;
}

} // namespace dragonflylane
