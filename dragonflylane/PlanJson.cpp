#include "dragonflylane/PlanJson.h"

#include "dragonflylane/PlanStateMachine.h"
#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <functional>
#include <limits>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    // A plan needs a depth of 6: document, changes, change, item, split and part of the split.
    constexpr size_t maxDepth = 8;

    /// Reads the members of one JSON object. Keeps the first error; finish() reports unknown keys.
    class ObjectReader {
    public:
        ObjectReader(const json::value& value, std::string where, std::string* error)
            : m_object(value.if_object())
            , m_where(std::move(where))
            , m_error(error)
        {
            if (!m_object)
                fail("is not an object");
        }

        const json::value* member(const char* key)
        {
            const json::value* value = m_object ? m_object->if_contains(key) : nullptr;
            m_known.emplace_back(key);
            return value;
        }

        std::string text(const char* key)
        {
            const json::value* value = member(key);
            if (value && value->is_string())
                return std::string(value->get_string());
            fail(std::string("needs a string '") + key + "'");
            return {};
        }

        std::string text(const char* key, const std::string& fallback)
        {
            bool isGiven = m_object && m_object->contains(key);
            return isGiven ? text(key) : (member(key), fallback);
        }

        std::optional<bool> flag(const char* key)
        {
            const json::value* value = member(key);
            if (!value)
                return std::nullopt;
            if (!value->is_bool())
                fail(std::string("needs true or false in '") + key + "'");
            return value->is_bool() && value->get_bool();
        }

        uint64_t number(const char* key, std::optional<uint64_t> fallback, uint64_t limit)
        {
            const json::value* value = member(key);
            if (!value && fallback)
                return *fallback;
            json::error_code error;
            uint64_t result = value && value->is_number() ? value->to_number<uint64_t>(error) : 0;
            if (!value || !value->is_number() || value->is_double() || error || result > limit)
                fail(std::string("needs a whole number '") + key + "'");
            return result;
        }

        const json::array* array(const char* key, bool required)
        {
            const json::value* value = member(key);
            if (!value && !required)
                return nullptr;
            if (value && value->is_array())
                return &value->get_array();
            fail(std::string("needs an array '") + key + "'");
            return nullptr;
        }

        void finish()
        {
            if (!m_object)
                return;
            for (const json::key_value_pair& pair : *m_object) {
                if (std::find(m_known.begin(), m_known.end(), pair.key()) == m_known.end())
                    fail("has the unknown key '" + printableExcerpt({ pair.key().data(), pair.key().size() }) + "'");
            }
        }

        void fail(const std::string& text)
        {
            if (m_error->empty())
                *m_error = m_where + " " + text;
        }

        const std::string& where() const { return m_where; }

    private:
        const json::object* m_object;
        std::string m_where;
        std::string* m_error;
        std::vector<std::string_view> m_known;
    };

    constexpr uint64_t maxNumber = std::numeric_limits<int32_t>::max();

    std::chrono::milliseconds milliseconds(uint64_t value)
    {
        return std::chrono::milliseconds(static_cast<int64_t>(value));
    }

    ServiceItem readService(ObjectReader& reader)
    {
        const ServiceItem defaults;
        ServiceItem item;
        item.name = ServiceName(reader.text("name"));
        item.timeout
            = milliseconds(reader.number("timeoutMs", static_cast<uint64_t>(defaults.timeout.count()), maxNumber));
        item.maxAttempts = static_cast<uint32_t>(reader.number("maxAttempts", defaults.maxAttempts, maxNumber));
        item.maxConnections = static_cast<uint32_t>(reader.number("maxConnections", 0, maxNumber));
        return item;
    }

    RouteItem readRoute(ObjectReader& reader, std::string* error)
    {
        RouteItem item;
        item.name = RouteName(reader.text("name"));
        item.pathPrefix = reader.text("pathPrefix");
        item.timeout = milliseconds(reader.number("timeoutMs", 0, maxNumber));
        if (const json::array* split = reader.array("split", true)) {
            for (const json::value& value : *split) {
                ObjectReader part(value, reader.where() + ": part of 'split'", error);
                ServiceName service(part.text("service"));
                auto weight = static_cast<uint32_t>(part.number("weight", std::nullopt, maxNumber));
                item.split.push_back({ std::move(service), weight });
                part.finish();
            }
        }
        if (const json::array* methods = reader.array("idempotentMethods", false)) {
            item.idempotentMethods.clear();
            for (const json::value& method : *methods) {
                if (method.is_string())
                    item.idempotentMethods.emplace_back(method.get_string());
                else
                    reader.fail("needs strings in 'idempotentMethods'");
            }
        }
        item.host = reader.text("host", "");
        item.isIdempotent = reader.flag("idempotent");
        item.maxAttempts = static_cast<uint32_t>(reader.number("maxAttempts", 0, maxNumber));
        item.priority = static_cast<uint32_t>(reader.number("priority", 0, maxNumber));
        item.targetLatency = milliseconds(reader.number("targetLatencyMs", 0, maxNumber));
        item.isPublic = reader.flag("public").value_or(false);
        return item;
    }

    /// Zero if the member is absent.
    double readRate(ObjectReader& reader, const char* key)
    {
        const json::value* value = reader.member(key);
        if (!value)
            return 0;
        if (value->is_number())
            return value->to_number<double>();
        reader.fail(std::string("needs a number '") + key + "'");
        return 0;
    }

    std::optional<ApiKeyHash> parseHexHash(std::string_view text)
    {
        constexpr size_t digitsPerByte = 2;
        constexpr int base = 16;
        if (text.size() != digitsPerByte * ApiKeyHash::length)
            return std::nullopt;
        std::string bytes;
        for (size_t i = 0; i < text.size(); i += digitsPerByte) {
            unsigned char byte = 0;
            const char* end = text.data() + i + digitsPerByte;
            auto result = std::from_chars(text.data() + i, end, byte, base);
            if (result.ec != std::errc() || result.ptr != end)
                return std::nullopt;
            bytes += static_cast<char>(byte);
        }
        return ApiKeyHash::fromBytes(bytes);
    }

    // Keys are hashed as soon as they are read, so that no plan holds them.
    TenantItem readTenant(ObjectReader& reader)
    {
        TenantItem item { .name = TenantName(reader.text("name")) };
        auto readKeys
            = [&](const char* member, const std::function<std::optional<ApiKeyHash>(std::string_view)>& hash) {
                  const json::array* keys = reader.array(member, false);
                  if (!keys)
                      return;
                  for (const json::value& key : *keys) {
                      auto keyHash = key.is_string() ? hash(key.get_string()) : std::nullopt;
                      if (!keyHash)
                          return reader.fail(std::string("has an invalid element in '") + member + "'");
                      item.keys.push_back(*keyHash);
                  }
              };
        readKeys("keys",
            [](std::string_view key) { return key.empty() ? std::nullopt : std::optional(ApiKeyHash::of(key)); });
        readKeys("keySha256", parseHexHash);
        item.priority = static_cast<uint32_t>(reader.number("priority", 0, maxNumber));
        item.ratePerSecond = readRate(reader, "ratePerSecond");
        item.burst = readRate(reader, "burst");
        return item;
    }

    MeshPolicyItem readMeshPolicy(ObjectReader& reader)
    {
        MeshPolicyItem item;
        item.openCalls = reader.flag("openCalls").value_or(false);
        item.maxHeaderBytes = static_cast<uint32_t>(reader.number("maxHeaderBytes", 0, maxNumber));
        item.maxBodyBytes = reader.number("maxBodyBytes", 0, maxNumber);
        item.headerTimeout = milliseconds(reader.number("headerTimeoutMs", 0, maxNumber));
        item.idleTimeout = milliseconds(reader.number("idleTimeoutMs", 0, maxNumber));
        item.requiresApiKeys = reader.flag("requiresApiKeys").value_or(false);
        return item;
    }

    CallRuleItem readCallRule(ObjectReader& reader)
    {
        ServiceName caller(reader.text("caller"));
        return { std::move(caller), ServiceName(reader.text("callee")) };
    }

    std::string readName(const json::value& value, const std::string& where, std::string* error)
    {
        if (value.is_string())
            return std::string(value.get_string());
        if (error->empty())
            *error = where + " is not a string";
        return {};
    }

    using ChangeReader = std::function<PlanChange(const json::value&, const std::string& where, std::string* error)>;

    PlanChange readObjectChange(const std::function<PlanChange(ObjectReader&)>& read, const json::value& value,
        const std::string& where, std::string* error)
    {
        ObjectReader reader(value, where, error);
        PlanChange change = read(reader);
        reader.finish();
        return change;
    }

    ChangeReader changeByObject(std::function<PlanChange(ObjectReader&)> read)
    {
        return [read = std::move(read)](const json::value& value, const std::string& where, std::string* error) {
            return readObjectChange(read, value, where, error);
        };
    }

    ChangeReader changeByName(std::function<PlanChange(std::string)> make)
    {
        return [make = std::move(make)](const json::value& value, const std::string& where, std::string* error) {
            return make(readName(value, where, error));
        };
    }

    const std::map<std::string, ChangeReader, std::less<>>& changeReaders()
    {
        static const std::map<std::string, ChangeReader, std::less<>> readers {
            { "setService", changeByObject([](ObjectReader& reader) { return SetItem { readService(reader) }; }) },
            { "setRoute",
                [](const json::value& value, const std::string& where, std::string* error) {
                    return readObjectChange(
                        [error](ObjectReader& reader) { return SetItem { readRoute(reader, error) }; }, value, where,
                        error);
                } },
            { "allowCall", changeByObject([](ObjectReader& reader) { return SetItem { readCallRule(reader) }; }) },
            { "denyCall",
                changeByObject([](ObjectReader& reader) { return RemoveItem { keyOf(readCallRule(reader)) }; }) },
            { "setMeshPolicy",
                changeByObject([](ObjectReader& reader) { return SetItem { readMeshPolicy(reader) }; }) },
            { "setTenant", changeByObject([](ObjectReader& reader) { return SetItem { readTenant(reader) }; }) },
            { "removeTenant",
                changeByName([](std::string name) { return RemoveItem { tenantKey(TenantName(std::move(name))) }; }) },
            { "removeMeshPolicy", changeByObject([](ObjectReader&) { return RemoveItem { meshPolicyKey() }; }) },
            { "removeService", changeByName([](std::string name) {
                 return RemoveItem { serviceKey(ServiceName(std::move(name))) };
             }) },
            { "removeRoute",
                changeByName([](std::string name) { return RemoveItem { routeKey(RouteName(std::move(name))) }; }) },
            { "drainUpstream",
                changeByName([](std::string name) { return SetItem { DrainItem { UpstreamId(std::move(name)) } }; }) },
            { "undrainUpstream",
                changeByName([](std::string name) { return RemoveItem { drainKey(UpstreamId(std::move(name))) }; }) },
        };
        return readers;
    }

    // Boost.JSON silently keeps the last of several members with the same key. To detect this, the members are counted:
    // in a valid document, each colon outside a string belongs to one member.
    size_t countMembers(const json::value& value)
    {
        size_t count = 0;
        if (const json::object* object = value.if_object()) {
            count = object->size();
            for (const json::key_value_pair& pair : *object)
                count += countMembers(pair.value());
        } else if (const json::array* array = value.if_array()) {
            for (const json::value& element : *array)
                count += countMembers(element);
        }
        return count;
    }

    size_t countColons(std::string_view text)
    {
        size_t count = 0;
        bool isInString = false;
        for (size_t i = 0; i < text.size(); ++i) {
            if (isInString && text[i] == '\\')
                ++i;
            else if (text[i] == '"')
                isInString = !isInString;
            else if (!isInString && text[i] == ':')
                ++count;
        }
        return count;
    }

    std::error_code reject(ResultCode code, std::string text, std::string* detail)
    {
        if (detail)
            *detail = std::move(text);
        return code;
    }

    void readChanges(const json::array& changes, PlanRequest* request, std::string* error)
    {
        for (const json::value& value : changes) {
            std::string where = "change " + std::to_string(request->changes.size() + 1);
            const json::object* object = value.if_object();
            if (!object || object->size() != 1) {
                *error = where + " is not an object with one key";
                return;
            }
            std::string_view kind(object->begin()->key().data(), object->begin()->key().size());
            auto reader = changeReaders().find(kind);
            if (reader == changeReaders().end()) {
                *error = where + " has the unknown kind '" + printableExcerpt(kind) + "'";
                return;
            }
            where += " (" + std::string(kind) + ")";
            request->changes.push_back(reader->second(object->begin()->value(), where, error));
            if (!error->empty())
                return;
        }
    }

    json::array renderStrings(const std::vector<std::string>& strings)
    {
        json::array result;
        for (const std::string& text : strings)
            result.emplace_back(text);
        return result;
    }

    /// Renders a change that sets an item as an object with one member: the kind of the change and the item.
    struct ChangeRenderer {
        json::object operator()(const ServiceItem& item) const
        {
            json::object object { { "name", item.name.value() }, { "timeoutMs", item.timeout.count() },
                { "maxAttempts", item.maxAttempts } };
            if (item.maxConnections > 0)
                object.emplace("maxConnections", item.maxConnections);
            return { { "setService", std::move(object) } };
        }

        json::object operator()(const RouteItem& item) const
        {
            json::array split;
            for (const SplitPart& part : item.split)
                split.push_back(json::object { { "service", part.service.value() }, { "weight", part.weight } });
            json::object object { { "name", item.name.value() }, { "pathPrefix", item.pathPrefix },
                { "split", std::move(split) }, { "timeoutMs", item.timeout.count() },
                { "idempotentMethods", renderStrings(item.idempotentMethods) } };
            if (!item.host.empty())
                object.emplace("host", item.host);
            if (item.isIdempotent)
                object.emplace("idempotent", *item.isIdempotent);
            if (item.maxAttempts > 0)
                object.emplace("maxAttempts", item.maxAttempts);
            if (item.priority > 0)
                object.emplace("priority", item.priority);
            if (item.targetLatency.count() > 0)
                object.emplace("targetLatencyMs", item.targetLatency.count());
            if (item.isPublic)
                object.emplace("public", true);
            return { { "setRoute", std::move(object) } };
        }

        json::object operator()(const CallRuleItem& item) const
        {
            return { { "allowCall",
                json::object { { "caller", item.caller.value() }, { "callee", item.callee.value() } } } };
        }

        json::object operator()(const DrainItem& item) const { return { { "drainUpstream", item.upstream.value() } }; }

        json::object operator()(const KeeperViewItem& item) const
        {
            json::array hosts;
            for (const KeeperHost& keeper : item.hosts)
                hosts.emplace_back(keeper.host.value());
            return { { "setKeepers",
                json::object { { "epoch", item.epoch.value() }, { "hosts", std::move(hosts) } } } };
        }

        json::object operator()(const MeshPolicyItem& item) const
        {
            json::object object { { "openCalls", item.openCalls }, { "maxHeaderBytes", item.maxHeaderBytes },
                { "maxBodyBytes", item.maxBodyBytes }, { "headerTimeoutMs", item.headerTimeout.count() },
                { "idleTimeoutMs", item.idleTimeout.count() } };
            if (item.requiresApiKeys)
                object.emplace("requiresApiKeys", true);
            return { { "setMeshPolicy", std::move(object) } };
        }

        // The hashes of the keys tell an operator nothing, so only their number is rendered. Such a change cannot be
        // proposed again.
        json::object operator()(const TenantItem& item) const
        {
            return { { "setTenant",
                json::object { { "name", item.name.value() }, { "keyCount", item.keys.size() },
                    { "priority", item.priority }, { "ratePerSecond", item.ratePerSecond },
                    { "burst", item.burst } } } };
        }

        json::object operator()(const RolloutItem& item) const
        {
            return { { "setRollout",
                json::object { { "service", item.service.value() }, { "targetVersion", item.target.value() },
                    { "state", static_cast<int>(item.state) }, { "sharePermille", item.sharePermille },
                    { "durationMs", item.duration.count() }, { "elapsedMs", item.elapsed.count() } } } };
        }
    };

    json::object renderRemoval(const ItemKey& key)
    {
        switch (key.kind) {
        case ItemKind::Service:
            return { { "removeService", key.name } };
        case ItemKind::Route:
            return { { "removeRoute", key.name } };
        case ItemKind::Drain:
            return { { "undrainUpstream", key.name } };
        case ItemKind::CallRule: {
            size_t separator = key.name.find('>');
            std::string callee = separator == std::string::npos ? std::string() : key.name.substr(separator + 1);
            return { { "denyCall",
                json::object { { "caller", key.name.substr(0, separator) }, { "callee", callee } } } };
        }
        case ItemKind::MeshPolicy:
            return { { "removeMeshPolicy", json::object() } };
        case ItemKind::Tenant:
            return { { "removeTenant", key.name } };
        case ItemKind::Rollout:
            return { { "removeRollout", key.name } };
        case ItemKind::KeeperView:
            break;
        }
        return { { "removeKeepers", true } };
    }

    json::array renderChanges(const std::vector<PlanChange>& changes)
    {
        json::array result;
        for (const PlanChange& change : changes) {
            if (const auto* set = std::get_if<SetItem>(&change))
                result.push_back(std::visit(ChangeRenderer {}, set->item));
            else
                result.push_back(renderRemoval(std::get<RemoveItem>(change).key));
        }
        return result;
    }

    json::object renderKey(const ItemKey& key)
    {
        return { { "kind", kindName(key.kind) }, { "name", key.name } };
    }

    json::array renderKeys(const std::vector<ItemKey>& keys)
    {
        json::array result;
        for (const ItemKey& key : keys)
            result.push_back(renderKey(key));
        return result;
    }

    json::array renderRoutes(const std::vector<RouteName>& routes)
    {
        json::array result;
        for (const RouteName& route : routes)
            result.emplace_back(route.value());
        return result;
    }

    /// Renders the value of an item without the kind of the change.
    json::value renderValue(const ConfigItem& item)
    {
        json::object change = std::visit(ChangeRenderer {}, item);
        return change.begin()->value();
    }

    std::string_view statusName(PlanStatus status)
    {
        switch (status) {
        case PlanStatus::Proposed:
            return "proposed";
        case PlanStatus::Confirmed:
            return "confirmed";
        case PlanStatus::Conflicted:
            return "conflicted";
        case PlanStatus::Refused:
            return "refused";
        }
        return "unknown";
    }

    void renderResult(ResultCode code, const std::string& detail, const std::vector<ItemKey>& conflictItems,
        const std::optional<uint64_t>& conflictCount, json::object* out)
    {
        (*out)["code"] = static_cast<unsigned>(code);
        (*out)["codeName"] = name(code);
        if (code != ResultCode::Ok)
            (*out)["detail"] = detail.empty() ? std::string(message(code)) : detail;
        if (code != ResultCode::PlanConflict)
            return;
        (*out)["changedSinceBase"] = renderKeys(conflictItems);
        if (conflictCount)
            (*out)["changedSinceBaseCount"] = *conflictCount;
    }

    std::string describeValue(const ConfigItem& item)
    {
        return json::serialize(renderValue(item));
    }

} // namespace

