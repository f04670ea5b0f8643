#pragma once

// The items of a configuration. An item has a kind, a name that is unique within the kind, and a value. Items are plain
// values; checkItem() checks a single one and ConfigState::validate() their consistency.

#include "dragonflylane/ApiKeyHash.h"
#include "dragonflylane/KeeperHost.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

namespace dragonflylane {

/// Kinds of items. The numbers are part of the wire format and of digests.
enum class ItemKind : uint8_t {
    Service = 1,
    Route = 2,
    CallRule = 3,
    Drain = 4,
    KeeperView = 5,
    MeshPolicy = 6,
    Tenant = 7,
    Rollout = 8,
};

/// Identifies an item. The name of a CallRule is "caller>callee"; KeeperView and MeshPolicy exist once, with an empty
/// name.
struct ItemKey {
    ItemKind kind { ItemKind::Service };
    std::string name;

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    auto operator<=>(const ItemKey&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const ItemKey&) const = default;

    /// Text for messages, for example "service orders" or "call_rule client>orders".
    std::string toString() const;
};

/// A service of the mesh and the defaults for its requests.
struct ServiceItem {
    ServiceName name;
    std::chrono::milliseconds timeout { 1000 };
    uint32_t maxAttempts { 2 };
    /// Number of connections that one upstream accepts from its owner daemon; zero if unknown.
    uint32_t maxConnections { 0 };

    bool operator==(const ServiceItem&) const = default;
};

/// Share of a route that goes to one service.
struct SplitPart {
    ServiceName service;
    uint32_t weight { 0 };

    bool operator==(const SplitPart&) const = default;
};

/// Maps a host and a path prefix to services. A prefix matches only complete path segments. A prefix that ends with a
/// slash does not match the path without the slash.
struct RouteItem {
    RouteName name;
    std::string pathPrefix;
    std::vector<SplitPart> split;
    /// Zero: the timeout of the selected service applies.
    std::chrono::milliseconds timeout { 0 };
    /// PUT and DELETE are idempotent by RFC 9110, but not in every service, so they count only if listed.
    std::vector<std::string> idempotentMethods { "GET", "HEAD", "OPTIONS" };
    /// Value of the Host header that the route matches, in lower case; empty: every host.
    std::string host {};
    /// Whether requests may be executed more than once. If absent, idempotentMethods applies.
    std::optional<bool> isIdempotent {};
    /// Number of upstreams to which one request may be sent; zero: the limit of the selected service applies.
    uint32_t maxAttempts { 0 };
    /// Priority of requests that wait for an upstream; 0 is served first.
    uint32_t priority { 0 };
    /// Latency within which a response has its full value for the caller; zero if not configured.
    std::chrono::milliseconds targetLatency { 0 };
    /// Callers need no API key, even if the mesh policy requires keys.
    bool isPublic { false };

    bool operator==(const RouteItem&) const = default;
};

/// Permits calls from one service to another. The caller may be the implicit service `client`.
struct CallRuleItem {
    ServiceName caller;
    ServiceName callee;

    bool operator==(const CallRuleItem&) const = default;
};

/// Excludes an upstream from selection. Upstreams are not items, so the id may be unknown.
struct DrainItem {
    UpstreamId upstream;

    bool operator==(const DrainItem&) const = default;
};

/// The hosts that store idempotency records (keepers). Only the log's leader changes this item.
struct KeeperViewItem {
    Epoch epoch;
    std::vector<KeeperHost> hosts;

    bool operator==(const KeeperViewItem&) const = default;
};

/// Rules for the whole mesh. Without this item, calls need call rules, and the daemon's own settings limit what callers
/// may send.
struct MeshPolicyItem {
    /// Every caller may call every service, without call rules.
    bool openCalls { false };
    /// Limits on callers; zero: the daemon's settings apply.
    uint32_t maxHeaderBytes { 0 };
    uint64_t maxBodyBytes { 0 };
    /// Longest time from the first byte of a request to the end of its headers.
    std::chrono::milliseconds headerTimeout { 0 };
    /// Longest time between two requests of a connection.
    std::chrono::milliseconds idleTimeout { 0 };
    /// Callers need an API key of a tenant on every route that is not public.
    bool requiresApiKeys { false };

