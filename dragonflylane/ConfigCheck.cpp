#include "dragonflylane/ConfigCheck.h"

#include "dragonflylane/HttpFraming.h"

#include <set>

namespace dragonflylane {

namespace {

    std::string millisecondsText(std::chrono::milliseconds value)
    {
        return std::to_string(value.count()) + " ms";
    }

    /// Collects the findings about one valid state.
    class Checker {
    public:
        explicit Checker(const ConfigState& state)
            : m_state(state)
            , m_policy(state.meshPolicy() ? *state.meshPolicy() : MeshPolicyItem())
        {
        }

        std::vector<ConfigFinding> check()
        {
            for (const RouteItem* route : m_state.all<RouteItem>()) {
                for (const SplitPart& part : route->split) {
                    if (part.weight > 0)
                        m_reachable.insert(part.service);
                }
            }
            for (const ServiceItem* service : m_state.all<ServiceItem>())
                checkService(*service);
            for (const RouteItem* route : m_state.all<RouteItem>())
                checkRoute(*route);
            for (const CallRuleItem* rule : m_state.all<CallRuleItem>())
                checkCallRule(*rule);
            checkPolicy();
            for (const TenantItem* tenant : m_state.all<TenantItem>())
                checkTenant(*tenant);
            return std::move(m_findings);
        }

    private:
        void checkService(const ServiceItem& service)
        {
            if (!m_reachable.contains(service.name))
                add(FindingKind::NeverMatches, serviceKey(service.name), "no route sends requests to it");
        }

        void checkRoute(const RouteItem& route)
        {
            ItemKey key = routeKey(route.name);
            for (const SplitPart& part : route.split) {
                if (part.weight == 0)
                    add(FindingKind::NeverMatches, key,
                        "its part " + part.service.value() + " has the weight 0 and gets no requests");
                else
                    checkLimits(route, *m_state.service(part.service));
            }
            if (!mayBeCalled(route))
                add(FindingKind::NeverMatches, key, "no call rule lets anybody call its services");
        }

        void checkLimits(const RouteItem& route, const ServiceItem& service)
        {
            ItemKey key = routeKey(route.name);
            std::chrono::milliseconds timeout = route.timeout.count() > 0 ? route.timeout : service.timeout;
            uint32_t attempts = route.maxAttempts > 0 ? route.maxAttempts : service.maxAttempts;
            if (route.targetLatency > timeout)
                add(FindingKind::Contradiction, key,
                    "its target latency of " + millisecondsText(route.targetLatency) + " is over the timeout of "
                        + millisecondsText(timeout));
            else if (route.targetLatency * attempts > timeout)
                add(FindingKind::Contradiction, key,
                    std::to_string(attempts) + " attempts of its target latency of "
                        + millisecondsText(route.targetLatency) + " take longer than the timeout of "
                        + millisecondsText(timeout));
        }

        bool mayBeCalled(const RouteItem& route) const
        {
            if (m_policy.openCalls)
                return true;
            for (const CallRuleItem* rule : m_state.all<CallRuleItem>()) {
                for (const SplitPart& part : route.split) {
                    if (rule->callee == part.service)
                        return true;
                }
            }
            return false;
        }

        void checkCallRule(const CallRuleItem& rule)
        {
            ItemKey key = callRuleKey(rule.caller, rule.callee);
            if (m_policy.openCalls)
                add(FindingKind::NeverMatches, key, "the mesh policy allows all calls");
            else if (!m_reachable.contains(rule.callee))
                add(FindingKind::NeverMatches, key, "no route sends requests to " + rule.callee.value());
        }

        void checkPolicy()
        {
            bool hasKeys = false;
            for (const TenantItem* tenant : m_state.all<TenantItem>())
                hasKeys = hasKeys || !tenant->keys.empty();
            if (m_policy.requiresApiKeys && !hasKeys)
                add(FindingKind::Contradiction, meshPolicyKey(), "API keys are required, but no tenant has one");
            if (m_policy.maxHeaderBytes > maxHeadBytes)
                add(FindingKind::Contradiction, meshPolicyKey(),
                    "daemons accept headers of at most " + std::to_string(maxHeadBytes) + " bytes");
            else if (m_policy.maxHeaderBytes > maxFieldBytes)
                add(FindingKind::Contradiction, meshPolicyKey(),
                    "a single header field of over " + std::to_string(maxFieldBytes)
                        + " bytes is refused all the same");
        }

        void checkTenant(const TenantItem& tenant)
        {
            ItemKey key = tenantKey(tenant.name);
            if (tenant.keys.empty())
                add(FindingKind::NeverMatches, key, "it has no API key");
            else if (!m_policy.requiresApiKeys)
                add(FindingKind::NeverMatches, key, "the mesh policy requires no API keys");
            if (tenant.ratePerSecond == 0 && tenant.burst > 0)
                add(FindingKind::Contradiction, key, "it has a burst but no rate, so there is no limit");
        }

        void add(FindingKind kind, ItemKey item, std::string text)
        {
            m_findings.push_back({ kind, std::move(item), std::move(text) });
        }

        const ConfigState& m_state;
        const MeshPolicyItem m_policy;
        /// Services with a share of some route.
        std::set<ServiceName> m_reachable;
        std::vector<ConfigFinding> m_findings;
    };

} // namespace

std::string_view name(FindingKind kind)
{
    switch (kind) {
    case FindingKind::Error:
        return "error";
    case FindingKind::NeverMatches:
        return "never_matches";
    case FindingKind::Contradiction:
        return "contradiction";
    }
    return "invalid";
}

std::vector<ConfigFinding> checkConfiguration(const ConfigState& state)
{
    std::string detail;
    if (state.validate(&detail))
        return { { FindingKind::Error, {}, detail } };
    return Checker(state).check();
}

} // namespace dragonflylane
