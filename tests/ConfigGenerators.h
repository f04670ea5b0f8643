#pragma once

// Items and random configurations for tests. Names come from a small set, so that the same item is often changed again.

#include "dragonflylane/ConfigState.h"

#include <rapidcheck.h>

namespace dragonflylane {

inline ServiceItem service(const std::string& name, int timeout = 1000)
{
    return { ServiceName(name), std::chrono::milliseconds(timeout), 2 };
}

inline RouteItem route(
    const std::string& name, const std::string& prefix, const std::string& target, uint32_t weight = 1)
{
    RouteItem item;
    item.name = RouteName(name);
    item.pathPrefix = prefix;
    item.split = { { ServiceName(target), weight } };
    return item;
}

inline CallRuleItem rule(const std::string& caller, const std::string& callee)
{
    return { ServiceName(caller), ServiceName(callee) };
}

/// A number below `limit`.
inline uint32_t randomBelow(uint32_t limit)
{
    return *rc::gen::resize(1000, rc::gen::inRange<uint32_t>(0, limit));
}

inline ServiceName randomService()
{
    return ServiceName("service-" + std::to_string(randomBelow(5)));
}

inline RouteItem randomRoute()
{
    static const std::vector<std::string> prefixes { "/", "/a", "/a/b", "/a/bc", "/ab", "/a/b/c", "/b" };
    RouteItem route;
    route.name = RouteName("route-" + std::to_string(randomBelow(5)));
    route.pathPrefix = prefixes[randomBelow(static_cast<uint32_t>(prefixes.size()))];
    route.split = { { randomService(), 1 + randomBelow(9) } };
    ServiceName other = randomService();
    if (other != route.split[0].service)
        route.split.push_back({ other, randomBelow(9) });
    route.timeout = std::chrono::milliseconds(randomBelow(3) * 100);
    if (randomBelow(2) == 0)
        route.idempotentMethods = { "GET", "PUT" };
    return route;
}

/// A random item that passes checkItem(). It may be inconsistent with the state.
inline ConfigItem randomItem()
{
    switch (randomBelow(6)) {
    case 0:
    case 1:
        return ServiceItem { randomService(), std::chrono::milliseconds(1 + randomBelow(1000)), 1 + randomBelow(5) };
    case 2:
        return randomRoute();
    case 3:
        return CallRuleItem { randomBelow(3) == 0 ? ServiceName(clientServiceName) : randomService(), randomService() };
    case 4:
        return DrainItem { UpstreamId("upstream-" + std::to_string(randomBelow(6))) };
    default:
        return KeeperViewItem { Epoch(randomBelow(9)),
            { { HostId("host-" + std::to_string(randomBelow(4))),
                DataCentreName("dc-" + std::to_string(randomBelow(3))) } } };
    }
}

/// A valid state at the next revision, after a few random changes.
inline ConfigState randomSuccessor(const ConfigState& base)
{
    ConfigState state = base;
    for (uint32_t edits = 1 + randomBelow(6); edits > 0; --edits) {
        ConfigState next = state;
        ConfigItem item = randomItem();
        if (randomBelow(3) == 0)
            next.remove(keyOf(item));
        else
            next.insert(item);
        if (!next.validate())
            state = next;
    }
    state.setRevision(base.revision().next());
    return state;
}

/// States of revisions 0 to `length`; the first is empty.
inline std::vector<ConfigState> randomChain(size_t length)
{
    std::vector<ConfigState> chain(1);
    while (chain.size() <= length)
        chain.push_back(randomSuccessor(chain.back()));
    return chain;
}

} // namespace dragonflylane
