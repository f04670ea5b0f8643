#include "bench/DaemonFleet.h"

#include "dragonflylane/ApiClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <functional>
#include <list>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace dragonflylane {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    using namespace std::chrono_literals;

    constexpr size_t dataCentres = 3;
    constexpr Duration pollInterval = 20ms;
    constexpr Duration startLimit = 60s;
    constexpr Duration confirmLimit = 10s;
    constexpr Duration requestTimeout = 2s;

    // Returns the JSON object in the response; empty unless the status is 200.
    json::object ask(const Endpoint& api, const HttpRequest& request, Duration timeout)
    {
        HttpResponse response;
        if (ApiClient::sendTo(api, request, timeout, response) || response.status != 200)
            return {};
        boost::system::error_code error;
        json::value document = json::parse(response.body, error);
        return !error && document.is_object() ? document.as_object() : json::object();
    }

    void awaitTrue(const std::string& description, Duration limit, const std::function<bool()>& condition)
    {
        TimePoint end = BootClock::now() + limit;
        while (!condition()) {
            if (BootClock::now() >= end)
                throw std::runtime_error("timed out waiting for " + description);
            std::this_thread::sleep_for(pollInterval);
        }
    }

    size_t countReady(const json::object& routingTable)
    {
        size_t count = 0;
        const json::value* services = routingTable.if_contains("services");
        if (!services)
            return 0;
        for (const json::value& service : services->as_array()) {
            for (const json::value& upstream : service.as_object().at("upstreams").as_array())
                count += upstream.as_object().at("phase").as_string() == "ready" ? 1 : 0;
        }
        return count;
    }

} // namespace

std::vector<Endpoint> freeEndpoints(size_t count)
{
    asio::io_context context;
    asio::ip::address loopback = asio::ip::make_address("127.0.0.1");
    // All sockets stay open until the last port is found, so that no port is returned twice.
    std::list<asio::ip::tcp::acceptor> tcpSockets;
    std::list<asio::ip::udp::socket> udpSockets;
    std::vector<Endpoint> endpoints;
    while (endpoints.size() < count) {
        tcpSockets.emplace_back(context, asio::ip::tcp::endpoint(loopback, 0), false);
        uint16_t port = tcpSockets.back().local_endpoint().port();
        boost::system::error_code error;
        udpSockets.emplace_back(context, asio::ip::udp::v4());
        udpSockets.back().bind({ loopback, port }, error);
        if (!error)
            endpoints.push_back({ "127.0.0.1", port });
    }
    return endpoints;
}

DaemonFleet::DaemonFleet(ChildProcesses& processes, DaemonFleetOptions options)
    : m_processes(processes)
    , m_options(std::move(options))
{
    constexpr size_t listeners = 3;
    size_t count = m_options.controlHosts + m_options.daemons;
    std::vector<Endpoint> endpoints = freeEndpoints(listeners * count);
    for (size_t i = 0; i < count; ++i) {
        std::string id = (i < m_options.controlHosts ? "control-" : "host-") + std::to_string(i);
        const Endpoint* own = &endpoints[listeners * i];
        m_daemons.push_back({ .id = id, .callers = own[0], .peer = own[1], .api = own[2] });
    }
}

DaemonFleet::~DaemonFleet()
{
    for (const Daemon& daemon : m_daemons)
        m_processes.kill(daemon.pid);
}

void DaemonFleet::start()
{
    for (size_t i = 0; i < size(); ++i) {
        writeSettings(i);
        restart(i);
    }
    for (size_t i = 0; i < size(); ++i)
        awaitReady(i);
}

std::filesystem::path DaemonFleet::file(size_t index, const char* suffix) const
{
    return m_processes.folder() / (m_daemons[index].id + suffix);
}

void DaemonFleet::writeSettings(size_t index) const
{
    const Daemon& daemon = m_daemons[index];
    std::ofstream stream(file(index, ".ini"));
    stream << "[mesh]\nid = experiment\n[host]\nid = " << daemon.id << "\ndata-centre = dc-" << index % dataCentres
           << "\nregion = region-0\n[listen]\ncallers = " << daemon.callers.toString()
           << "\npeer = " << daemon.peer.toString() << "\napi = " << daemon.api.toString() << "\n[control]\nvoters = ";
    for (size_t i = 0; i < m_options.controlHosts; ++i)
        stream << (i == 0 ? "" : ",") << m_daemons[i].id << "=" << m_daemons[i].peer.toString();
    stream << "\ndata-folder = " << daemon.id << ".data\n[log]\nlevel = " << m_options.logLevel << "\n";
    if (!stream.flush())
        throw std::runtime_error(file(index, ".ini").string() + ": cannot be written");
}

