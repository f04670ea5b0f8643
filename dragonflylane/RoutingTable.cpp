#include "dragonflylane/RoutingTable.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    constexpr unsigned indexBits = 32;

} // namespace

const UpstreamEntry* ServiceEntry::find(const UpstreamId& id) const
{
    auto position = std::lower_bound(upstreams.begin(), upstreams.end(), id,
        [](const UpstreamEntry& entry, const UpstreamId& wanted) { return entry.id < wanted; });
    return position == upstreams.end() || position->id != id ? nullptr : &*position;
}

bool RouteEntry::isIdempotent(std::string_view method) const
{
    if (idempotence)
        return *idempotence;
    return std::find(idempotentMethods.begin(), idempotentMethods.end(), method) != idempotentMethods.end();
}

ServiceIndex RouteEntry::select(uint64_t random) const
{
    uint64_t position = random % totalWeight;
    for (const SplitEntry& part : split) {
        if (position < part.weight)
            return part.service;
        position -= part.weight;
    }
    return split.back().service;
}

RoutingTable::RoutingTable()
    : m_tables(std::make_shared<const Tables>())
{
}

const RouteEntry* RoutingTable::findRoute(std::string_view host, std::string_view target) const
{
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    if (path.empty() || path.front() != '/')
        return nullptr;
    const RouteEntry* route = host.empty() ? nullptr : findRouteOfHost(host, path);
    return route ? route : findRouteOfHost({}, path);
}

const RouteEntry* RoutingTable::findRouteOfHost(std::string_view host, std::string_view path) const
{
    const Tables& tables = *m_tables;
    std::string key(host);
    // No prefix is longer than longestPrefix. One more character shows whether a segment ends there.
    key += path.substr(0, tables.longestPrefix + 1);
    std::string_view candidate(key);
    while (candidate.size() > host.size()) {
        size_t length = candidate.size() - host.size();
        bool isBoundary = length == path.size() || candidate.back() == '/' || path[length] == '/';
        if (isBoundary) {
            auto found = tables.routeByPrefix.find(candidate);
            if (found != tables.routeByPrefix.end())
                return &tables.routes[found->second];
        }
        bool endsWithSlash = candidate.back() == '/';
        candidate
            = endsWithSlash ? candidate.substr(0, candidate.size() - 1) : candidate.substr(0, candidate.rfind('/') + 1);
    }
    return nullptr;
}

std::optional<ServiceIndex> RoutingTable::findService(std::string_view name) const
{
    auto found = m_tables->serviceByName.find(name);
    if (found == m_tables->serviceByName.end())
        return std::nullopt;
    return found->second;
}

std::chrono::milliseconds RoutingTable::timeout(const RouteEntry& route, ServiceIndex index) const
{
    return route.timeout.count() > 0 ? route.timeout : service(index).timeout;
}

const TenantEntry* RoutingTable::findTenant(const ApiKeyHash& key) const
{
    auto found = m_tables->tenantByKey.find(key);
    return found == m_tables->tenantByKey.end() ? nullptr : &m_tables->tenants[found->second];
}

const RolloutItem* RoutingTable::rollout(const ServiceName& service) const
{
    auto found = m_tables->rollouts.find(service);
    return found == m_tables->rollouts.end() ? nullptr : &found->second;
}

bool RoutingTable::mayCall(std::string_view caller, ServiceIndex callee) const
{
    if (m_tables->policy.openCalls)
        return true;
    std::optional<ServiceIndex> index = findService(caller);
    if (!index && caller == clientServiceName)
        index = static_cast<ServiceIndex>(m_services.size());
    return index && m_tables->callRules.contains((uint64_t { *index } << indexBits) | callee);
}

} // namespace dragonflylane
