#include "dragonflylane/KeeperSelection.h"

#include "dragonflylane/Digest.h"

#include <algorithm>
#include <cstdint>

namespace dragonflylane {

bool KeeperView::contains(const HostId& host) const
{
    return std::any_of(hosts.begin(), hosts.end(), [&host](const KeeperHost& keeper) { return keeper.host == host; });
}

// Three passes over the hashes are faster than sorting them all. This matters because a claim calls the function
// several times.
std::vector<HostId> keepersOf(std::string_view key, const KeeperView& view)
{
    uint64_t seed = stableHash(key);
    std::vector<uint64_t> hashes;
    hashes.reserve(view.hosts.size());
    for (const KeeperHost& keeper : view.hosts)
        hashes.push_back(stableHash(keeper.host.value(), seed));

    std::vector<const KeeperHost*> chosen;
    chosen.reserve(keepersPerKey);
    auto isTaken = [&chosen](const KeeperHost& keeper, bool allowShared) {
        return std::any_of(chosen.begin(), chosen.end(), [&](const KeeperHost* other) {
            return other == &keeper || (!allowShared && other->dataCentre == keeper.dataCentre);
        });
    };
    auto pickBest = [&](bool allowShared) {
        size_t best = view.hosts.size();
        for (size_t i = 0; i < view.hosts.size(); ++i) {
            // The host id breaks ties, so the order in which the view lists its hosts does not matter.
            bool isBetter = best == view.hosts.size() || hashes[i] > hashes[best]
                || (hashes[i] == hashes[best] && view.hosts[i].host < view.hosts[best].host);
            if (isBetter && !isTaken(view.hosts[i], allowShared))
                best = i;
        }
        if (best == view.hosts.size())
            return false;
        chosen.push_back(&view.hosts[best]);
        return true;
    };
    while (chosen.size() < keepersPerKey && (pickBest(false) || pickBest(true))) { }

    std::vector<HostId> keepers;
    keepers.reserve(chosen.size());
    for (const KeeperHost* keeper : chosen)
        keepers.push_back(keeper->host);
    return keepers;
}

} // namespace dragonflylane
