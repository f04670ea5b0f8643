#pragma once

// What the request path reads: routes, services with their upstreams, and call rules, at one revision. Immutable and
// held by std::shared_ptr<const RoutingTable>. Routes hold indexes into the routing table's own service table and
// services hold their upstreams by value, so a route to an absent service or upstream cannot be represented.
// RoutingTableBuilder makes routing tables.
//
//     const RouteEntry* route = routingTable->findRoute("/catalogue/books?page=2");
//     const ServiceEntry& service = routingTable->service(route->split[0].service);

#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/Digest.h"
#include "dragonflylane/UpstreamEntry.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace dragonflylane {

/// Position in the service table of one routing table; not valid in another routing table.
using ServiceIndex = uint32_t;

/// A service and its upstreams in order of id, without stopped ones.
struct ServiceEntry {
    ServiceName name;
    std::chrono::milliseconds timeout { 0 };
    uint32_t maxAttempts { 1 };
    uint32_t maxConnections { 0 };
    std::vector<UpstreamEntry> upstreams;

    /// Null if the service has no such upstream. O(log upstreams).
    const UpstreamEntry* find(const UpstreamId&) const;
};

/// Share of a route that goes to one service.
struct SplitEntry {
    ServiceIndex service { 0 };
    uint32_t weight { 0 };
};

/// A route of the routing table.
struct RouteEntry {
    RouteName name;
    std::string pathPrefix;
    std::vector<SplitEntry> split;
    /// Above zero.
    uint64_t totalWeight { 0 };
    /// Zero: the timeout of the selected service applies.
    std::chrono::milliseconds timeout { 0 };
    std::vector<std::string> idempotentMethods;
    /// Overrides idempotentMethods if present.
    std::optional<bool> idempotence;
    uint32_t maxAttempts { 0 };
    uint32_t priority { 0 };
    std::chrono::milliseconds targetLatency { 0 };

    /// Methods are compared with case, as RFC 9110 has it.
    bool isIdempotent(std::string_view method) const;
    /// Selects a service by weight; any number may be passed, a uniform one gives the declared shares.
    ServiceIndex select(uint64_t random) const;
};

/// Immutable view of configuration and upstreams.
class RoutingTable {
public:
    RoutingTable();

    Revision revision() const { return m_tables->revision; }
    const Digest& digest() const { return m_tables->digest; }
    /// Epoch 0 without hosts if there is no keeper view.
    const KeeperViewItem& keepers() const { return m_tables->keepers; }

    /// Route with the longest path prefix that ends at a segment boundary of the path; a query is ignored. Routes of
    /// the given host go before those of every host. Null if none matches. O(length of the longest prefix).
    const RouteEntry* findRoute(std::string_view host, std::string_view target) const;
    const RouteEntry* findRoute(std::string_view target) const { return findRoute({}, target); }
    const std::vector<RouteEntry>& routes() const { return m_tables->routes; }

    std::optional<ServiceIndex> findService(std::string_view name) const;
    const ServiceEntry& service(ServiceIndex index) const { return *m_services[index]; }
    /// Shared with other routing tables that have the same service.
    std::shared_ptr<const ServiceEntry> sharedService(ServiceIndex index) const { return m_services[index]; }
    size_t serviceCount() const { return m_services.size(); }
    std::chrono::milliseconds timeout(const RouteEntry&, ServiceIndex) const;

    /// Whether a call rule lets the caller (a service or `client`) call the service. O(1).
    bool mayCall(std::string_view caller, ServiceIndex callee) const;
    /// Limits on callers; all zero if the configuration has none.
    const MeshPolicyItem& policy() const { return m_tables->policy; }

private:
    friend class RoutingTableBuilder;

    struct StringHash {
        using is_transparent = void;
        size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
    };
    using IndexByName = std::unordered_map<std::string, uint32_t, StringHash, std::equal_to<>>;

    /// The part that depends on the configuration only.
    struct Tables {
        Revision revision;
        Digest digest;
        KeeperViewItem keepers;
        MeshPolicyItem policy;
        std::vector<RouteEntry> routes;
        /// By host and path prefix, joined; a host has no slash.
        IndexByName routeByPrefix;
        size_t longestPrefix { 0 };
        IndexByName serviceByName;
        /// (caller index, callee index); `client` has the index after the last service.
        std::unordered_set<uint64_t> callRules;
    };

    const RouteEntry* findRouteOfHost(std::string_view host, std::string_view path) const;

    std::shared_ptr<const Tables> m_tables;
    std::vector<std::shared_ptr<const ServiceEntry>> m_services;
};

} // namespace dragonflylane
