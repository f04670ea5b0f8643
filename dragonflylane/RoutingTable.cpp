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

const RouteEntry* RoutingTable::findRoute(std::string_view target) const
{
    const Tables& tables = *m_tables;
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    if (path.empty() || path.front() != '/')
        return nullptr;
    size_t length = path.size();
    // No prefix is longer than longestPrefix, so the search starts at the last boundary within it.
    if (length > tables.longestPrefix) {
        length = tables.longestPrefix;
        if (length > 0 && path[length] != '/')
            length = path.rfind('/', length - 1);
    }
    while (length > 0) {
        auto found = tables.routeByPrefix.find(path.substr(0, length));
        if (found != tables.routeByPrefix.end())
            return &tables.routes[found->second];
        length = path.rfind('/', length - 1);
    }
    auto found = tables.routeByPrefix.find(std::string_view("/"));
    return found == tables.routeByPrefix.end() ? nullptr : &tables.routes[found->second];
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

bool RoutingTable::mayCall(std::string_view caller, ServiceIndex callee) const
{
    std::optional<ServiceIndex> index = findService(caller);
    if (!index && caller == clientServiceName)
        index = static_cast<ServiceIndex>(m_services.size());
    return index && m_tables->callRules.contains((uint64_t { *index } << indexBits) | callee);
}

} // namespace dragonflylane
