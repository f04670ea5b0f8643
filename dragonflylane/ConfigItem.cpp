#include "dragonflylane/ConfigItem.h"

#include "dragonflylane/Bytes.h"
#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <set>

namespace dragonflylane {

namespace {

    struct CanonicalWriter {
        std::string& out;

        void operator()(const ServiceItem& item) const
        {
            appendText(out, item.name.value());
            appendNumber(out, static_cast<uint64_t>(item.timeout.count()));
            appendNumber(out, item.maxAttempts);
            appendNumber(out, item.maxConnections);
        }

        void operator()(const RouteItem& item) const
        {
            appendText(out, item.name.value());
            appendText(out, item.pathPrefix);
            appendNumber(out, item.split.size());
            for (const SplitPart& part : item.split) {
                appendText(out, part.service.value());
                appendNumber(out, part.weight);
            }
            appendNumber(out, static_cast<uint64_t>(item.timeout.count()));
            appendNumber(out, item.idempotentMethods.size());
            for (const std::string& method : item.idempotentMethods)
                appendText(out, method);
            appendText(out, item.host);
            constexpr uint64_t decidedByMethod = 2;
            appendNumber(out, item.isIdempotent ? uint64_t { *item.isIdempotent } : decidedByMethod);
            appendNumber(out, item.maxAttempts);
            appendNumber(out, item.priority);
            appendNumber(out, static_cast<uint64_t>(item.targetLatency.count()));
            // Only if set, so that the digests of configurations without it stay the same.
            if (item.isPublic)
                appendNumber(out, uint64_t { 1 });
        }

        void operator()(const CallRuleItem& item) const
        {
            appendText(out, item.caller.value());
            appendText(out, item.callee.value());
        }

        void operator()(const DrainItem& item) const { appendText(out, item.upstream.value()); }

        void operator()(const KeeperViewItem& item) const
        {
            appendNumber(out, item.epoch.value());
            appendNumber(out, item.hosts.size());
            for (const KeeperHost& keeper : item.hosts) {
                appendText(out, keeper.host.value());
                appendText(out, keeper.dataCentre.value());
            }
        }

        void operator()(const MeshPolicyItem& item) const
        {
            appendNumber(out, uint64_t { item.openCalls });
            appendNumber(out, item.maxHeaderBytes);
            appendNumber(out, item.maxBodyBytes);
            appendNumber(out, static_cast<uint64_t>(item.headerTimeout.count()));
            appendNumber(out, static_cast<uint64_t>(item.idleTimeout.count()));
            // Only if set, so that the digests of configurations without it stay the same.
            if (item.requiresApiKeys)
                appendNumber(out, uint64_t { 1 });
        }

        void operator()(const TenantItem& item) const
        {
            appendText(out, item.name.value());
            appendNumber(out, item.keys.size());
            for (const ApiKeyHash& key : item.keys)
                appendText(out, key.bytes());
            appendNumber(out, item.priority);
            appendNumber(out, std::bit_cast<uint64_t>(item.ratePerSecond));
            appendNumber(out, std::bit_cast<uint64_t>(item.burst));
        }

        void operator()(const RolloutItem& item) const
        {
            appendText(out, item.service.value());
            appendText(out, item.target.value());
            appendNumber(out, static_cast<uint64_t>(item.state));
            appendNumber(out, item.sharePermille);
            appendNumber(out, static_cast<uint64_t>(item.duration.count()));
            appendNumber(out, static_cast<uint64_t>(item.elapsed.count()));
        }
    };

