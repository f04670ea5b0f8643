#pragma once

// A plan: the changes requested by an operator and their effects. Nothing is applied before the plan is confirmed.

#include "dragonflylane/ConfigDelta.h"

#include <optional>

namespace dragonflylane {

/// Adds an item, or replaces the item with the same key.
struct SetItem {
    ConfigItem item;

    bool operator==(const SetItem&) const = default;
};

/// Removes an existing item.
struct RemoveItem {
    ItemKey key;

    bool operator==(const RemoveItem&) const = default;
};

using PlanChange = std::variant<SetItem, RemoveItem>;

/// The part of a plan that an operator submits.
struct PlanRequest {
    /// Revision on which the operator based the changes; the current one if absent.
    std::optional<Revision> base;
    std::vector<PlanChange> changes;

    bool operator==(const PlanRequest&) const = default;
};

/// A problem of which the operator should be aware, but that does not prevent the plan.
struct PlanWarning {
    ItemKey item;
    std::string text;

    bool operator==(const PlanWarning&) const = default;
};

/// Result of PlanReview::review().
struct Plan {
    Revision base;
    std::vector<PlanChange> changes;
    /// Difference from the base to the revision that confirmation creates.
    ConfigDelta delta;
    std::vector<ItemKey> added;
    std::vector<ItemKey> changed;
    std::vector<ItemKey> removed;
    /// Values of the changed and removed items in the base.
    std::map<ItemKey, ConfigItem> before;
    /// Routes that exist only after the plan, and routes that exist only before it.
    std::vector<RouteName> routesGained;
    std::vector<RouteName> routesLost;
    std::vector<PlanWarning> warnings;
    uint64_t daemonsAffected { 0 };
    /// Encoded size of the delta times the number of daemons that receive it.
    uint64_t estimatedControlBytes { 0 };
};

/// Limits of one plan: number of changes and total encoded size.
struct PlanLimits {
    static constexpr size_t changes = 512;
    static constexpr size_t bytes = size_t { 256 } << 10;
};

} // namespace dragonflylane
