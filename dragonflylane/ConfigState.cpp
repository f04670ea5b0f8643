#include "dragonflylane/ConfigState.h"

#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <unordered_map>

namespace dragonflylane {

namespace {

    // Returns the code and stores the text in `detail`, if set. Plan records of the replicated state machine contain
    // these texts, so replicas of different builds must produce the same ones.
    std::error_code reject(ResultCode code, std::string text, std::string* detail)
    {
        if (detail)
            *detail = std::move(text);
        return code;
    }

    /// Callers and callees of each service, by service name. The call rules must outlive the graph, which refers to
    /// their names.
    class CallGraph {
    public:
        explicit CallGraph(const std::vector<const CallRuleItem*>& rules)
        {
            for (const CallRuleItem* rule : rules) {
                size_t caller = findOrAdd(rule->caller.value());
                size_t callee = findOrAdd(rule->callee.value());
                m_callees[caller].push_back(callee);
                m_callers[callee].push_back(caller);
            }
        }

        /// Returns a cycle as "a > b > a"; empty if there is none. Repeatedly removes services without callers (Kahn's
        /// algorithm). Not recursive, since a chain of calls may be as long as the number of services.
        std::string findCycle() const
        {
            std::vector<size_t> remainingCallers;
            std::vector<size_t> withoutCallers;
            for (size_t i = 0; i < m_names.size(); ++i) {
                remainingCallers.push_back(m_callers[i].size());
                if (m_callers[i].empty())
                    withoutCallers.push_back(i);
            }
            while (!withoutCallers.empty()) {
                size_t caller = withoutCallers.back();
                withoutCallers.pop_back();
                for (size_t callee : m_callees[caller]) {
                    if (--remainingCallers[callee] == 0)
                        withoutCallers.push_back(callee);
                }
            }
            auto remaining = std::find_if(
                remainingCallers.begin(), remainingCallers.end(), [](size_t count) { return count > 0; });
            if (remaining == remainingCallers.end())
                return {};
            return formatCycle(static_cast<size_t>(remaining - remainingCallers.begin()), remainingCallers);
        }

    private:
        size_t findOrAdd(std::string_view name)
        {
            auto [position, inserted] = m_indexes.try_emplace(name, m_names.size());
            if (inserted) {
                m_names.push_back(name);
                m_callees.emplace_back();
                m_callers.emplace_back();
            }
            return position->second;
        }

        // Formats a cycle that is reached from `start`. Every remaining service has a remaining caller, so following
        // the callers leads to one.
        std::string formatCycle(size_t start, const std::vector<size_t>& remainingCallers) const
        {
            std::vector<size_t> path { start };
            std::vector<bool> visited(m_names.size());
            visited[start] = true;
            for (;;) {
                const std::vector<size_t>& callers = m_callers[path.back()];
                size_t next
                    = *std::find_if(callers.begin(), callers.end(), [&](size_t i) { return remainingCallers[i] > 0; });
                path.push_back(next);
                if (visited[next])
                    break;
                visited[next] = true;
            }
            auto first = std::find(path.begin(), path.end(), path.back());
            std::string text;
            for (auto i = path.end(); i != first;)
                text += (text.empty() ? "" : " > ") + std::string(m_names[*--i]);
            return text;
        }

        std::unordered_map<std::string_view, size_t> m_indexes;
        std::vector<std::string_view> m_names;
        std::vector<std::vector<size_t>> m_callees;
        std::vector<std::vector<size_t>> m_callers;
    };

    std::error_code checkRoutes(const ConfigState& state, std::string* detail)
    {
        std::unordered_map<std::string, const RouteItem*> prefixes;
        for (const RouteItem* route : state.all<RouteItem>()) {
            for (const SplitPart& part : route->split) {
                if (!state.service(part.service))
                    return reject(ResultCode::DanglingRoute,
                        "route " + route->name.value() + " names the unknown service " + part.service.value(), detail);
            }
            auto [other, inserted] = prefixes.try_emplace(route->host + route->pathPrefix, route);
            if (!inserted)
                return reject(ResultCode::DuplicatePrefix,
                    "routes " + other->second->name.value() + " and " + route->name.value()
                        + " have the same path prefix " + route->host + route->pathPrefix,
                    detail);
        }
        return {};
    }

    std::error_code checkTenants(const ConfigState& state, std::string* detail)
    {
        std::unordered_map<ApiKeyHash, const TenantItem*> owners;
        for (const TenantItem* tenant : state.all<TenantItem>()) {
            for (const ApiKeyHash& key : tenant->keys) {
                auto [other, inserted] = owners.try_emplace(key, tenant);
                if (!inserted && other->second != tenant)
                    return reject(ResultCode::DuplicateApiKey,
                        "tenants " + other->second->name.value() + " and " + tenant->name.value()
                            + " have the same API key",
                        detail);
            }
        }
        return {};
    }