    bool operator==(const MeshPolicyItem&) const = default;
};

/// A customer of the mesh. Its callers present one of its API keys.
struct TenantItem {
    TenantName name;
    std::vector<ApiKeyHash> keys;
    /// Priority of its requests, which goes before that of the route; 0 is served first.
    uint32_t priority { 0 };
    /// Allotment over all daemons together, in requests per second; zero: no limit.
    double ratePerSecond { 0 };
    /// Requests beyond the rate that the allotment allows in any window.
    double burst { 0 };

    bool operator==(const TenantItem&) const = default;
};

enum class RolloutState : uint8_t {
    Running = 0,
    Completed = 1,
    RolledBack = 2,
};

/// Moves the requests of a service to upstreams of another version. Only the log's leader changes this item.
struct RolloutItem {
    ServiceName service;
    UpstreamVersion target;
    RolloutState state { RolloutState::Running };
    /// Share of the service's requests that the target version gets while running, in thousandths.
    uint32_t sharePermille { 0 };
    /// Time in which the roll-out should be completed.
    std::chrono::milliseconds duration { 0 };
    /// Time since the start at the latest change of this item. A new leader continues from there.
    std::chrono::milliseconds elapsed { 0 };

    bool operator==(const RolloutItem&) const = default;
};

/// The alternatives are in the order of ItemKind.
using ConfigItem = std::variant<ServiceItem, RouteItem, CallRuleItem, DrainItem, KeeperViewItem, MeshPolicyItem,
    TenantItem, RolloutItem>;

/// Limits of single items. They bound the cost of one item in every daemon.
struct ItemLimits {
    static constexpr size_t nameLength = 64;
    static constexpr size_t pathPrefixLength = 256;
    static constexpr size_t splitParts = 16;
    static constexpr size_t hostLength = 253;
    static constexpr uint32_t weight = 10'000;
    static constexpr uint32_t priority = 1000;
    static constexpr uint32_t connections = 100'000;
    static constexpr std::chrono::milliseconds timeout { 600'000 };
    static constexpr uint32_t maxAttempts = 10;
    static constexpr size_t idempotentMethods = 16;
    static constexpr size_t methodLength = 16;
    static constexpr size_t keeperHosts = 64;
    static constexpr size_t tenantKeys = 64;
    static constexpr double requestRate = 1e9;
    static constexpr uint32_t sharePermille = 1000;
};

ItemKey keyOf(const ConfigItem&);
ItemKey serviceKey(const ServiceName&);
ItemKey routeKey(const RouteName&);
ItemKey callRuleKey(const ServiceName& caller, const ServiceName& callee);
ItemKey drainKey(const UpstreamId&);
ItemKey keeperViewKey();
ItemKey meshPolicyKey();
ItemKey tenantKey(const TenantName&);
ItemKey rolloutKey(const ServiceName&);
/// Name of the kind in messages and JSON: "service", "route", "call_rule", "drain", "keeper_view", "mesh_policy",
/// "tenant", "rollout".
std::string_view kindName(ItemKind);

/// Unambiguous encodings of key and value for the digest. Independent of the wire format, so that a change of the wire
/// format does not change digests.
std::string canonicalKey(const ItemKey&);
std::string canonicalValue(const ConfigItem&);

/// True for 1 to 64 characters of [a-z0-9._-] that start with a letter or digit.
bool isValidName(std::string_view);
/// True for 1 to 64 printable ASCII characters other than spaces.
bool isValidTenantName(std::string_view);
/// Makes untrusted text safe for messages: the first 64 characters, with '?' for all but printable ASCII.
std::string printableExcerpt(std::string_view);
/// Checks the names and ranges of one item. Returns InvalidName, InvalidValue or ZeroWeights, with a sentence in
/// `detail`, if the item is not valid.
std::error_code checkItem(const ConfigItem&, std::string* detail = nullptr);

} // namespace dragonflylane
