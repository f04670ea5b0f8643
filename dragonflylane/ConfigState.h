#pragma once

// A complete configuration at one revision: an ordered map of items with revision and digest.
//
//     ConfigState next = current;
//     if (std::error_code error = next.apply(delta)) ...      // next is unchanged
//     if (std::error_code error = next.validate(&detail)) ...
//     current = std::move(next);
//
// Items are immutable and shared between copies, so a copy costs one pointer per item.

#include "dragonflylane/ConfigDelta.h"

#include <map>
#include <memory>
#include <span>

namespace dragonflylane {

/// Checks of ConfigState::apply(). Only tests turn them off, to show which invariant each protects.
struct ApplyChecks {
    bool base { true };
    bool digest { true };
};

/// Set of items with revision and digest. Revision 0 is the empty configuration.
class ConfigState {
public:
    using Items = std::map<ItemKey, std::shared_ptr<const ConfigItem>>;
    /// Bounds memory and validation time in every daemon. The planned 280 services need about 2,000 items.
    static constexpr size_t maxItems = 20'000;
    /// Limit of bytes(), so that every valid state fits into the limits of the wire format.
    static constexpr size_t maxBytes = size_t { 4 } << 20;

    ConfigState() = default;
    /// Builds a state from items; a later item replaces an earlier one with the same key.
    ConfigState(Revision, std::vector<ConfigItem>);

    Revision revision() const { return m_revision; }
    const Digest& digest() const { return m_digest; }
    const Items& items() const { return m_items; }
    /// Total size of the canonical encodings of keys and values.
    size_t bytes() const { return m_bytes; }

    const ConfigItem* find(const ItemKey&) const;
    const ServiceItem* service(const ServiceName&) const;
    const RouteItem* route(const RouteName&) const;
    const KeeperViewItem* keeperView() const;
    const MeshPolicyItem* meshPolicy() const;
    bool isDrained(const UpstreamId&) const;
    bool isCallAllowed(const ServiceName& caller, const ServiceName& callee) const;

    /// All items of one kind, ordered by name.
    template <typename Item> std::vector<const Item*> all() const
    {
        std::vector<const Item*> result;
        for (const auto& [key, item] : m_items) {
            if (const Item* value = std::get_if<Item>(item.get()))
                result.push_back(value);
        }
        return result;
    }

    void insert(ConfigItem);
    /// Returns false if there is no such item.
    bool remove(const ItemKey&);
    void setRevision(Revision revision) { m_revision = revision; }

    /// Checks that the items are consistent with one another: every split and call rule refers to existing services
    /// (DanglingRoute, UnknownService), path prefixes are unique (DuplicatePrefix), so are the API keys of all tenants
    /// together (DuplicateApiKey), call rules have no cycle
    /// (CallCycle), each item passes checkItem(), and their number and total size are within the limits (PlanTooLarge).
    /// O(items). `detail` names the item in a sentence.
    std::error_code validate(std::string* detail = nullptr) const;

    /// Applies a delta completely or not at all. Errors: StaleRevision (the target revision is not higher),
    /// BaseMismatch, DigestMismatch (of the base or of the result).
    std::error_code apply(const ConfigDelta&, ApplyChecks = {});

    /// The delta from this state to `target`.
    ConfigDelta deltaTo(const ConfigState& target) const;

    bool operator==(const ConfigState&) const;

private:
    Items m_items;
    Revision m_revision;
    Digest m_digest;
    size_t m_bytes { 0 };
};

} // namespace dragonflylane