void DaemonFleet::awaitReady(size_t index) const
{
    json::object status;
    auto isReady = [&] {
        status = ask(api(index), { .method = "GET", .target = "/v1/status" }, requestTimeout);
        return !status.empty() && status.at("relay").as_object().at("hasFloor").as_bool()
            && status.at("members").to_number<size_t>() == size();
    };
    try {
        awaitTrue("ready daemon " + m_daemons[index].id, startLimit, isReady);
    } catch (const std::runtime_error& error) {
        throw std::runtime_error(std::string(error.what()) + ", status " + json::serialize(status));
    }
}

void DaemonFleet::signal(size_t index, int signal)
{
    m_processes.signal(pid(index), signal);
}

void DaemonFleet::kill(size_t index)
{
    m_processes.kill(pid(index));
}

void DaemonFleet::restart(size_t index)
{
    m_daemons[index].pid
        = m_processes.start({ m_options.program, "--settings", file(index, ".ini").string() }, file(index, ".log"));
}

size_t DaemonFleet::leader() const
{
    size_t found = 0;
    awaitTrue("leader", confirmLimit, [&] {
        for (size_t i = 0; i < m_options.controlHosts; ++i) {
            json::object status = ask(api(i), { .method = "GET", .target = "/v1/status" }, requestTimeout);
            found = i;
            if (!status.empty() && status.at("log").as_object().at("isLeader").as_bool())
                return true;
        }
        return false;
    });
    return found;
}

std::optional<ConfirmResult> DaemonFleet::confirm(size_t index, const std::string& changes, Duration timeout) const
{
    TimePoint begin = BootClock::now();
    json::object plan = ask(
        api(index), { .method = "POST", .target = "/v1/plans", .body = "{\"changes\":" + changes + "}" }, timeout);
    TimePoint proposed = BootClock::now();
    if (!plan.contains("plan"))
        return std::nullopt;
    std::string id(plan.at("plan").as_string());
    json::object outcome = ask(api(index), { .method = "POST", .target = "/v1/plans/" + id + "/confirm" }, timeout);
    TimePoint respondedAt = BootClock::now();
    if (!outcome.contains("revision"))
        return std::nullopt;
    return ConfirmResult { .revision = outcome.at("revision").to_number<uint64_t>(),
        .plan = id,
        .respondedAt = respondedAt,
        .proposeTime = proposed - begin,
        .confirmTime = respondedAt - proposed };
}

ConfirmResult DaemonFleet::confirm(const std::string& changes) const
{
    std::optional<ConfirmResult> result;
    awaitTrue("confirmed plan", confirmLimit, [&] {
        result = confirm(leader(), changes, requestTimeout);
        return result.has_value();
    });
    return *result;
}

void DaemonFleet::addService(const std::string& name, std::chrono::milliseconds timeout) const
{
    json::array split { json::object { { "service", name }, { "weight", 100 } } };
    json::array changes { json::object {
                              { "setService", json::object { { "name", name }, { "timeoutMs", timeout.count() } } } },
        json::object { { "setRoute",
            json::object { { "name", name }, { "pathPrefix", "/" + name }, { "split", std::move(split) } } } },
        json::object { { "allowCall", json::object { { "caller", "client" }, { "callee", name } } } } };
    confirm(json::serialize(changes));
}

void DaemonFleet::awaitUpstreams(size_t index, size_t count) const
{
    awaitTrue("upstreams at " + m_daemons[index].id, startLimit, [&] {
        return countReady(ask(api(index), { .method = "GET", .target = "/v1/routing-table" }, requestTimeout)) == count;
    });
}

double DaemonFleet::counter(size_t index, std::string_view prefix) const
{
    HttpResponse response;
    if (ApiClient::sendTo(api(index), { .method = "GET", .target = "/v1/metrics" }, requestTimeout, response))
        return 0;
    std::istringstream lines(response.body);
    double sum = 0;
    std::string name;
    for (double value = 0; lines >> name >> value;)
        sum += name.starts_with(prefix) ? value : 0;
    return sum;
}

} // namespace dragonflylane
