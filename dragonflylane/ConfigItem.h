#pragma once

// The items of which a configuration consists. An item has a kind, a name that is unique within the kind, and a
// value. Items are plain values; ConfigState::validate() checks them together.

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

/// Kinds of items. The numbers are part of the wire format and of the digest.
enum class ItemKind : uint8_t {
    Service = 1,
    Route = 2,
    CallRule = 3,
    Drain = 4,
    KeeperView = 5,
    MeshPolicy = 6,
};

/// Identifies an item: a CallRule is named "caller>callee"; KeeperView and MeshPolicy exist once, with an empty name.
struct ItemKey {
    ItemKind kind { ItemKind::Service };
    std::string name;

    // clang-tidy 14 takes the zero of a rewritten comparison for a null pointer.
    auto operator<=>(const ItemKey&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const ItemKey&) const = default;

    /// For messages: "service orders", "call_rule client>orders".
    std::string toString() const;
};

/// A service of the mesh and its defaults.
struct ServiceItem {
    ServiceName name;
    std::chrono::milliseconds timeout { 1000 };
    uint32_t maxAttempts { 2 };
    /// Connections that one upstream accepts from its owner daemon; zero if unknown.
    uint32_t maxConnections { 0 };

    bool operator==(const ServiceItem&) const = default;
};

/// Share of a route that goes to one service.
struct SplitPart {
    ServiceName service;
    uint32_t weight { 0 };

    bool operator==(const SplitPart&) const = default;
};

/// Maps a host and a path prefix to services. A prefix matches whole path segments only; one that ends with a slash
/// matches only what is below it.
struct RouteItem {
    RouteName name;
    std::string pathPrefix;
    std::vector<SplitPart> split;
    /// Zero: the timeout of the selected service applies.
    std::chrono::milliseconds timeout { 0 };
    /// PUT and DELETE are idempotent by RFC 9110, but not in every service, so they count only if listed.
    std::vector<std::string> idempotentMethods { "GET", "HEAD", "OPTIONS" };
    /// Host header that the route serves, in lower case; empty: every host.
    std::string host {};
    /// Whether requests may run more than once; if absent, idempotentMethods decides.
    std::optional<bool> isIdempotent {};
    /// Upstreams that one request may be sent to; zero: the limit of the selected service applies.
    uint32_t maxAttempts { 0 };
    /// Rank among the requests that wait for an upstream; 0 is served first.
    uint32_t priority { 0 };
    /// Time within which an answer has its full value to the caller; zero if not stated.
    std::chrono::milliseconds targetLatency { 0 };

    bool operator==(const RouteItem&) const = default;
};

/// Permits calls from one service to another. The caller may be the implicit service `client`.
struct CallRuleItem {
    ServiceName caller;
    ServiceName callee;

    bool operator==(const CallRuleItem&) const = default;
};

/// Takes an upstream out of selection. Upstreams are not items, so the id need not be known.
struct DrainItem {
    UpstreamId upstream;

    bool operator==(const DrainItem&) const = default;
};

/// The hosts that store duplicate records. Written by the control leader only.
struct KeeperViewItem {
    Epoch epoch;
    std::vector<KeeperHost> hosts;

    bool operator==(const KeeperViewItem&) const = default;
};

/// Rules that hold for the whole mesh. Without this item, calls need call rules and the daemon's own settings bound
/// what callers may send.
struct MeshPolicyItem {
    /// Every service and every caller may call every service.
    bool openCalls { false };
    /// Limits on callers; zero: the daemon's settings apply.
    uint32_t maxHeaderBytes { 0 };
    uint64_t maxBodyBytes { 0 };
    /// From the first byte of a request to the end of its headers.
    std::chrono::milliseconds headerTimeout { 0 };
    /// Between two requests of a connection.
    std::chrono::milliseconds idleTimeout { 0 };

    bool operator==(const MeshPolicyItem&) const = default;
};

/// Alternatives are in the order of ItemKind.
using ConfigItem = std::variant<ServiceItem, RouteItem, CallRuleItem, DrainItem, KeeperViewItem, MeshPolicyItem>;

/// Limits of single items. Each bounds what one item can cost every daemon.
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
};

ItemKey keyOf(const ConfigItem&);
ItemKey serviceKey(const ServiceName&);
ItemKey routeKey(const RouteName&);
ItemKey callRuleKey(const ServiceName& caller, const ServiceName& callee);
ItemKey drainKey(const UpstreamId&);
ItemKey keeperViewKey();
ItemKey meshPolicyKey();
/// Name of the kind in messages and JSON: "service", "route", "call_rule", "drain", "keeper_view", "mesh_policy".
std::string_view kindName(ItemKind);

/// Unambiguous encoding of key and value that the digest covers. Independent of the wire format, so a change of the
/// wire format does not change digests.
std::string canonicalKey(const ItemKey&);
std::string canonicalValue(const ConfigItem&);

/// 1 to 64 characters of [a-z0-9._-], starting with a letter or digit.
bool isValidName(std::string_view);
/// A text from outside for use in messages: at most 64 characters, all but printable ASCII replaced by '?'.
std::string excerpt(std::string_view);
/// Checks one item by itself: names and ranges. On refusal returns InvalidName, InvalidValue or ZeroWeights and a
/// sentence in `detail`.
std::error_code checkItem(const ConfigItem&, std::string* detail = nullptr);

} // namespace dragonflylane
