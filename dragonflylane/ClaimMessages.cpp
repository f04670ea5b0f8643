#include "dragonflylane/ClaimMessages.h"

#include "dragonflylane/Digest.h"

#include <algorithm>
#include <set>

namespace dragonflylane {

// In HTTP neither the method nor the target contains a space, so the separators are unambiguous. A long target is
// replaced by its hash to keep the key within maxClaimKeyBytes.
std::string claimKey(
    const TenantName& tenant, std::string_view method, std::string_view target, const IdempotencyKey& key)
{
    constexpr size_t maxUnhashedTarget = 256;
    std::string targetPart
        = target.size() <= maxUnhashedTarget ? std::string(target) : std::to_string(stableHash(target));
    std::string tenantPart = tenant.isEmpty() ? std::string() : std::to_string(stableHash(tenant.value())) + ' ';
    return tenantPart + std::string(method) + ' ' + targetPart + ' ' + key.value();
}

bool KeeperGap::covers(std::string_view key) const
{
    std::vector<HostId> keepers = keepersOf(key, view);
    auto lacking = std::count_if(keepers.begin(), keepers.end(),
        [this](const HostId& host) { return std::find(missing.begin(), missing.end(), host) != missing.end(); });
    return !keepers.empty() && static_cast<size_t>(lacking) >= majorityOf(keepers.size());
}

// With at least three data centres, no key has two keepers in the same one, so the loss of a whole data centre causes
// no gap.
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
