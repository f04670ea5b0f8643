#include "dragonflylane/PlanReview.h"

#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/ResultCode.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    std::error_code reject(ResultCode code, std::string text, std::string* detail)
    {
        if (detail)
            *detail = std::move(text);
        return code;
    }

    ItemKey keyOfChange(const PlanChange& change)
    {
        if (const auto* set = std::get_if<SetItem>(&change))
            return keyOf(set->item);
        return std::get<RemoveItem>(change).key;
    }

    size_t encodedBytes(const PlanChange& change)
    {
        if (const auto* set = std::get_if<SetItem>(&change))
            return canonicalValue(set->item).size();
        return std::get<RemoveItem>(change).key.name.size();
    }

    /// Services with at least one upstream that accepts requests and is not drained.
    std::set<ServiceName> servicesWithLiveUpstreams(const ConfigState& state, const FleetView& fleet)
    {
        std::set<ServiceName> live;
        for (const UpstreamEntry& upstream : fleet.upstreams) {
            if (upstream.acceptsRequests() && !state.isDrained(upstream.id))
                live.insert(upstream.service);
        }
        return live;
    }

    bool hasLiveUpstream(const RouteItem& route, const std::set<ServiceName>& live)
    {
        return std::any_of(route.split.begin(), route.split.end(),
            [&](const SplitPart& part) { return part.weight > 0 && live.contains(part.service); });
    }

    /// Collects the warnings of one plan.
    class WarningCollector {
    public:
        WarningCollector(const ConfigState& base, const ConfigState& final, const FleetView& fleet, Plan* plan)
            : m_base(base)
            , m_final(final)
            , m_fleet(fleet)
            , m_liveBefore(servicesWithLiveUpstreams(base, fleet))
            , m_liveAfter(servicesWithLiveUpstreams(final, fleet))
            , m_plan(plan)
        {
        }

        void collect()
        {
            for (const ServiceItem* service : m_final.all<ServiceItem>())
                checkService(*service);
            for (const RouteItem* route : m_final.all<RouteItem>())
                checkRoute(*route);
            for (const auto& [key, item] : m_plan->delta.upserts) {
                if (const auto* drain = std::get_if<DrainItem>(&item))
                    checkDrain(*drain);
            }
        }

    private:
        // Warnings cover only items that the plan changes or makes unavailable, not problems that existed before.
        bool isChangedByPlan(const ItemKey& key) const { return m_plan->delta.upserts.contains(key); }

        void warn(const ItemKey& key, std::string text) { m_plan->warnings.push_back({ key, std::move(text) }); }

        void checkService(const ServiceItem& service)
        {
            ItemKey key = serviceKey(service.name);
            bool wasLive = m_liveBefore.contains(service.name);
            if (!m_liveAfter.contains(service.name) && (wasLive || isChangedByPlan(key)))
                warn(key, "has no live upstream");
        }

        void checkRoute(const RouteItem& route)
        {
            ItemKey key = routeKey(route.name);
            const RouteItem* before = m_base.route(route.name);
            bool wasLive = before && hasLiveUpstream(*before, m_liveBefore);
            if (!hasLiveUpstream(route, m_liveAfter) && (wasLive || isChangedByPlan(key)))
                warn(key, "has no live upstream");
            const ServiceName client(clientServiceName);
            for (const SplitPart& part : route.split) {
                bool wasAllowed = m_base.isCallAllowed(client, part.service);
                if (!m_final.isCallAllowed(client, part.service) && (wasAllowed || isChangedByPlan(key)))
                    warn(key, "no call rule lets client call service " + part.service.value());
            }
        }

        void checkDrain(const DrainItem& drain)
        {
            bool known = std::any_of(m_fleet.upstreams.begin(), m_fleet.upstreams.end(),
                [&](const UpstreamEntry& upstream) { return upstream.id == drain.upstream; });
            if (!known)
                warn(drainKey(drain.upstream), "no host announces this upstream");
        }

        const ConfigState& m_base;
        const ConfigState& m_final;
        const FleetView& m_fleet;
        std::set<ServiceName> m_liveBefore;
        std::set<ServiceName> m_liveAfter;
        Plan* m_plan;
    };

} // namespace

