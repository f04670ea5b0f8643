#include "bench/DemoMesh.h"

#include "dragonflylane/ApiClient.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace dragonflylane {

namespace json = boost::json;
namespace fs = std::filesystem;

namespace {

    constexpr std::chrono::milliseconds pollInterval { 10 };
    constexpr std::chrono::milliseconds readTimeout { 1000 };
    // Longer than an election, because the API may wait for one before it responds.
    constexpr std::chrono::seconds writeTimeout { 15 };

    std::string readText(const std::string& path)
    {
        std::ifstream stream(path);
        std::stringstream text;
        text << stream.rdbuf();
        return text.str();
    }

    std::string text(const json::value& document, const char* key)
    {
        const json::object* object = document.if_object();
        const json::value* value = object ? object->if_contains(key) : nullptr;
        return value && value->is_string() ? std::string(value->as_string()) : std::string();
    }

    int64_t number(const json::value& document, const char* key)
    {
        const json::object* object = document.if_object();
        const json::value* value = object ? object->if_contains(key) : nullptr;
        return value && value->is_int64() ? value->as_int64() : 0;
    }

    json::value parse(const std::string& body)
    {
        boost::system::error_code error;
        json::value document = json::parse(body, error);
        return error ? json::value() : document;
    }

} // namespace

DemoMesh::DemoMesh(DemoMeshOptions options, ProcessGroup& processes)
    : m_options(std::move(options))
    , m_processes(processes)
{
}

std::string DemoMesh::prepare()
{
    std::error_code error;
    fs::copy(m_options.source, m_options.work, fs::copy_options::recursive, error);
    if (error)
        return m_options.source + ": " + error.message();
    for (const auto& entry : fs::directory_iterator(m_options.work)) {
        if (entry.path().extension() != ".ini")
            continue;
        DemoDaemon daemon { .name = entry.path().stem().string(), .settingsFile = entry.path().string() };
        SettingsError problem = readSettings(daemon.settingsFile, daemon.settings);
        if (problem.code != ResultCode::Ok)
            return problem.text;
        if (daemon.settings.isControl())
            fs::create_directories(daemon.settings.dataFolder);
        m_daemons.push_back(std::move(daemon));
    }
    std::sort(m_daemons.begin(), m_daemons.end(), [](const auto& a, const auto& b) { return a.name < b.name; });
    json::value document = parse(readText(m_options.work + "/upstreams.json"));
    if (!document.is_object())
        return "upstreams.json is not valid";
    for (const json::value& entry : document.as_object().at("upstreams").as_array()) {
        m_upstreams.push_back({ .id = text(entry, "id"),
            .service = text(entry, "service"),
            .host = text(entry, "host"),
            .address = Endpoint::parse(text(entry, "address")).value_or(Endpoint()),
            .slots = number(entry, "slots"),
            .serviceMilliseconds = number(entry, "serviceMs") });
    }
    std::istringstream operators(readText(m_options.work + "/operators"));
    for (std::string line; std::getline(operators, line);) {
        if (!line.empty() && line.front() != '#')
            m_token = line.substr(line.find(' ') + 1);
    }
    return {};
}

std::string DemoMesh::startDaemon(const std::string& name)
{
    const DemoDaemon* daemon = find(name);
    auto error = m_processes.start({ .name = name,
        .program = m_options.programs + "/dragonflylaned",
        .arguments = { "--settings", daemon->settingsFile },
        .logFile = m_options.work + "/" + name + ".log" });
    return error ? name + ": " + error.message() : std::string();
}

std::string DemoMesh::startAll()
{
    for (const DemoDaemon& daemon : m_daemons) {
        if (auto problem = startDaemon(daemon.name); !problem.empty())
            return problem;
    }
    uint64_t seed = 0;
    for (const DemoUpstream& upstream : m_upstreams) {
        const DemoDaemon* daemon = find(upstream.host);
        if (!daemon)
            return upstream.id + ": no daemon " + upstream.host;
        auto error = m_processes.start({ .name = upstream.id,
            .program = m_options.programs + "/UpstreamStandIn",
            .arguments = { "--listen", upstream.address.toString(), "--daemon", daemon->settings.api.toString(), "--id",
                upstream.id, "--service", upstream.service, "--slots", std::to_string(upstream.slots), "--service-ms",
                std::to_string(upstream.serviceMilliseconds), "--seed", std::to_string(++seed), "--ledger",
                ledgerFile(upstream), "--announced", announcedAddress(upstream).toString() },
            .logFile = m_options.work + "/" + upstream.id + ".log" });
        if (error)
            return upstream.id + ": " + error.message();
    }
    return {};
}

std::string DemoMesh::findEnded()
{
    for (const DemoDaemon& daemon : m_daemons) {
        if (!m_processes.isRunning(daemon.name))
            return daemon.name;
    }
    for (const DemoUpstream& upstream : m_upstreams) {
        if (!m_processes.isRunning(upstream.id))
            return upstream.id;
    }
    return {};
}

const DemoDaemon* DemoMesh::find(const std::string& name) const
{
    for (const DemoDaemon& daemon : m_daemons) {
        if (daemon.name == name)
            return &daemon;
    }
    return nullptr;
}

std::vector<const DemoDaemon*> DemoMesh::controlHosts() const
{
    std::vector<const DemoDaemon*> hosts;
    for (const DemoDaemon& daemon : m_daemons) {
        if (daemon.settings.isControl())
            hosts.push_back(&daemon);
    }
    return hosts;
}

