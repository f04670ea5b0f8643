#include "dragonflylane/ClaimMessages.h"

#include <algorithm>
#include <set>

namespace dragonflylane {

// A service name contains no zero byte, so the separator cannot be forged.
std::string claimKey(const ServiceName& service, const IdempotencyKey& key)
{
    return service.value() + '\0' + key.value();
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
