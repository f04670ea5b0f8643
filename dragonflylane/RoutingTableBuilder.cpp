#include "dragonflylane/RoutingTableBuilder.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    // A key of RoutingTable::Tables::callRules holds the callee's service index in the lower bits and the caller's
    // above.
    constexpr unsigned calleeIndexBits = 32;

} // namespace

RoutingTableBuilder::RoutingTableBuilder() = default;

void RoutingTableBuilder::setState(const ConfigState& state)
{
    ConfigDelta delta = m_state.deltaTo(state);
    m_isStateChanged = m_isStateChanged || delta.size() > 0 || m_state.revision() != state.revision();
    m_state = state;
    for (const ItemKey& key : delta.keys()) {
        if (key.kind == ItemKind::Service)
            m_changedServices.insert(ServiceName(key.name));
        if (key.kind == ItemKind::Drain) {
            auto announcements = m_announcements.find(UpstreamId(key.name));
            if (announcements != m_announcements.end())
                m_changedServices.insert(announcements->second.selected.service);
        }
    }
}

std::vector<UpstreamConflict> RoutingTableBuilder::update(const HostId& owner, std::optional<UpstreamEntry> entry)
{
    std::vector<UpstreamConflict> conflicts;
    if (entry)
        entry->owner = owner;
    auto announced = m_announcedIds.find(owner);
    bool sameId = announced != m_announcedIds.end() && entry && announced->second == entry->id;
    if (sameId && m_announcements[entry->id].byOwner[owner] == *entry) {
        appendConflicts(entry->id, &conflicts);
        return conflicts;
    }
    if (announced != m_announcedIds.end() && !sameId)
        removeAnnouncement(owner);
    if (!entry)
        return conflicts;
    UpstreamId id = entry->id;
    m_announcedIds[owner] = id;
    m_announcements[id].byOwner.insert_or_assign(owner, std::move(*entry));
    selectAnnouncement(id);
    appendConflicts(id, &conflicts);
    return conflicts;
}

std::vector<UpstreamConflict> RoutingTableBuilder::setUpstreams(const std::vector<UpstreamEntry>& entries)
{
    std::set<HostId> present;
    for (const UpstreamEntry& entry : entries)
        present.insert(entry.owner);
    std::vector<HostId> absent;
    for (const auto& [owner, id] : m_announcedIds) {
        if (!present.contains(owner))
            absent.push_back(owner);
    }
    for (const HostId& owner : absent)
        removeAnnouncement(owner);
    for (const UpstreamEntry& entry : entries)
        update(entry.owner, entry);
    return conflicts();
}

std::vector<UpstreamConflict> RoutingTableBuilder::conflicts() const
{
    std::vector<UpstreamConflict> result;
    for (const auto& [id, announcements] : m_announcements)
        appendConflicts(id, &result);
    return result;
}

std::shared_ptr<const RoutingTable> RoutingTableBuilder::build()
{
    if (m_routingTable && !m_isStateChanged && m_changedServices.empty())
        return m_routingTable;
    auto routingTable = std::make_shared<RoutingTable>();
    if (m_isStateChanged) {
        routingTable->m_tables = buildTables();
        std::unordered_map<ServiceName, std::shared_ptr<const ServiceEntry>> services;
        for (const ServiceItem* item : m_state.all<ServiceItem>()) {
            auto known = m_services.find(item->name);
            bool reusable = known != m_services.end() && !m_changedServices.contains(item->name);
            routingTable->m_services.push_back(reusable ? known->second : buildService(*item));
            services.emplace(item->name, routingTable->m_services.back());
        }
        m_services = std::move(services);
    } else {
        *routingTable = *m_routingTable;
        for (const ServiceName& name : m_changedServices) {
            const ServiceItem* item = m_state.service(name);
            if (!item)
                continue;
            std::shared_ptr<const ServiceEntry> service = buildService(*item);
            routingTable->m_services[*routingTable->findService(name.value())] = service;
            m_services[name] = std::move(service);
        }
    }
    m_isStateChanged = false;
    m_changedServices.clear();
    m_routingTable = std::move(routingTable);
    return m_routingTable;
}

void RoutingTableBuilder::removeAnnouncement(const HostId& owner)
{
    auto announced = m_announcedIds.find(owner);
    if (announced == m_announcedIds.end())
        return;
    UpstreamId id = announced->second;
    m_announcedIds.erase(announced);
    m_announcements[id].byOwner.erase(owner);
    selectAnnouncement(id);
}