    struct KeyMaker {
        ItemKey operator()(const ServiceItem& item) const { return serviceKey(item.name); }
        ItemKey operator()(const RouteItem& item) const { return routeKey(item.name); }
        ItemKey operator()(const CallRuleItem& item) const { return callRuleKey(item.caller, item.callee); }
        ItemKey operator()(const DrainItem& item) const { return drainKey(item.upstream); }
        ItemKey operator()(const KeeperViewItem&) const { return keeperViewKey(); }
        ItemKey operator()(const MeshPolicyItem&) const { return meshPolicyKey(); }
        ItemKey operator()(const TenantItem& item) const { return tenantKey(item.name); }
        ItemKey operator()(const RolloutItem& item) const { return rolloutKey(item.service); }
    };

    std::error_code reject(ResultCode code, std::string text, std::string* detail)
    {
        if (detail)
            *detail = std::move(text);
        return code;
    }

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    }

    bool isPathCharacter(char c)
    {
        constexpr std::string_view punctuation = "/-._~!$&'()*+,;=:@";
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || punctuation.find(c) != std::string_view::npos;
    }

    // Empty, "." and ".." segments are rejected because clients and proxies normalise them differently.
    bool isValidPathPrefix(std::string_view prefix)
    {
        if (prefix == "/")
            return true;
        if (prefix.empty() || prefix.size() > ItemLimits::pathPrefixLength || prefix.front() != '/')
            return false;
        if (prefix.back() == '/')
            prefix.remove_suffix(1);
        if (!std::all_of(prefix.begin(), prefix.end(), isPathCharacter))
            return false;
        for (size_t begin = 1; begin <= prefix.size();) {
            size_t end = std::min(prefix.find('/', begin), prefix.size());
            std::string_view segment = prefix.substr(begin, end - begin);
            if (segment.empty() || segment == "." || segment == "..")
                return false;
            begin = end + 1;
        }
        return true;
    }

    bool isValidHost(std::string_view host)
    {
        return host.size() <= ItemLimits::hostLength && std::all_of(host.begin(), host.end(), [](char c) {
            return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == ':';
        });
    }

