#include "dragonflylane/CommandOutput.h"

#include <boost/json.hpp>
#include <ctime>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    std::string text(const json::value& value)
    {
        return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
    }

    // Value of a field as text; empty if the document is not an object or has no such field.
    std::string field(const json::value& document, std::string_view key)
    {
        const json::object* object = document.if_object();
        const json::value* value = object ? object->if_contains(key) : nullptr;
        return value ? text(*value) : std::string();
    }

    const json::array& list(const json::value& document, std::string_view key)
    {
        static const json::array empty;
        const json::object* object = document.if_object();
        const json::value* value = object ? object->if_contains(key) : nullptr;
        return value && value->is_array() ? value->as_array() : empty;
    }

    const json::value& child(const json::value& document, std::string_view key)
    {
        static const json::value empty;
        const json::object* object = document.if_object();
        const json::value* value = object ? object->if_contains(key) : nullptr;
        return value ? *value : empty;
    }

    std::string join(const json::array& values)
    {
        std::string joined;
        for (const json::value& value : values)
            joined += (joined.empty() ? "" : ", ") + text(value);
        return joined.empty() ? "none" : joined;
    }

    std::string pad(std::string value, size_t width)
    {
        value.resize(std::max(value.size(), width), ' ');
        return value + " ";
    }

    std::string itemNames(const json::array& keys)
    {
        std::string joined;
        for (const json::value& key : keys)
            joined += (joined.empty() ? "" : ", ") + field(key, "kind") + " " + field(key, "name");
        return joined.empty() ? "none" : joined;
    }

    std::string wallTime(int64_t milliseconds)
    {
        std::time_t seconds = milliseconds / 1000;
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        char buffer[32];
        std::strftime(buffer, sizeof(buffer), "%H:%M:%S", &parts);
        char fraction[8];
        std::snprintf(fraction, sizeof(fraction), ".%03d", static_cast<int>(milliseconds % 1000));
        return std::string(buffer) + fraction;
    }

    std::string quorumLine(const json::value& log)
    {
        return "quorum       leader " + field(log, "leader") + ", term " + field(log, "term") + ", voters "
            + join(list(log, "voters")) + ", learners " + join(list(log, "learners")) + ", "
            + (field(log, "isCurrent") == "true" ? "current" : "NOT CURRENT") + "\n";
    }

    std::string tenantLines(const json::value& status)
    {
        std::string count = field(status, "tenantCount");
        if (count.empty() || count == "0")
            return {};
        bool requiresKeys = field(status, "requiresApiKeys") == "true";
        std::string lines
            = "tenants      " + count + (requiresKeys ? ", API keys required\n" : ", no API keys required\n");
        for (const json::value& tenant : list(status, "tenants"))
            lines += "tenant       " + field(tenant, "name") + " asked " + field(tenant, "asked") + ", served "
                + field(tenant, "served") + ", refused " + field(tenant, "refused") + ", over allotment "
                + field(tenant, "overAllotment") + "\n";
        return lines;
    }

    std::string quarantineLines(const json::array& entries)
    {
        std::string lines;
        for (const json::value& entry : entries) {
            lines += "quarantine   " + field(entry, "fingerprint") + " " + field(entry, "state") + ", deaths "
                + join(list(entry, "deaths")) + "\n";
        }
        return lines.empty() ? "quarantine   none\n" : lines;
    }

} // namespace

std::string renderPretty(const json::value& document)
{
    const json::object* object = document.if_object();
    if (!object)
        return json::serialize(document) + "\n";
    std::string lines;
    for (const auto& [key, value] : *object)
        lines += std::string(key) + ": " + text(value) + "\n";
    return lines;
}

std::string renderError(const json::value& document)
{
    const json::value& error = child(document, "error");
    if (!error.is_object())
        return renderPretty(document);
    std::string detail = field(error, "detail");
    return "refused: " + field(error, "message") + (detail.empty() ? "" : " " + detail) + " (" + field(error, "code")
        + " " + field(error, "name") + ")\n";
}

std::string renderPlanText(const json::value& plan)
{
    std::string lines = "plan         " + field(plan, "plan") + "\n";
    lines += "base         " + field(plan, "base") + ", becomes revision " + field(plan, "revision") + "\n";
    lines += "added        " + itemNames(list(plan, "added")) + "\n";
    lines += "changed      " + itemNames(list(plan, "changed")) + "\n";
    lines += "removed      " + itemNames(list(plan, "removed")) + "\n";
    lines += "routes       gained " + join(list(plan, "routesGained")) + ", lost " + join(list(plan, "routesLost"))
        + "\n";
    for (const json::value& warning : list(plan, "warnings"))
        lines += "warning      " + field(warning, "kind") + " " + field(warning, "name") + " " + field(warning, "text")
            + "\n";
    lines += "affects      " + field(plan, "daemonsAffected") + " daemons, about "
        + field(plan, "estimatedControlBytes") + " control bytes\n";
    return lines + "Nothing is applied until: dragonflylane confirm " + field(plan, "plan") + "\n";
}

