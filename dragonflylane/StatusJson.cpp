#include "dragonflylane/StatusJson.h"

#include "dragonflylane/ApiTask.h"
#include "dragonflylane/CrashTask.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/LogTask.h"
#include "dragonflylane/MembershipTask.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/OwnerTask.h"
#include "dragonflylane/RelayTask.h"
#include "dragonflylane/RoutingTableTask.h"

#include <algorithm>
#include <boost/json.hpp>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    std::string serialise(const json::value& value)
    {
        return json::serialize(value) + "\n";
    }

    int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    json::object describeLog(const LogTask& log)
    {
        const LogReplica& replica = log.replica();
        json::array voters;
        for (const LogMember& member : replica.membership().voters)
            voters.emplace_back(member.host.value());
        json::array learners;
        for (const LogMember& member : replica.membership().learners)
            learners.emplace_back(member.host.value());
        return { { "leader", replica.leader().host.value() }, { "term", replica.term().value() },
            { "replica", replica.replicaId().value() }, { "isLeader", replica.role() == LogRole::Leader },
            { "isCurrent", log.isCurrent(BootClock::now()) }, { "commitIndex", replica.commitIndex().value() },
            { "lastIndex", replica.lastIndex().value() }, { "voters", std::move(voters) },
            { "learners", std::move(learners) } };
    }

    json::object describeRelay(const RelayTask& task)
    {
        const Relay& relay = task.relay();
        json::object object { { "hasFloor", relay.isProvenCurrent() }, { "level", relay.parent() ? "child" : "root" },
            { "parent", relay.parent() ? relay.parent()->value() : "" }, { "children", relay.childCount() },
            { "term", relay.term().value() } };
        if (auto proven = relay.provenAt())
            object["proofAgeMs"] = milliseconds(BootClock::now() - *proven);
        return object;
    }

    json::object describeUpstream(const UpstreamEntry& upstream)
    {
        return { { "id", upstream.id.value() }, { "owner", upstream.owner.value() },
            { "dataCentre", upstream.dataCentre.value() }, { "phase", std::string(name(upstream.phase)) },
            { "slots", upstream.slots }, { "incarnation", upstream.incarnation.value() } };
    }

    json::array describeQuarantine(const CrashTask& crash)
    {
        json::array entries;
        for (const CrashEntry& entry : crash.list()) {
            json::array deaths;
            for (const CrashDeath& death : entry.deaths)
                deaths.emplace_back(death.upstream.value() + "." + std::to_string(death.incarnation.value()));
            entries.emplace_back(json::object { { "fingerprint", std::to_string(entry.fingerprint.value()) },
                { "state", entry.state == CrashState::Quarantined ? "quarantined" : "suspect" },
                { "deaths", std::move(deaths) } });
        }
        return entries;
    }

    json::object describeOwner(const OwnerTask& owner)
    {
        if (!owner.upstream())
            return {};
        LoadReport load = owner.load();
        return { { "id", owner.upstream()->id.value() }, { "service", owner.upstream()->service.value() },
            { "incarnation", owner.incarnation().value() }, { "draining", owner.isDraining() },
            { "running", load.running }, { "queued", load.queued }, { "limit", load.limit } };
    }

    // Tenants that are counted by name. A daemon may have thousands of others.
    json::array describeTenants(const RoutingTable& routingTable, const TenantCounters& counters)
    {
        json::array tenants;
        for (const TenantEntry& tenant : routingTable.tenants()) {
            auto counted = counters.named().find(tenant.name);
            if (counted == counters.named().end())
                continue;
            const TenantCounts& counts = counted->second;
            tenants.emplace_back(json::object { { "name", tenant.name.value() }, { "priority", tenant.priority },
                { "ratePerSecond", tenant.ratePerSecond }, { "burst", tenant.burst }, { "asked", counts.asked() },
                { "served", counts.served }, { "refused", counts.refused },
                { "overAllotment", counts.overAllotment } });
        }
        return tenants;
    }

    json::array describeServices(const RoutingTable& routingTable)
    {
        json::array services;
        for (ServiceIndex i = 0; i < routingTable.serviceCount(); ++i) {
            const ServiceEntry& service = routingTable.service(i);
            json::array upstreams;
            for (const UpstreamEntry& upstream : service.upstreams)
                upstreams.emplace_back(describeUpstream(upstream));
            services.emplace_back(
                json::object { { "name", service.name.value() }, { "upstreams", std::move(upstreams) } });
        }
        return services;
    }

    json::array describeRoutes(const RoutingTable& routingTable)
    {
        json::array routes;
        for (const RouteEntry& route : routingTable.routes()) {
            json::array split;
            for (const SplitEntry& part : route.split) {
                split.emplace_back(json::object {
                    { "service", routingTable.service(part.service).name.value() }, { "weight", part.weight } });
            }
            routes.emplace_back(json::object {
                { "name", route.name.value() }, { "pathPrefix", route.pathPrefix }, { "split", std::move(split) } });
        }
        return routes;
    }

    json::array describeDrains(const RoutingTable& routingTable)
    {
        json::array drains;
        for (ServiceIndex i = 0; i < routingTable.serviceCount(); ++i) {
            for (const UpstreamEntry& upstream : routingTable.service(i).upstreams) {
                if (upstream.phase == UpstreamPhase::Draining)
                    drains.emplace_back(upstream.id.value());
            }
        }
        return drains;
    }

} // namespace

