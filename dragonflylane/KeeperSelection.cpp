#include "dragonflylane/KeeperSelection.h"

#include "dragonflylane/Digest.h"

#include <algorithm>
#include <cstdint>

namespace dragonflylane {

bool KeeperView::contains(const HostId& host) const
{
    return std::any_of(hosts.begin(), hosts.end(), [&host](const KeeperHost& keeper) { return keeper.host == host; });
}

std::vector<HostId> keepersOf(std::string_view key, const KeeperView& view)
{
    struct Ranked {
        uint64_t hash;
        const KeeperHost* keeper;
    };
    uint64_t seed = stableHash(key);
    std::vector<Ranked> ranked;
    ranked.reserve(view.hosts.size());
    for (const KeeperHost& keeper : view.hosts)
        ranked.push_back({ stableHash(keeper.host.value(), seed), &keeper });
    // The host id breaks ties, so the order in which the view lists its hosts does not matter.
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
        return a.hash != b.hash ? a.hash > b.hash : a.keeper->host < b.keeper->host;
    });

    std::vector<const KeeperHost*> chosen;
    auto isChosen = [&chosen](const KeeperHost* keeper) {
        return std::find(chosen.begin(), chosen.end(), keeper) != chosen.end();
    };
    auto sharesDataCentre = [&chosen](const KeeperHost* keeper) {
        return std::any_of(chosen.begin(), chosen.end(),
            [keeper](const KeeperHost* other) { return other->dataCentre == keeper->dataCentre; });
    };
    for (bool allowShared : { false, true }) {
        for (const Ranked& candidate : ranked) {
            if (chosen.size() == keepersPerKey)
                break;
            if (!isChosen(candidate.keeper) && (allowShared || !sharesDataCentre(candidate.keeper)))
                chosen.push_back(candidate.keeper);
        }
    }
    std::vector<HostId> keepers;
    keepers.reserve(chosen.size());
    for (const KeeperHost* keeper : chosen)
        keepers.push_back(keeper->host);
    return keepers;
}

} // namespace dragonflylane