std::error_code parsePlanRequest(std::string_view text, PlanRequest* request, std::string* detail)
{
    if (text.size() > PlanLimits::bytes)
        return reject(ResultCode::PlanTooLarge, "the document has more than 256 KB", detail);
    json::parse_options options;
    options.max_depth = maxDepth;
    json::error_code jsonError;
    json::value document = json::parse(text, jsonError, {}, options);
    if (jsonError)
        return reject(ResultCode::MalformedPlan, "the document is not valid JSON: " + jsonError.message(), detail);
    if (countMembers(document) != countColons(text))
        return reject(ResultCode::MalformedPlan, "an object has the same key twice", detail);
    std::string error;
    PlanRequest result;
    ObjectReader reader(document, "the plan", &error);
    if (reader.member("base"))
        result.base = Revision(reader.number("base", std::nullopt, std::numeric_limits<int64_t>::max()));
    const json::array* changes = reader.array("changes", true);
    if (changes && changes->size() > PlanLimits::changes)
        return reject(ResultCode::PlanTooLarge, "the plan has more than 512 changes", detail);
    if (changes)
        readChanges(*changes, &result, &error);
    reader.finish();
    if (!error.empty())
        return reject(ResultCode::MalformedPlan, std::move(error), detail);
    *request = std::move(result);
    return {};
}