std::string DemoMesh::getText(const DemoDaemon& daemon, const std::string& target) const
{
    HttpRequest request { .method = "GET", .target = target };
    request.headers = { { "Authorization", "Bearer " + m_token } };
    HttpResponse response;
    if (ApiClient::sendTo(daemon.settings.api, request, readTimeout, response))
        return {};
    return response.body;
}

json::value DemoMesh::get(const DemoDaemon& daemon, const std::string& target) const
{
    std::string body = getText(daemon, target);
    return body.empty() ? json::value() : parse(body);
}

std::string DemoMesh::leader() const
{
    for (const DemoDaemon* daemon : controlHosts()) {
        json::value status = get(*daemon, "/v1/status");
        const json::object* object = status.if_object();
        const json::value* log = object ? object->if_contains("log") : nullptr;
        const json::object* details = log ? log->if_object() : nullptr;
        const json::value* isLeader = details ? details->if_contains("isLeader") : nullptr;
        if (isLeader && isLeader->is_bool() && isLeader->as_bool())
            return daemon->name;
    }
    return {};
}

bool DemoMesh::waitForLeader(Duration limit) const
{
    TimePoint end = BootClock::now() + limit;
    while (BootClock::now() < end) {
        auto isAnswering = [this](const DemoDaemon& daemon) { return get(daemon, "/v1/status").is_object(); };
        if (std::all_of(m_daemons.begin(), m_daemons.end(), isAnswering) && !leader().empty())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

Endpoint DemoMesh::announcedAddress(const DemoUpstream& upstream) const
{
    Endpoint address = upstream.address;
    address.port = static_cast<uint16_t>(address.port + m_options.announcedPortOffset);
    return address;
}

std::map<std::string, size_t> DemoMesh::readLedgers() const
{
    std::map<std::string, size_t> executions;
    for (const DemoUpstream& upstream : m_upstreams) {
        std::ifstream stream(ledgerFile(upstream));
        std::string key;
        for (std::string target; stream >> key >> target;)
            ++executions[target];
    }
    return executions;
}

std::string DemoMesh::initialPlan() const
{
    return readText(m_options.work + "/plan.json");
}

std::optional<json::value> DemoMesh::post(const std::string& target, const std::string& body) const
{
    HttpRequest request { .method = "POST", .target = target, .body = body };
    request.headers = { { "Authorization", "Bearer " + m_token } };
    for (const DemoDaemon* daemon : controlHosts()) {
        HttpResponse response;
        if (!ApiClient::sendTo(daemon->settings.api, request, writeTimeout, response))
            return parse(response.body);
    }
    return std::nullopt;
}

std::string DemoMesh::plan(const std::string& changes, std::string& detail) const
{
    auto document = post("/v1/plans", changes);
    detail = document ? json::serialize(*document) : "no control host responded";
    return document ? text(*document, "plan") : std::string();
}

DemoChange DemoMesh::confirm(const std::string& planId, Duration limit) const
{
    DemoChange change { .confirmSent = BootClock::now() };
    TimePoint end = change.confirmSent + limit;
    auto document = post("/v1/plans/" + planId + "/confirm", "");
    change.detail = document ? json::serialize(*document) : "no control host responded";
    change.isConfirmed = document && text(*document, "status") == "confirmed";
    if (!change.isConfirmed)
        return change;
    change.revision = static_cast<uint64_t>(number(*document, "revision"));
    waitForConvergence(change, end);
    return change;
}

bool DemoMesh::isReportedConverged(DemoChange& change) const
{
    for (const DemoDaemon* daemon : controlHosts()) {
        json::value document = get(*daemon, "/v1/revisions/" + std::to_string(change.revision));
        const json::object* object = document.if_object();
        const json::value* isConverged = object ? object->if_contains("converged") : nullptr;
        if (!isConverged || !isConverged->is_bool())
            continue;
        change.detail = json::serialize(document);
        return isConverged->as_bool();
    }
    return false;
}

// Counts daemons with an older routing table; those that do not respond are not counted.
size_t DemoMesh::countOutdated(uint64_t revision) const
{
    return static_cast<size_t>(std::count_if(m_daemons.begin(), m_daemons.end(), [&](const DemoDaemon& daemon) {
        json::value routingTable = get(daemon, "/v1/routing-table");
        return routingTable.is_object() && static_cast<uint64_t>(number(routingTable, "revision")) < revision;
    }));
}

void DemoMesh::waitForConvergence(DemoChange& change, TimePoint end) const
{
    while (BootClock::now() < end && !(change.isConverged && change.isLiveConverged)) {
        if (!change.isConverged && isReportedConverged(change)) {
            change.isConverged = true;
            change.convergence = BootClock::now() - change.confirmSent;
            change.staleAfterConvergence = countOutdated(change.revision);
        }
        if (!change.isLiveConverged && countOutdated(change.revision) == 0) {
            change.isLiveConverged = true;
            change.liveConvergence = BootClock::now() - change.confirmSent;
        }
        if (!change.isConverged)
            std::this_thread::sleep_for(pollInterval);
    }
}

DemoChange DemoMesh::apply(const std::string& changes, Duration limit) const
{
    DemoChange change;
    size_t conflicts = 0;
    TimePoint end = BootClock::now() + limit;
    while (BootClock::now() < end) {
        std::string id = plan(changes, change.detail);
        if (!id.empty()) {
            change = confirm(id, limit);
            change.conflicts = conflicts;
            if (change.isConfirmed)
                return change;
            ++conflicts;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return change;
}

} // namespace dragonflylane
