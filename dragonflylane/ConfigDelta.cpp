#include "dragonflylane/ConfigDelta.h"

#include "dragonflylane/ResultCode.h"

namespace dragonflylane {

std::error_code ConfigDelta::append(const ConfigDelta& next)
{
    if (next.fromRevision != toRevision)
        return ResultCode::BaseMismatch;
    if (next.fromDigest != toDigest)
        return ResultCode::DigestMismatch;
    for (const ItemKey& key : next.removals) {
        upserts.erase(key);
        removals.insert(key);
    }
    for (const auto& [key, item] : next.upserts) {
        removals.erase(key);
        upserts.insert_or_assign(key, item);
    }
    toRevision = next.toRevision;
    toDigest = next.toDigest;
    return {};
}

std::vector<ItemKey> ConfigDelta::keys() const
{
    std::set<ItemKey> keys = removals;
    for (const auto& [key, item] : upserts)
        keys.insert(key);
    return { keys.begin(), keys.end() };
}

} // namespace dragonflylane