std::string renderPlanRequest(const PlanRequest& request)
{
    json::object document;
    if (request.base)
        document["base"] = request.base->value();
    document["changes"] = renderChanges(request.changes);
    return json::serialize(document);
}

std::string renderPlan(const PlanId& id, const Plan& plan)
{
    json::object document { { "plan", id.value() }, { "base", plan.base.value() },
        { "revision", plan.delta.toRevision.value() }, { "changes", renderChanges(plan.changes) },
        { "added", renderKeys(plan.added) }, { "changed", renderKeys(plan.changed) },
        { "removed", renderKeys(plan.removed) }, { "routesGained", renderRoutes(plan.routesGained) },
        { "routesLost", renderRoutes(plan.routesLost) } };
    json::array before;
    for (const auto& [key, item] : plan.before) {
        json::object entry = renderKey(key);
        entry["value"] = renderValue(item);
        before.push_back(std::move(entry));
    }
    document["before"] = std::move(before);
    json::array warnings;
    for (const PlanWarning& warning : plan.warnings) {
        json::object entry = renderKey(warning.item);
        entry["text"] = warning.text;
        warnings.push_back(std::move(entry));
    }
    document["warnings"] = std::move(warnings);
    document["daemonsAffected"] = plan.daemonsAffected;
    document["estimatedControlBytes"] = plan.estimatedControlBytes;
    return json::serialize(document);
}