Plan planBetween(const ConfigState& base, const ConfigState& final)
{
    Plan result;
    result.base = base.revision();
    result.delta = base.deltaTo(final);
    for (const auto& [key, item] : result.delta.upserts) {
        const ConfigItem* before = base.find(key);
        (before ? result.changed : result.added).push_back(key);
        if (before)
            result.before.emplace(key, *before);
        else if (key.kind == ItemKind::Route)
            result.routesGained.emplace_back(key.name);
    }
    for (const ItemKey& key : result.delta.removals) {
        result.removed.push_back(key);
        result.before.emplace(key, *base.find(key));
        if (key.kind == ItemKind::Route)
            result.routesLost.emplace_back(key.name);
    }
    return result;
}

PlanReview::PlanReview(const ConfigState& base)
    : m_base(base)
{
}

std::error_code PlanReview::review(const std::vector<PlanChange>& changes, Plan* plan, std::string* detail) const
{
    ConfigState final = m_base;
    if (std::error_code error = applyChanges(changes, &final, detail))
        return error;
    if (std::error_code error = checkServices(changes, final, detail))
        return error;
    if (std::error_code error = final.validate(detail))
        return error;
    final.setRevision(m_base.revision().next());
    Plan result = planBetween(m_base, final);
    if (result.delta.size() == 0)
        return reject(ResultCode::EmptyPlan, "the final state equals the base", detail);
    result.changes = changes;
    *plan = std::move(result);
    return {};
}

void PlanReview::describe(Plan* plan, const FleetView& fleet) const
{
    plan->warnings.clear();
    ConfigState final = m_base;
    if (!final.apply(plan->delta))
        WarningCollector(m_base, final, fleet, plan).collect();
    plan->daemonsAffected = fleet.daemons;
    plan->estimatedControlBytes = fleet.daemons * encodeDelta(plan->delta).size();
}

std::error_code PlanReview::applyChanges(
    const std::vector<PlanChange>& changes, ConfigState* final, std::string* detail) const
{
    if (changes.empty())
        return reject(ResultCode::EmptyPlan, "the plan has no changes", detail);
    size_t bytes = 0;
    for (const PlanChange& change : changes)
        bytes += encodedBytes(change);
    if (changes.size() > PlanLimits::changes || bytes > PlanLimits::bytes)
        return reject(ResultCode::PlanTooLarge, "the plan has over 512 changes or 256 KB", detail);
    for (const PlanChange& change : changes) {
        ItemKey key = keyOfChange(change);
        if (key.kind == ItemKind::KeeperView)
            return reject(ResultCode::InvalidValue, "the keeper view cannot be changed by a plan", detail);
        if (key.kind == ItemKind::Rollout)
            return reject(ResultCode::InvalidValue, "a roll-out cannot be changed by a plan", detail);
        if (const auto* set = std::get_if<SetItem>(&change)) {
            if (std::error_code error = checkItem(set->item, detail))
                return error;
            final->insert(set->item);
        } else if (!final->remove(key))
            return reject(ResultCode::UnknownItem, printableExcerpt(key.toString()) + " does not exist", detail);
    }
    return {};
}

std::error_code PlanReview::checkServices(
    const std::vector<PlanChange>& changes, const ConfigState& final, std::string* detail) const
{
    std::set<ItemKey> set;
    for (const PlanChange& change : changes) {
        if (std::holds_alternative<SetItem>(change))
            set.insert(keyOfChange(change));
    }
    // Called for an item `user` that refers to a `service` missing from the final state.
    auto rejectMissingService = [&](const ItemKey& user, const ServiceName& service) {
        std::string text = user.toString() + " names service " + service.value();
        if (!m_base.service(service))
            return reject(ResultCode::UnknownService, text + ", which does not exist", detail);
        if (!set.contains(user))
            return reject(ResultCode::ServiceInUse, text + ", which the plan removes", detail);
        ResultCode code = user.kind == ItemKind::Route ? ResultCode::DanglingRoute : ResultCode::UnknownService;
        return reject(code, text + ", which the plan removes", detail);
    };
    for (const RouteItem* route : final.all<RouteItem>()) {
        for (const SplitPart& part : route->split) {
            if (!final.service(part.service))
                return rejectMissingService(routeKey(route->name), part.service);
        }
    }
    for (const CallRuleItem* rule : final.all<CallRuleItem>()) {
        for (const ServiceName& service : { rule->caller, rule->callee }) {
            if (service.value() != clientServiceName && !final.service(service))
                return rejectMissingService(callRuleKey(rule->caller, rule->callee), service);
        }
    }
    return {};
}

} // namespace dragonflylane
