#pragma once

// The difference between two revisions of the configuration. Consecutive deltas can be merged into one whose size is
// bounded by the number of changed items, independent of the number of revisions.

#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/Digest.h"

#include <map>
#include <set>

namespace dragonflylane {

/// Changes from one revision to a later one. No key is in both upserts and removals. Removing an absent key is allowed,
/// because merging an addition with a later removal results in that.
struct ConfigDelta {
    Revision fromRevision;
    Digest fromDigest;
    Revision toRevision;
    Digest toDigest;
    std::map<ItemKey, ConfigItem> upserts;
    std::set<ItemKey> removals;

    bool operator==(const ConfigDelta&) const = default;

    /// Merges the following delta into this one. Returns BaseMismatch or DigestMismatch, and changes nothing, if `next`
    /// does not start at the revision and digest at which this one ends. Takes time proportional to the size of `next`.
    std::error_code append(const ConfigDelta& next);
    /// Number of changed items.
    size_t size() const { return upserts.size() + removals.size(); }
    std::vector<ItemKey> keys() const;
};

} // namespace dragonflylane
