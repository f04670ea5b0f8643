#include "dragonflylane/ClaimMessages.h"

#include "dragonflylane/Digest.h"

#include <algorithm>
#include <set>

namespace dragonflylane {

// Neither method nor target contains a space in HTTP, so the separators cannot be forged. A long target is hashed to
// keep the key within its limit.
std::string claimKey(std::string_view method, std::string_view target, const IdempotencyKey& key)
{
    constexpr size_t maxPlainTarget = 256;
    std::string place = target.size() <= maxPlainTarget ? std::string(target) : std::to_string(stableHash(target));
    return std::string(method) + ' ' + place + ' ' + key.value();
}

bool KeeperGap::covers(std::string_view key) const
{
    std::vector<HostId> keepers = keepersOf(key, view);
    auto lacking = std::count_if(keepers.begin(), keepers.end(),
        [this](const HostId& host) { return std::find(missing.begin(), missing.end(), host) != missing.end(); });
    return !keepers.empty() && static_cast<size_t>(lacking) >= majorityOf(keepers.size());
}

// With three data centres or more, no key has two keepers in one of them, so the loss of a whole data centre leaves no
// gap.
bool KeeperGap::isEmpty() const
{
    if (missing.size() < majorityOf(std::min(view.hosts.size(), keepersPerKey)))
        return true;
    std::set<DataCentreName> all;
    std::set<DataCentreName> lacking;
    for (const KeeperHost& keeper : view.hosts) {
        all.insert(keeper.dataCentre);
        if (std::find(missing.begin(), missing.end(), keeper.host) != missing.end())
            lacking.insert(keeper.dataCentre);
    }
    return all.size() >= keepersPerKey && lacking.size() < 2;
}

} // namespace dragonflylane
