#pragma once

// The data that the request path uses: routes, services with their upstreams, and call rules, at one revision. Routing
// tables are immutable, are built by RoutingTableBuilder and shared as std::shared_ptr<const RoutingTable>. Routes
// refer to services by index and services contain their upstreams by value, so a route to an absent service or upstream
// cannot be represented.
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

/// A tenant as the request path needs it. See TenantItem for the fields.
struct TenantEntry {
    TenantName name;
    uint32_t priority { 0 };
    double ratePerSecond { 0 };
    double burst { 0 };
};

/// Index into the services of one routing table; not valid for another one.
using ServiceIndex = uint32_t;

/// A service and its upstreams, ordered by id, without the stopped ones.
struct ServiceEntry {
    ServiceName name;
    std::chrono::milliseconds timeout { 0 };
    uint32_t maxAttempts { 1 };
    uint32_t maxConnections { 0 };
    std::vector<UpstreamEntry> upstreams;

    /// Returns null if the service has no such upstream. O(log upstreams).
    const UpstreamEntry* find(const UpstreamId&) const;
};

/// Share of a route that goes to one service.
struct SplitEntry {
    ServiceIndex service { 0 };
    uint32_t weight { 0 };
};

/// A route with its split resolved to service indexes. See RouteItem for the fields.
struct RouteEntry {
    RouteName name;
    std::string pathPrefix;
    std::vector<SplitEntry> split;
    /// Sum of the weights of the split, greater than zero.
    uint64_t totalWeight { 0 };
    /// Zero: the timeout of the selected service applies.
    std::chrono::milliseconds timeout { 0 };
    std::vector<std::string> idempotentMethods;
    /// Overrides idempotentMethods if present.
    std::optional<bool> idempotence;
    uint32_t maxAttempts { 0 };
    uint32_t priority { 0 };
    std::chrono::milliseconds targetLatency { 0 };
    bool isPublic { false };

    /// Methods are case-sensitive (RFC 9110).
    bool isIdempotent(std::string_view method) const;
    /// Selects a service by weight. Uniformly distributed random numbers result in the configured shares.
    ServiceIndex select(uint64_t random) const;
};

/// Immutable routing data of one configuration revision and one set of upstreams.
class RoutingTable {
public:
    RoutingTable();

    Revision revision() const { return m_tables->revision; }
    const Digest& digest() const { return m_tables->digest; }
    /// Epoch 0 without hosts if there is no keeper view.
    const KeeperViewItem& keepers() const { return m_tables->keepers; }

    /// Returns the route with the longest path prefix that ends at a segment boundary of the path, or null if none
    /// matches. A query is ignored. Routes for the given host take precedence over those for every host. O(length of
    /// the longest prefix).
    const RouteEntry* findRoute(std::string_view host, std::string_view target) const;
    const RouteEntry* findRoute(std::string_view target) const { return findRoute({}, target); }
    const std::vector<RouteEntry>& routes() const { return m_tables->routes; }

    std::optional<ServiceIndex> findService(std::string_view name) const;
    const ServiceEntry& service(ServiceIndex index) const { return *m_services[index]; }
    /// The same, as a pointer that is shared with other routing tables if the service did not change.
    std::shared_ptr<const ServiceEntry> sharedService(ServiceIndex index) const { return m_services[index]; }
    size_t serviceCount() const { return m_services.size(); }
    std::chrono::milliseconds timeout(const RouteEntry&, ServiceIndex) const;

    /// Whether the caller (a service or `client`) may call the service, by a call rule or because the mesh policy
    /// allows all calls. O(1).
    bool mayCall(std::string_view caller, ServiceIndex callee) const;
    /// Rules for the whole mesh; default values if the configuration has none.
    const MeshPolicyItem& policy() const { return m_tables->policy; }
    /// The tenant that holds the API key, or null. O(1).
    const TenantEntry* findTenant(const ApiKeyHash&) const;
    /// All tenants, ordered by name.
    const std::vector<TenantEntry>& tenants() const { return m_tables->tenants; }
    /// The latest roll-out of a service, or null if it has none.
    const RolloutItem* rollout(const ServiceName&) const;

private:
    friend class RoutingTableBuilder;

    struct StringHash {
        using is_transparent = void;
        size_t operator()(std::string_view text) const noexcept { return std::hash<std::string_view> {}(text); }
    };
    using IndexByName = std::unordered_map<std::string, uint32_t, StringHash, std::equal_to<>>;

    /// The data that depends only on the configuration.
    struct Tables {
        Revision revision;
        Digest digest;
        KeeperViewItem keepers;
        MeshPolicyItem policy;
        std::vector<RouteEntry> routes;
        /// Key: host followed by path prefix. Unambiguous, since a host contains no slash.
        IndexByName routeByPrefix;
        size_t longestPrefix { 0 };
        IndexByName serviceByName;
        /// Caller index in the upper, callee index in the lower 32 bits; `client` has the index after the last service.
        std::unordered_set<uint64_t> callRules;
        std::vector<TenantEntry> tenants;
        std::unordered_map<ApiKeyHash, uint32_t> tenantByKey;
        std::unordered_map<ServiceName, RolloutItem> rollouts;
    };

    const RouteEntry* findRouteOfHost(std::string_view host, std::string_view path) const;

    std::shared_ptr<const Tables> m_tables;
    std::vector<std::shared_ptr<const ServiceEntry>> m_services;
};

} // namespace dragonflylane