std::string renderConfirmation(const json::value& outcome)
{
    std::string lines = "plan " + field(outcome, "plan") + " " + field(outcome, "status") + ", revision "
        + field(outcome, "revision") + (field(outcome, "repeated") == "true" ? " (first answer repeated)" : "") + "\n";
    if (!list(outcome, "changedSinceBase").empty())
        lines += "changed since its base: " + itemNames(list(outcome, "changedSinceBase")) + "\n";
    return lines;
}

std::string renderPlanRecordText(const json::value& record)
{
    std::string lines = pad(field(record, "plan"), 16) + pad(field(record, "status"), 10) + "base "
        + pad(field(record, "base"), 5) + "revision " + pad(field(record, "revision"), 5) + "by "
        + field(record, "proposedBy");
    std::string confirmedBy = field(record, "confirmedBy");
    return lines + (confirmedBy.empty() ? "" : ", confirmed by " + confirmedBy) + "\n";
}

std::string renderHistory(const json::value& document)
{
    std::string lines;
    for (const json::value& record : list(document, "plans"))
        lines += renderPlanRecordText(record);
    return lines.empty() ? "no plans\n" : lines;
}

std::string renderStatusText(const json::value& status)
{
    std::string lines = "host         " + field(status, "host") + " in " + field(status, "dataCentre") + "\n";
    lines += "revision     " + field(status, "revision") + " digest " + field(status, "digest") + "\n";
    if (child(status, "log").is_object())
        lines += quorumLine(child(status, "log"));
    const json::value& relay = child(status, "relay");
    lines += "relay        parent " + (field(relay, "parent").empty() ? "none" : field(relay, "parent")) + ", children "
        + field(relay, "children") + ", " + (field(relay, "hasFloor") == "true" ? "proved" : "NOT PROVED")
        + ", proof age " + field(relay, "proofAgeMs") + " ms\n";
    const json::value& acks = child(status, "acks");
    if (acks.is_object()) {
        lines += "convergence  lowest revision " + field(acks, "lowest") + " of " + field(acks, "count")
            + " daemons below this host\n";
        for (const json::value& late : list(acks, "late"))
            lines += "late         " + field(late, "host") + " holds " + field(late, "held") + "\n";
    }
    lines += "members      " + field(status, "members") + "\n";
    lines += "drains       " + join(list(status, "drains")) + "\n";
    lines += tenantLines(status);
    return lines + quarantineLines(list(status, "quarantine"));
}

std::string renderConvergenceText(const json::value& document)
{
    std::string lines = "revision " + field(document, "revision") + ": "
        + (field(document, "converged") == "true" ? "in force everywhere" : "not yet everywhere") + ", lowest held "
        + field(document, "lowest") + ", " + field(document, "acknowledged") + " of " + field(document, "present")
        + " daemons\n";
    for (const json::value& late : list(document, "late"))
        lines += "late: " + field(late, "host") + " holds " + field(late, "held") + "\n";
    for (const json::value& refusal : list(document, "refusals"))
        lines += "refused: " + field(refusal, "host") + " code " + field(refusal, "code") + "\n";
    return lines;
}

std::string renderRoutingTableText(const json::value& routingTable)
{
    std::string lines = "revision " + field(routingTable, "revision") + " at " + field(routingTable, "host") + "\n";
    for (const json::value& route : list(routingTable, "routes")) {
        lines += "route " + pad(field(route, "name"), 16) + pad(field(route, "pathPrefix"), 20) + "->";
        for (const json::value& part : list(route, "split"))
            lines += " " + field(part, "service") + ":" + field(part, "weight");
        lines += "\n";
    }
    for (const json::value& service : list(routingTable, "services")) {
        lines += "service " + field(service, "name") + "\n";
        for (const json::value& upstream : list(service, "upstreams")) {
            lines += "  " + pad(field(upstream, "id"), 20) + pad(field(upstream, "phase"), 9)
                + pad(field(upstream, "dataCentre"), 14) + "owner " + field(upstream, "owner") + "\n";
        }
    }
    return lines;
}

std::string renderMembersText(const json::value& document)
{
    std::string lines;
    for (const json::value& member : list(document, "members")) {
        lines += pad(field(member, "host"), 20) + pad(field(member, "state"), 8) + pad(field(member, "dataCentre"), 14)
            + pad(field(member, "address"), 22) + (field(member, "control") == "true" ? "control " : "")
            + field(member, "upstream") + " " + field(member, "phase") + "\n";
    }
    return lines;
}

std::string renderExplanation(const json::value& document)
{
    std::string lines;
    for (const json::value& entry : list(document, "entries")) {
        lines += wallTime(child(entry, "timeMs").to_number<int64_t>()) + " " + pad(field(entry, "host"), 16)
            + pad(field(entry, "event"), 22) + join(list(entry, "subjects"));
        std::string code = field(entry, "codeName");
        if (!code.empty())
            lines += " code=" + field(entry, "code") + " " + code;
        lines += " cause=" + field(entry, "cause");
        if (!field(entry, "detail").empty())
            lines += " (" + field(entry, "detail") + ")";
        lines += "\n";
    }
    return lines.empty() ? "nothing is known about this id; journals keep the last 4096 decisions of each daemon\n"
                         : lines;
}

} // namespace dragonflylane