std::string renderPlanRecord(const PlanRecord& record)
{
    json::object document { { "plan", record.id.value() }, { "status", statusName(record.status) },
        { "base", record.base.value() }, { "revision", record.revision.value() },
        { "proposedBy", record.proposedBy.value() }, { "confirmedBy", record.confirmedBy.value() },
        { "changes", renderChanges(record.changes) } };
    renderResult(record.code, record.detail, record.conflictItems, record.conflictCount, &document);
    return json::serialize(document);
}

std::string renderPlanText(const PlanId& id, const Plan& plan)
{
    std::string text = "plan " + id.value() + " on revision " + std::to_string(plan.base.value()) + "\n";
    for (const ItemKey& key : plan.added)
        text += "  add " + key.toString() + " " + describeValue(plan.delta.upserts.at(key)) + "\n";
    for (const ItemKey& key : plan.changed) {
        text += "  change " + key.toString() + " " + describeValue(plan.before.at(key)) + "\n";
        text += "      to " + describeValue(plan.delta.upserts.at(key)) + "\n";
    }
    for (const ItemKey& key : plan.removed)
        text += "  remove " + key.toString() + "\n";
    for (const RouteName& route : plan.routesGained)
        text += "  route gained: " + route.value() + "\n";
    for (const RouteName& route : plan.routesLost)
        text += "  route lost: " + route.value() + "\n";
    for (const PlanWarning& warning : plan.warnings)
        text += "  warning: " + warning.item.toString() + " " + warning.text + "\n";
    text += "  daemons affected: " + std::to_string(plan.daemonsAffected) + ", about "
        + std::to_string(plan.estimatedControlBytes) + " bytes\n";
    return text;
}

std::string renderOutcome(const ApplyOutcome& outcome)
{
    json::object document { { "plan", outcome.plan.value() }, { "status", statusName(outcome.status) },
        { "revision", outcome.revision.value() }, { "repeated", outcome.repeated } };
    renderResult(outcome.code, outcome.detail, outcome.conflictItems, outcome.conflictCount, &document);
    return json::serialize(document);
}

} // namespace dragonflylane
