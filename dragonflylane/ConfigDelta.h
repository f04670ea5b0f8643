#pragma once

// The difference between two revisions of the configuration. Deltas that follow one another merge into one whose size
// is bounded by the number of items touched, however many revisions it spans.

#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/Digest.h"

#include <map>
#include <set>

namespace dragonflylane {

/// Step from one revision to a later one. No key is in both upserts and removals; removing an absent key is allowed,
/// because merging an addition with its removal yields that.
struct ConfigDelta {
    Revision fromRevision;
    Digest fromDigest;
    Revision toRevision;
    Digest toDigest;
    std::map<ItemKey, ConfigItem> upserts;
    std::set<ItemKey> removals;

    bool operator==(const ConfigDelta&) const = default;

    /// Merges the delta that follows this one in O(changes of `next`). Returns BaseMismatch or DigestMismatch, and
    /// changes nothing, if `next` does not start where this one ends.
    std::error_code append(const ConfigDelta& next);
    /// Items touched.
    size_t size() const { return upserts.size() + removals.size(); }
    std::vector<ItemKey> keys() const;
};

} // namespace dragonflylane