    std::error_code checkCallRules(const ConfigState& state, std::string* detail)
    {
        const std::vector<const CallRuleItem*> rules = state.all<CallRuleItem>();
        for (const CallRuleItem* rule : rules) {
            bool callerExists = rule->caller.value() == clientServiceName || state.service(rule->caller);
            if (!callerExists || !state.service(rule->callee))
                return reject(ResultCode::UnknownService,
                    "call rule " + rule->caller.value() + " > " + rule->callee.value() + " names the unknown service "
                        + (callerExists ? rule->callee : rule->caller).value(),
                    detail);
        }
        std::string cycle = CallGraph(rules).findCycle();
        if (!cycle.empty())
            return reject(ResultCode::CallCycle, "call rules form the cycle " + cycle, detail);
        return {};
    }

} // namespace

ConfigState::ConfigState(Revision revision, std::vector<ConfigItem> items)
    : m_revision(revision)
{
    for (ConfigItem& item : items)
        insert(std::move(item));
}

const ConfigItem* ConfigState::find(const ItemKey& key) const
{
    auto position = m_items.find(key);
    return position == m_items.end() ? nullptr : position->second.get();
}

const ServiceItem* ConfigState::service(const ServiceName& name) const
{
    const ConfigItem* item = find(serviceKey(name));
    return item ? std::get_if<ServiceItem>(item) : nullptr;
}

const RouteItem* ConfigState::route(const RouteName& name) const
{
    const ConfigItem* item = find(routeKey(name));
    return item ? std::get_if<RouteItem>(item) : nullptr;
}

const KeeperViewItem* ConfigState::keeperView() const
{
    const ConfigItem* item = find(keeperViewKey());
    return item ? std::get_if<KeeperViewItem>(item) : nullptr;
}

const MeshPolicyItem* ConfigState::meshPolicy() const
{
    const ConfigItem* item = find(meshPolicyKey());
    return item ? std::get_if<MeshPolicyItem>(item) : nullptr;
}

bool ConfigState::isDrained(const UpstreamId& upstream) const
{
    return find(drainKey(upstream)) != nullptr;
}

bool ConfigState::isCallAllowed(const ServiceName& caller, const ServiceName& callee) const
{
    return find(callRuleKey(caller, callee)) != nullptr;
}

void ConfigState::insert(ConfigItem item)
{
    ItemKey key = keyOf(item);
    remove(key);
    std::string keyBytes = canonicalKey(key);
    std::string valueBytes = canonicalValue(item);
    m_digest.add(keyBytes, valueBytes);
    m_bytes += keyBytes.size() + valueBytes.size();
    m_items.emplace(std::move(key), std::make_shared<const ConfigItem>(std::move(item)));
}

bool ConfigState::remove(const ItemKey& key)
{
    auto position = m_items.find(key);
    if (position == m_items.end())
        return false;
    std::string keyBytes = canonicalKey(key);
    std::string valueBytes = canonicalValue(*position->second);
    m_digest.remove(keyBytes, valueBytes);
    m_bytes -= keyBytes.size() + valueBytes.size();
    m_items.erase(position);
    return true;
}

std::error_code ConfigState::validate(std::string* detail) const
{
    if (m_items.size() > maxItems || m_bytes > maxBytes)
        return reject(ResultCode::PlanTooLarge, "the configuration would have too many items or bytes", detail);
    for (const auto& [key, item] : m_items) {
        if (std::error_code error = checkItem(*item, detail))
            return error;
    }
    if (std::error_code error = checkRoutes(*this, detail))
        return error;
    if (std::error_code error = checkTenants(*this, detail))
        return error;
    return checkCallRules(*this, detail);
}

std::error_code ConfigState::apply(const ConfigDelta& delta, ApplyChecks checks)
{
    if (checks.base && delta.fromRevision != m_revision)
        return ResultCode::BaseMismatch;
    if (checks.base && delta.toRevision <= delta.fromRevision)
        return ResultCode::StaleRevision;
    if (checks.digest && delta.fromDigest != m_digest)
        return ResultCode::DigestMismatch;
    ConfigState next = *this;
    for (const ItemKey& key : delta.removals)
        next.remove(key);
    for (const auto& [key, item] : delta.upserts)
        next.insert(item);
    if (checks.digest && next.m_digest != delta.toDigest)
        return ResultCode::DigestMismatch;
    next.m_revision = delta.toRevision;
    *this = std::move(next);
    return {};
}

ConfigDelta ConfigState::deltaTo(const ConfigState& target) const
{
    ConfigDelta delta;
    delta.fromRevision = m_revision;
    delta.fromDigest = m_digest;
    delta.toRevision = target.m_revision;
    delta.toDigest = target.m_digest;
    for (const auto& [key, item] : m_items) {
        if (!target.m_items.contains(key))
            delta.removals.insert(key);
    }
    for (const auto& [key, item] : target.m_items) {
        auto position = m_items.find(key);
        bool same = position != m_items.end() && (position->second == item || *position->second == *item);
        if (!same)
            delta.upserts.emplace(key, *item);
    }
    return delta;
}

bool ConfigState::operator==(const ConfigState& other) const
{
    if (m_revision != other.m_revision || m_digest != other.m_digest || m_items.size() != other.m_items.size())
        return false;
    return std::equal(m_items.begin(), m_items.end(), other.m_items.begin(),
        [](const auto& left, const auto& right) { return left.first == right.first && *left.second == *right.second; });
}

} // namespace dragonflylane
