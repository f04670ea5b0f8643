#pragma once

// A plan: the changes an operator asks for and what they would do. Nothing of it is applied before it is confirmed.

#include "dragonflylane/ConfigDelta.h"

#include <optional>

namespace dragonflylane {

/// Adds an item or replaces it as a whole.
struct SetItem {
    ConfigItem item;

    bool operator==(const SetItem&) const = default;
};

/// Removes an item that exists.
struct RemoveItem {
    ItemKey key;

    bool operator==(const RemoveItem&) const = default;
};

using PlanChange = std::variant<SetItem, RemoveItem>;

/// What an operator submits.
struct PlanRequest {
    /// Revision that the operator saw; absent: the current one.
    std::optional<Revision> base;
    std::vector<PlanChange> changes;

    bool operator==(const PlanRequest&) const = default;
};

/// Something that the operator should know but that does not stop the plan.
struct PlanWarning {
    ItemKey item;
    std::string text;

    bool operator==(const PlanWarning&) const = default;
};

/// Result of a review.
struct Plan {
    Revision base;
    std::vector<PlanChange> changes;
    /// From the base to the revision that confirmation creates.
    ConfigDelta delta;
    std::vector<ItemKey> added;
    std::vector<ItemKey> changed;
    std::vector<ItemKey> removed;
    /// Values of the changed and removed items at the base.
    std::map<ItemKey, ConfigItem> before;
    /// Routes that exist only after or only before.
    std::vector<RouteName> routesGained;
    std::vector<RouteName> routesLost;
    std::vector<PlanWarning> warnings;
    uint64_t daemonsAffected { 0 };
    /// Bytes of the encoded delta times the daemons that receive it.
    uint64_t estimatedControlBytes { 0 };
};

/// Limits of one plan.
struct PlanLimits {
    static constexpr size_t changes = 512;
    static constexpr size_t bytes = size_t { 256 } << 10;
};

} // namespace dragonflylane