    bool isValidMethod(std::string_view method)
    {
        return !method.empty() && method.size() <= ItemLimits::methodLength
            && std::all_of(method.begin(), method.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
    }

    struct ItemChecker {
        std::string* detail;

        std::error_code checkName(std::string_view kind, const std::string& name) const
        {
            if (isValidName(name))
                return {};
            return reject(ResultCode::InvalidName,
                std::string(kind) + " name '" + printableExcerpt(name) + "' is not valid", detail);
        }

        std::error_code operator()(const ServiceItem& item) const
        {
            if (std::error_code error = checkName("service", item.name.value()))
                return error;
            if (item.name.value() == clientServiceName)
                return reject(ResultCode::InvalidName, "service name 'client' is reserved for callers outside", detail);
            if (item.timeout.count() < 1 || item.timeout > ItemLimits::timeout)
                return reject(
                    ResultCode::InvalidValue, "timeout of service " + item.name.value() + " is out of range", detail);
            if (item.maxAttempts < 1 || item.maxAttempts > ItemLimits::maxAttempts)
                return reject(ResultCode::InvalidValue,
                    "maxAttempts of service " + item.name.value() + " is out of range", detail);
            if (item.maxConnections > ItemLimits::connections)
                return reject(ResultCode::InvalidValue,
                    "maxConnections of service " + item.name.value() + " is out of range", detail);
            return {};
        }

        std::error_code operator()(const RouteItem& item) const
        {
            if (std::error_code error = checkName("route", item.name.value()))
                return error;
            const std::string where = " of route " + item.name.value();
            if (!isValidPathPrefix(item.pathPrefix))
                return reject(ResultCode::InvalidValue, "path prefix" + where + " is not valid", detail);
            if (item.timeout.count() < 0 || item.timeout > ItemLimits::timeout)
                return reject(ResultCode::InvalidValue, "timeout" + where + " is out of range", detail);
            if (!isValidHost(item.host))
                return reject(ResultCode::InvalidValue, "host" + where + " is not valid", detail);
            if (item.maxAttempts > ItemLimits::maxAttempts)
                return reject(ResultCode::InvalidValue, "maxAttempts" + where + " is out of range", detail);
            if (item.priority > ItemLimits::priority)
                return reject(ResultCode::InvalidValue, "priority" + where + " is out of range", detail);
            if (item.targetLatency.count() < 0 || item.targetLatency > ItemLimits::timeout)
                return reject(ResultCode::InvalidValue, "target latency" + where + " is out of range", detail);
            if (std::error_code error = checkMethods(item, where))
                return error;
            return checkSplit(item, where);
        }

        std::error_code checkMethods(const RouteItem& item, const std::string& where) const
        {
            if (item.idempotentMethods.size() > ItemLimits::idempotentMethods)
                return reject(ResultCode::InvalidValue, "too many idempotent methods" + where, detail);
            for (const std::string& method : item.idempotentMethods) {
                if (!isValidMethod(method))
                    return reject(ResultCode::InvalidValue, "idempotent method" + where + " is not valid", detail);
            }
            return {};
        }

        std::error_code checkSplit(const RouteItem& item, const std::string& where) const
        {
            if (item.split.size() > ItemLimits::splitParts)
                return reject(ResultCode::InvalidValue, "split" + where + " has too many services", detail);
            std::set<ServiceName> seen;
            uint64_t sum = 0;
            for (const SplitPart& part : item.split) {
                if (std::error_code error = checkName("service", part.service.value()))
                    return error;
                if (part.weight > ItemLimits::weight)
                    return reject(ResultCode::InvalidValue, "a weight" + where + " is out of range", detail);
                if (!seen.insert(part.service).second)
                    return reject(ResultCode::InvalidValue,
                        "split" + where + " names service " + part.service.value() + " twice", detail);
                sum += part.weight;
            }
            if (sum == 0)
                return reject(ResultCode::ZeroWeights, "weights" + where + " sum to zero", detail);
            return {};
        }

        std::error_code operator()(const CallRuleItem& item) const
        {
            if (std::error_code error = checkName("service", item.caller.value()))
                return error;
            if (std::error_code error = checkName("service", item.callee.value()))
                return error;
            if (item.callee.value() == clientServiceName)
                return reject(ResultCode::InvalidValue, "service client cannot be called", detail);
            return {};
        }

        std::error_code operator()(const DrainItem& item) const { return checkName("upstream", item.upstream.value()); }

        std::error_code operator()(const KeeperViewItem& item) const
        {
            if (item.hosts.size() > ItemLimits::keeperHosts)
                return reject(ResultCode::InvalidValue, "keeper view has too many hosts", detail);
            std::set<HostId> seen;
            for (const auto& [host, dataCentre] : item.hosts) {
                if (std::error_code error = checkName("host", host.value()))
                    return error;
                if (std::error_code error = checkName("data centre", dataCentre.value()))
                    return error;
                if (!seen.insert(host).second)
                    return reject(
                        ResultCode::InvalidValue, "keeper view names host " + host.value() + " twice", detail);
            }
            return {};
        }

        std::error_code operator()(const MeshPolicyItem& item) const
        {
            bool isValid = item.headerTimeout.count() >= 0 && item.headerTimeout <= ItemLimits::timeout
                && item.idleTimeout.count() >= 0 && item.idleTimeout <= ItemLimits::timeout;
            if (!isValid)
                return reject(ResultCode::InvalidValue, "a time of the mesh policy is out of range", detail);
            return {};
        }

        std::error_code operator()(const TenantItem& item) const
        {
            if (!isValidTenantName(item.name.value()))
                return reject(ResultCode::InvalidName,
                    "tenant name '" + printableExcerpt(item.name.value()) + "' is not valid", detail);
            const std::string where = " of tenant " + item.name.value();
            if (item.keys.size() > ItemLimits::tenantKeys)
                return reject(ResultCode::InvalidValue, "too many keys" + where, detail);
            if (item.priority > ItemLimits::priority)
                return reject(ResultCode::InvalidValue, "priority" + where + " is out of range", detail);
            auto isValid
                = [](double value) { return std::isfinite(value) && value >= 0 && value <= ItemLimits::requestRate; };
            if (!isValid(item.ratePerSecond) || !isValid(item.burst))
                return reject(ResultCode::InvalidValue, "rate or burst" + where + " is out of range", detail);
            return {};
        }

        std::error_code operator()(const RolloutItem& item) const
        {
            if (std::error_code error = checkName("service", item.service.value()))
                return error;
            if (std::error_code error = checkName("version", item.target.value()))
                return error;
            bool isValid = item.sharePermille <= ItemLimits::sharePermille && item.duration.count() >= 0
                && item.elapsed.count() >= 0 && item.state <= RolloutState::RolledBack;
            if (!isValid)
                return reject(ResultCode::InvalidValue,
                    "a value of the roll-out of service " + item.service.value() + " is out of range", detail);
            return {};
        }
    };

} // namespace

std::string ItemKey::toString() const
{
    return name.empty() ? std::string(kindName(kind)) : std::string(kindName(kind)) + " " + name;
}

ItemKey keyOf(const ConfigItem& item)
{
    return std::visit(KeyMaker {}, item);
}

ItemKey serviceKey(const ServiceName& name)
{
    return { ItemKind::Service, name.value() };
}

ItemKey routeKey(const RouteName& name)
{
    return { ItemKind::Route, name.value() };
}

ItemKey callRuleKey(const ServiceName& caller, const ServiceName& callee)
{
    return { ItemKind::CallRule, caller.value() + ">" + callee.value() };
}

ItemKey drainKey(const UpstreamId& upstream)
{
    return { ItemKind::Drain, upstream.value() };
}

ItemKey keeperViewKey()
{
    return { ItemKind::KeeperView, {} };
}

ItemKey meshPolicyKey()
{
    return { ItemKind::MeshPolicy, {} };
}

ItemKey tenantKey(const TenantName& name)
{
    return { ItemKind::Tenant, name.value() };
}

ItemKey rolloutKey(const ServiceName& service)
{
    return { ItemKind::Rollout, service.value() };
}

std::string_view kindName(ItemKind kind)
{
    switch (kind) {
    case ItemKind::Service:
        return "service";
    case ItemKind::Route:
        return "route";
    case ItemKind::CallRule:
        return "call_rule";
    case ItemKind::Drain:
        return "drain";
    case ItemKind::KeeperView:
        return "keeper_view";
    case ItemKind::MeshPolicy:
        return "mesh_policy";
    case ItemKind::Tenant:
        return "tenant";
    case ItemKind::Rollout:
        return "rollout";
    }
    return "unknown";
}

std::string canonicalKey(const ItemKey& key)
{
    return static_cast<char>(key.kind) + key.name;
}

std::string canonicalValue(const ConfigItem& item)
{
    std::string out;
    std::visit(CanonicalWriter { out }, item);
    return out;
}

bool isValidName(std::string_view name)
{
    if (name.empty() || name.size() > ItemLimits::nameLength)
        return false;
    bool hasValidStart = (name.front() >= 'a' && name.front() <= 'z') || (name.front() >= '0' && name.front() <= '9');
    return hasValidStart && std::all_of(name.begin(), name.end(), isNameCharacter);
}

bool isValidTenantName(std::string_view name)
{
    return !name.empty() && name.size() <= ItemLimits::nameLength
        && std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::string printableExcerpt(std::string_view text)
{
    std::string result(text.substr(0, ItemLimits::nameLength));
    for (char& c : result) {
        if (c < ' ' || c > '~')
            c = '?';
    }
    return result;
}

std::error_code checkItem(const ConfigItem& item, std::string* detail)
{
    return std::visit(ItemChecker { detail }, item);
}

} // namespace dragonflylane