std::string renderStatus(const ApiParts& parts)
{
    const ConfigState& state = parts.relay.state();
    json::object status { { "host", parts.settings.hostId.value() },
        { "dataCentre", parts.settings.dataCentre.value() }, { "revision", state.revision().value() },
        { "digest", state.digest().toString() }, { "members", parts.membership.view().presentCount() },
        { "relay", describeRelay(parts.relay) }, { "drains", describeDrains(*parts.routing.routingTable()) },
        { "quarantine", describeQuarantine(parts.crash) } };
    if (parts.owner.upstream())
        status["upstream"] = describeOwner(parts.owner);
    if (parts.log) {
        status["log"] = describeLog(*parts.log);
        status["acks"] = json::parse(renderAcks(parts.relay.relay().acks()));
    }
    const RoutingTable& routingTable = *parts.routing.routingTable();
    status["requiresApiKeys"] = routingTable.policy().requiresApiKeys;
    status["tenantCount"] = routingTable.tenants().size();
    status["tenants"] = describeTenants(routingTable, parts.metrics.tenants());
    json::array conflicts;
    for (const UpstreamConflict& conflict : parts.routing.conflicts()) {
        conflicts.emplace_back(json::object { { "upstream", conflict.id.value() }, { "used", conflict.used.value() },
            { "ignored", conflict.ignored.value() } });
    }
    status["upstreamConflicts"] = std::move(conflicts);
    return serialise(status);
}

std::string renderMembers(const ApiParts& parts)
{
    json::array members;
    for (const auto& [host, record] : parts.membership.view().members()) {
        json::object member { { "host", host.value() }, { "address", record.address.toString() },
            { "dataCentre", record.dataCentre.value() }, { "state", std::string(name(record.state)) },
            { "incarnation", record.incarnation.value() }, { "control", record.controlRole != ControlRole::None } };
        if (record.upstream) {
            member["upstream"] = record.upstream->id.value();
            member["phase"] = std::string(name(record.upstream->phase));
        }
        members.emplace_back(std::move(member));
    }
    return serialise(json::object { { "members", std::move(members) } });
}

std::string renderRoutingTable(const ApiParts& parts)
{
    const RoutingTable& routingTable = *parts.routing.routingTable();
    return serialise(
        json::object { { "host", parts.settings.hostId.value() }, { "revision", routingTable.revision().value() },
            { "digest", routingTable.digest().toString() }, { "keeperEpoch", routingTable.keepers().epoch.value() },
            { "services", describeServices(routingTable) }, { "routes", describeRoutes(routingTable) } });
}

std::string renderAcks(const AckSummary& acks)
{
    json::array stragglers;
    for (const Straggler& straggler : acks.stragglers) {
        stragglers.emplace_back(
            json::object { { "host", straggler.host.value() }, { "held", straggler.held.value() } });
    }
    json::array refusals;
    for (const RevisionRefusal& refusal : acks.refusals) {
        refusals.emplace_back(json::object { { "host", refusal.host.value() }, { "revision", refusal.revision.value() },
            { "code", static_cast<unsigned>(refusal.code) } });
    }
    return serialise(json::object { { "lowest", acks.lowest.value() }, { "count", acks.count },
        { "late", std::move(stragglers) }, { "refusals", std::move(refusals) } });
}

std::string renderConvergence(Revision revision, const std::map<HostId, HttpResponse>& acks, size_t present)
{
    uint64_t lowest = UINT64_MAX;
    uint64_t count = 0;
    json::array late;
    json::array refusals;
    for (const auto& [host, response] : acks) {
        boost::system::error_code error;
        json::value document = json::parse(response.body, error);
        if (error || !document.is_object())
            continue;
        const json::object& summary = document.as_object();
        lowest = std::min(lowest, summary.at("lowest").to_number<uint64_t>());
        count += summary.at("count").to_number<uint64_t>();
        for (const json::value& item : summary.at("late").as_array())
            late.push_back(item);
        for (const json::value& item : summary.at("refusals").as_array())
            refusals.push_back(item);
    }
    lowest = count == 0 ? 0 : lowest;
    bool isConverged = lowest >= revision.value() && count >= present;
    return serialise(json::object { { "revision", revision.value() }, { "converged", isConverged },
        { "lowest", lowest }, { "acknowledged", count }, { "present", present }, { "late", std::move(late) },
        { "refusals", std::move(refusals) } });
}

std::string renderJournal(const std::vector<JournalEntry>& entries)
{
    json::array list;
    for (const JournalEntry& entry : entries) {
        json::array subjects;
        for (const std::string& subject : entry.subjects)
            subjects.emplace_back(subject);
        json::object object { { "timeMs", entry.wallMilliseconds }, { "number", entry.number }, { "host", entry.host },
            { "event", entry.event }, { "subjects", std::move(subjects) }, { "cause", entry.cause },
            { "detail", entry.detail } };
        if (entry.code != ResultCode::Ok) {
            object["code"] = static_cast<unsigned>(entry.code);
            object["codeName"] = std::string(name(entry.code));
        }
        list.emplace_back(std::move(object));
    }
    return serialise(json::object { { "entries", std::move(list) } });
}

std::string mergeJournals(const std::map<HostId, HttpResponse>& journals)
{
    std::vector<json::value> entries;
    for (const auto& [host, response] : journals) {
        boost::system::error_code error;
        json::value document = json::parse(response.body, error);
        if (error || !document.is_object() || !document.as_object().contains("entries"))
            continue;
        for (json::value& entry : document.as_object().at("entries").as_array())
            entries.push_back(std::move(entry));
    }
    auto key = [](const json::value& entry) {
        const json::object& object = entry.as_object();
        return std::pair(object.at("timeMs").to_number<int64_t>(), object.at("number").to_number<uint64_t>());
    };
    std::stable_sort(
        entries.begin(), entries.end(), [&](const json::value& a, const json::value& b) { return key(a) < key(b); });
    json::array list;
    for (json::value& entry : entries)
        list.push_back(std::move(entry));
    return serialise(json::object { { "entries", std::move(list) } });
}

} // namespace dragonflylane