// Selects the announcement with the highest incarnation after the announcements of an id have changed.
void RoutingTableBuilder::selectAnnouncement(const UpstreamId& id)
{
    auto position = m_announcements.find(id);
    Announcements& announcements = position->second;
    if (announcements.hasSelected) {
        m_changedServices.insert(announcements.selected.service);
        auto service = m_idsByService.find(announcements.selected.service);
        service->second.erase(id);
        if (service->second.empty())
            m_idsByService.erase(service);
    }
    if (announcements.byOwner.empty()) {
        m_announcements.erase(position);
        return;
    }
    auto selected = std::max_element(announcements.byOwner.begin(), announcements.byOwner.end(),
        [](const auto& left, const auto& right) { return left.second.incarnation < right.second.incarnation; });
    announcements.selected = selected->second;
    announcements.hasSelected = true;
    m_changedServices.insert(announcements.selected.service);
    m_idsByService[announcements.selected.service].insert(id);
}

std::shared_ptr<const RoutingTable::Tables> RoutingTableBuilder::buildTables() const
{
    auto tables = std::make_shared<RoutingTable::Tables>();
    tables->revision = m_state.revision();
    tables->digest = m_state.digest();
    if (const KeeperViewItem* keepers = m_state.keeperView())
        tables->keepers = *keepers;
    if (const MeshPolicyItem* policy = m_state.meshPolicy())
        tables->policy = *policy;
    for (const ServiceItem* service : m_state.all<ServiceItem>())
        tables->serviceByName.emplace(service->name.value(), static_cast<ServiceIndex>(tables->serviceByName.size()));
    const auto client = static_cast<ServiceIndex>(tables->serviceByName.size());
    for (const RouteItem* item : m_state.all<RouteItem>()) {
        RouteEntry route { .name = item->name,
            .pathPrefix = item->pathPrefix,
            .timeout = item->timeout,
            .idempotentMethods = item->idempotentMethods,
            .idempotence = item->isIdempotent,
            .maxAttempts = item->maxAttempts,
            .priority = item->priority,
            .targetLatency = item->targetLatency,
            .isPublic = item->isPublic };
        for (const SplitPart& part : item->split) {
            route.split.push_back({ tables->serviceByName.at(part.service.value()), part.weight });
            route.totalWeight += part.weight;
        }
        tables->longestPrefix = std::max(tables->longestPrefix, route.pathPrefix.size());
        tables->routeByPrefix.emplace(item->host + route.pathPrefix, static_cast<uint32_t>(tables->routes.size()));
        tables->routes.push_back(std::move(route));
    }
    for (const CallRuleItem* rule : m_state.all<CallRuleItem>()) {
        auto caller = tables->serviceByName.find(rule->caller.value());
        uint64_t callerIndex = caller == tables->serviceByName.end() ? client : caller->second;
        tables->callRules.insert((callerIndex << calleeIndexBits) | tables->serviceByName.at(rule->callee.value()));
    }
    for (const TenantItem* item : m_state.all<TenantItem>()) {
        for (const ApiKeyHash& key : item->keys)
            tables->tenantByKey.emplace(key, static_cast<uint32_t>(tables->tenants.size()));
        tables->tenants.push_back({ item->name, item->priority, item->ratePerSecond, item->burst });
    }
    for (const RolloutItem* item : m_state.all<RolloutItem>())
        tables->rollouts.emplace(item->service, *item);
    return tables;
}

std::shared_ptr<const ServiceEntry> RoutingTableBuilder::buildService(const ServiceItem& item) const
{
    auto service = std::make_shared<ServiceEntry>();
    service->name = item.name;
    service->timeout = item.timeout;
    service->maxAttempts = item.maxAttempts;
    service->maxConnections = item.maxConnections;
    auto upstreams = m_idsByService.find(item.name);
    if (upstreams == m_idsByService.end())
        return service;
    service->upstreams.reserve(upstreams->second.size());
    for (const UpstreamId& id : upstreams->second) {
        const UpstreamEntry& entry = m_announcements.at(id).selected;
        if (entry.phase == UpstreamPhase::Stopped)
            continue;
        service->upstreams.push_back(entry);
        if (m_state.isDrained(id))
            service->upstreams.back().phase = UpstreamPhase::Draining;
    }
    return service;
}

void RoutingTableBuilder::appendConflicts(const UpstreamId& id, std::vector<UpstreamConflict>* result) const
{
    auto announcements = m_announcements.find(id);
    if (announcements == m_announcements.end())
        return;
    for (const auto& [owner, entry] : announcements->second.byOwner) {
        if (owner != announcements->second.selected.owner)
            result->push_back({ id, announcements->second.selected.owner, owner });
    }
}

} // namespace dragonflylane
