// Runs a complete deployment on loopback under traffic and faults, and checks the invariants I1 to I9 of
// docs/design.md. Usage: Demo [--deployment readers-circle|biltong]. The exit status is 0 only if no check failed.

#include "bench/DemoMesh.h"
#include "bench/DemoObserver.h"
#include "bench/DemoReport.h"
#include "bench/DemoTraffic.h"
#include "bench/PlainClient.h"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace dragonflylane;

namespace {

constexpr std::chrono::seconds changeLimit { 20 };
constexpr std::chrono::seconds drainLimit { 2 };
constexpr std::chrono::seconds steadyTime { 4 };

struct DemoOptions {
    std::string source;
    std::string programs;
    std::string work;
    std::vector<std::string> lookups;
    std::vector<std::string> orders;
    uint64_t seed { 0 };
};

// The steps of the demo in the order of their execution.
class Demo {
public:
    explicit Demo(const DemoOptions& options)
        : m_options(options)
        , m_mesh({ .source = options.source, .programs = options.programs, .work = options.work }, m_processes)
        , m_observer(m_mesh)
        , m_traffic(m_mesh, { .seed = options.seed, .lookups = options.lookups, .orders = options.orders })
    {
    }

    int run()
    {
        if (!startMesh() || !configure())
            return fail("the mesh did not start");
        measureLatency();
        m_trafficStart = BootClock::now();
        m_traffic.start();
        measureSteadyState();
        drainUpstream();
        restartGracefully();
        killLeaderAndDaemon();
        undrainUpstream();
        restartKilledHosts();
        m_traffic.stop();
        m_observer.stop();
        m_report.section("Traffic and invariants");
        reportTraffic();
        reportInvariants();
        m_processes.terminateAll(std::chrono::seconds(10));
        std::printf("\n%s\n", m_report.isPassed() ? "passed" : "FAILED");
        return m_report.isPassed() ? 0 : 1;
    }

private:
    static int fail(const std::string& text)
    {
        std::printf("FAILED: %s\n", text.c_str());
        return 1;
    }

    bool startMesh()
    {
        std::string problem = m_mesh.prepare();
        if (problem.empty())
            problem = m_mesh.startAll();
        if (!problem.empty()) {
            std::printf("%s\n", problem.c_str());
            return false;
        }
        m_observer.start();
        TimePoint began = BootClock::now();
        constexpr std::chrono::seconds startLimit { 30 };
        if (!m_mesh.waitForLeader(startLimit) || !waitForMembers(startLimit))
            return false;
        // The ports are fixed. If another demo is running, the new daemons exit because their ports are in use, and the
        // requests of this demo would change the other mesh.
        if (std::string ended = m_mesh.findEnded(); !ended.empty()) {
            std::printf("%s has exited; its log is in %s\n", ended.c_str(), m_options.work.c_str());
            return false;
        }
        m_report.section("Changes");
        auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - began).count();
        m_report.line("daemons, upstreams, start of the mesh",
            std::to_string(m_mesh.daemons().size()) + ", " + std::to_string(m_mesh.upstreams().size()) + ", "
                + std::to_string(elapsed) + " ms");
        return true;
    }

    // Waits until every daemon lists all upstreams as ready.
    bool waitForMembers(Duration limit) const
    {
        TimePoint end = BootClock::now() + limit;
        while (BootClock::now() < end) {
            bool isComplete = std::all_of(m_mesh.daemons().begin(), m_mesh.daemons().end(), [this](const auto& daemon) {
                std::string members = m_mesh.getText(daemon, "/v1/members");
                size_t ready = 0;
                for (size_t at = members.find("\"ready\""); at != std::string::npos;
                     at = members.find("\"ready\"", at + 1))
                    ++ready;
                return ready == m_mesh.upstreams().size();
            });
            if (isComplete)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }

    bool configure()
    {
        std::string detail;
        std::string id = m_mesh.plan(m_mesh.initialPlan(), detail);
        if (id.empty()) {
            std::printf("plan rejected: %s\n", detail.c_str());
            return false;
        }
        m_report.mustBeZero("I9", "daemons that apply a plan before its confirmation", countRoutingDaemons());
        DemoChange change = m_mesh.confirm(id, changeLimit);
        if (!change.isConfirmed)
            change = m_mesh.apply(m_mesh.initialPlan(), changeLimit);
        m_report.addChange("initial configuration", change);
        return change.isConfirmed && change.isConverged;
    }

    size_t countRoutingDaemons() const
    {
        constexpr const char* noRoute = "101";
        constexpr const char* notCurrent = "109";
        size_t count = 0;
        for (const DemoDaemon& daemon : m_mesh.daemons()) {
            DemoRecord record = sendDemoRequest(daemon, "GET", m_options.lookups.front() + "/0", "", changeLimit);
            count += record.code == noRoute || record.code == notCurrent ? 0 : 1;
        }
        return count;
    }

    // Alternates between both paths, so that other load on the machine affects both equally.
    void measureLatency()
    {
        constexpr size_t pairs = 1000;
        const DemoUpstream& upstream = m_mesh.upstreams().front();
        const DemoDaemon& daemon = *m_mesh.find(upstream.host);
        HttpRequest request { .method = "GET", .target = "/" + upstream.service + "/immediate" };
        std::vector<Duration> direct;
        std::vector<Duration> throughMesh;
        for (size_t i = 0; i < pairs; ++i) {
            direct.push_back(timeRequest(upstream.address, request));
            throughMesh.push_back(timeRequest(daemon.settings.callers, request));
        }
        m_report.addLatency(direct, throughMesh);
    }

    static Duration timeRequest(const Endpoint& server, const HttpRequest& request)
    {
        constexpr std::chrono::seconds timeout { 2 };
        HttpResponse response;
        TimePoint began = BootClock::now();
        sendPlainRequest(server, request, timeout, response);
        return BootClock::now() - began;
    }

    void measureSteadyState()
    {
        ControlSample first = sampleControlBytes(m_mesh);
        std::this_thread::sleep_for(steadyTime);
        m_report.addControlBytes("steady", m_mesh, first, sampleControlBytes(m_mesh));
    }

    void drainUpstream()
    {
        ControlSample first = sampleControlBytes(m_mesh);
        m_drained = m_mesh.upstreams()[1].id;
        DemoChange change = m_mesh.apply(R"({"changes": [{"drainUpstream": ")" + m_drained + R"("}]})", changeLimit);
        m_report.addChange("drain of " + m_drained + " under load", change);
        m_drainConfirmed = change.confirmSent;
        std::this_thread::sleep_for(steadyTime);
        m_report.addControlBytes("drain", m_mesh, first, sampleControlBytes(m_mesh));
    }

    // Returns an upstream that serves orders. Its daemon has orders in flight when it is stopped.
    const DemoUpstream& orderUpstream(size_t index) const
    {
        std::vector<const DemoUpstream*> found;
        for (const DemoUpstream& upstream : m_mesh.upstreams()) {
            if ("/" + upstream.service == m_options.orders.front())
                found.push_back(&upstream);
        }
        return *found[index % found.size()];
    }

    void restartGracefully()
    {
        std::string host = orderUpstream(0).host;
        m_gracefulRestartStart = BootClock::now();
        m_report.line("graceful restart, after the traffic began", sinceTrafficStart(m_gracefulRestartStart));
        m_processes.signal(host, SIGTERM);
        auto status = m_processes.wait(host, std::chrono::seconds(20));
        auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - m_gracefulRestartStart);
        m_report.line("graceful shutdown of " + host,
            status ? std::to_string(elapsed.count()) + " ms, exit status " + std::to_string(*status) : "did not exit");
        m_report.mustBeZero("I8", "graceful shutdowns that failed", status && *status == 0 ? 0 : 1);
        m_mesh.startDaemon(host);
        waitForCurrentConfiguration(host);
        std::this_thread::sleep_for(steadyTime);
        m_gracefulRestartEnd = BootClock::now();
        // All requests sent before this wait complete before the kill that follows, because routes have a timeout of
        // 1 s.
        constexpr std::chrono::milliseconds routeTimeout { 1500 };
        std::this_thread::sleep_for(routeTimeout);
    }

    bool hasCurrentConfiguration(const std::string& host) const
    {
        return m_mesh.getText(*m_mesh.find(host), "/v1/status").find("\"hasFloor\":true") != std::string::npos;
    }

    void waitForCurrentConfiguration(const std::string& host)
    {
        TimePoint began = BootClock::now();
        while (!hasCurrentConfiguration(host) && BootClock::now() - began < changeLimit)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - began).count();
        m_report.line("restart of " + host + " until it serves routes", std::to_string(elapsed) + " ms");
        m_report.mustBeZero("I9", "restarted daemons that do not serve routes", hasCurrentConfiguration(host) ? 0 : 1);
    }

    void killLeaderAndDaemon()
    {
        m_killed = { m_mesh.leader(), orderUpstream(1).host };
        m_report.line("kill, after the traffic began", sinceTrafficStart(BootClock::now()));
        TimePoint began = BootClock::now();
        for (const std::string& host : m_killed) {
            m_processes.signal(host, SIGKILL);
            m_processes.wait(host, changeLimit);
        }
        while (m_mesh.leader().empty() && BootClock::now() - began < changeLimit)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - began).count();
        m_report.line("killed " + m_killed[0] + " (leader) and " + m_killed[1] + ", new leader after",
            std::to_string(elapsed) + " ms");
    }

    void undrainUpstream()
    {
        m_undrainBegan = BootClock::now();
        DemoChange change = m_mesh.apply(R"({"changes": [{"undrainUpstream": ")" + m_drained + R"("}]})", changeLimit);
        m_report.addChange("undrain of " + m_drained + " after the kill", change);
        m_lastRevision = change.revision;
        std::this_thread::sleep_for(steadyTime);
    }

    void restartKilledHosts()
    {
        m_report.line("start of the killed hosts, after the traffic began", sinceTrafficStart(BootClock::now()));
        for (const std::string& host : m_killed)
            m_mesh.startDaemon(host);
        for (const std::string& host : m_killed)
            waitForCurrentConfiguration(host);
        std::this_thread::sleep_for(steadyTime);
        for (const DemoDaemon& daemon : m_mesh.daemons()) {
            boost::json::value routingTable = m_mesh.get(daemon, "/v1/routing-table");
            boost::json::value members = m_mesh.get(daemon, "/v1/members");
            bool isAnswering = routingTable.is_object() && members.is_object();
            auto revision = isAnswering ? routingTable.as_object().at("revision").to_number<uint64_t>() : 0;
            m_outdatedDaemons += revision < m_lastRevision || !isAnswering ? 1 : 0;
            m_unknownUpstreams += isAnswering ? countUnknownUpstreams(routingTable, members) : 0;
        }
    }

    struct Failures {
        size_t count { 0 };
        TimePoint first;
        TimePoint last;
    };

    void reportTraffic()
    {
        std::map<std::string, Failures> failures;
        size_t lookups = 0;
        for (const DemoRecord& record : m_traffic.records()) {
            lookups += record.isOrder ? 0 : 1;
            if (record.outcome == DemoOutcome::Success)
                continue;
            Failures& entry = failures[describe(record)];
            entry.first = entry.count == 0 ? record.sent : std::min(entry.first, record.sent);
            entry.last = std::max(entry.last, record.sent);
            ++entry.count;
        }
        m_report.line("lookups, order requests",
            std::to_string(lookups) + ", " + std::to_string(m_traffic.records().size() - lookups));
        for (const auto& [code, entry] : failures)
            m_report.line("without success: " + code,
                std::to_string(entry.count) + " between " + sinceTrafficStart(entry.first) + " and "
                    + sinceTrafficStart(entry.last));
    }

    std::string sinceTrafficStart(TimePoint time) const { return inMilliseconds(time - m_trafficStart); }

    static std::string inMilliseconds(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
    }

    static std::string describe(const DemoRecord& record)
    {
        std::string text = record.isOrder ? "order " : "lookup ";
        if (!record.code.empty() && std::isdigit(static_cast<unsigned char>(record.code.front())))
            return text + record.code + " " + std::string(name(static_cast<ResultCode>(std::stoi(record.code))));
        return text + record.code;
    }

    bool overlapsGracefulRestart(const DemoRecord& record) const
    {
        return record.sent < m_gracefulRestartEnd && record.respondedAt > m_gracefulRestartStart;
    }

    size_t count(const std::function<bool(const DemoRecord&)>& matches) const
    {
        const auto& records = m_traffic.records();
        return static_cast<size_t>(std::count_if(records.begin(), records.end(), matches));
    }

    void reportInvariants()
    {
        DemoOrderCounts orders = compareWithLedgers(m_traffic.records(), m_mesh.readLedgers());
        m_report.line("orders, of which with unknown outcome",
            std::to_string(orders.orders) + ", " + std::to_string(orders.unknown));
        reportLongestGap();
        m_report.line("routing tables checked", std::to_string(m_observer.routingTables()));
        m_report.mustBeZero("I1", "revisions that decreased", m_observer.reverted(), m_observer.firstReversion());
        m_report.mustBeZero("I2", "routes to services that are not in the routing table", m_observer.danglingRoutes());
        m_report.mustBeZero("I2", "upstreams whose owner is not a member", m_unknownUpstreams);
        m_report.mustBeZero("I3", "routing tables that differ at the same revision", m_observer.inconsistent());
        m_report.mustBeZero("I4", "truncated responses", count([](const auto& record) { return record.isTruncated; }));
        m_report.mustBeZero("I4", "responses that belong to another request",
            count([](const auto& record) { return record.isMismatched; }));
        m_report.mustBeZero("I5", "orders reported as not run but found in a ledger", orders.executedButReportedNotRun);
        m_report.mustBeZero("I6", "duplicated orders", orders.duplicated);
        m_report.mustBeZero("I6", "lost orders", orders.lost);
        reportDrain();
        m_report.mustBeZero("I8", "requests interrupted by the graceful restart", count([this](const auto& record) {
            return overlapsGracefulRestart(record) && record.outcome == DemoOutcome::Unknown;
        }));
        m_report.mustBeZero("I9", "daemons without the last confirmed revision at the end", m_outdatedDaemons);
    }

    // Requests refused as not run violate no invariant, so the length of such an outage is reported separately.
    void reportLongestGap()
    {
        std::vector<TimePoint> responseTimes;
        for (const DemoRecord& record : m_traffic.records()) {
            if (record.isOrder && record.outcome == DemoOutcome::Success)
                responseTimes.push_back(record.respondedAt);
        }
        std::sort(responseTimes.begin(), responseTimes.end());
        Duration longest {};
        TimePoint since;
        for (size_t i = 1; i < responseTimes.size(); ++i) {
            if (responseTimes[i] - responseTimes[i - 1] > longest) {
                longest = responseTimes[i] - responseTimes[i - 1];
                since = responseTimes[i - 1];
            }
        }
        m_report.line("longest time without a successful order",
            inMilliseconds(longest) + ", " + sinceTrafficStart(since) + " after the traffic began");
    }

    void reportDrain()
    {
        auto isDrained = [this](const DemoRecord& record) { return record.upstream == m_drained; };
        size_t before = count([&](const auto& record) { return isDrained(record) && record.sent < m_drainConfirmed; });
        m_report.line("responses of " + m_drained + " before its drain", std::to_string(before));
        m_report.mustBeZero(
            "I7", "requests to it later than 2 s after the confirmation", count([&](const auto& record) {
                return isDrained(record) && record.sent > m_drainConfirmed + drainLimit && record.sent < m_undrainBegan;
            }));
    }

    const DemoOptions m_options;
    ProcessGroup m_processes;
    DemoMesh m_mesh;
    DemoObserver m_observer;
    DemoTraffic m_traffic;
    DemoReport m_report;
    TimePoint m_trafficStart;
    std::string m_drained;
    TimePoint m_drainConfirmed;
    TimePoint m_undrainBegan;
    TimePoint m_gracefulRestartStart;
    TimePoint m_gracefulRestartEnd;
    std::vector<std::string> m_killed;
    uint64_t m_lastRevision { 0 };
    size_t m_outdatedDaemons { 0 };
    size_t m_unknownUpstreams { 0 };
};

DemoOptions readOptions(const cxxopts::ParseResult& parsed)
{
    namespace fs = std::filesystem;
    std::string deployment = parsed["deployment"].as<std::string>();
    DemoOptions options { .source = parsed["examples"].as<std::string>() + "/" + deployment,
        .programs = fs::read_symlink("/proc/self/exe").parent_path().string(),
        .work = (fs::temp_directory_path() / ("dragonflylane-demo." + std::to_string(getpid()))).string(),
        .seed = parsed["seed"].as<uint64_t>() };
    if (deployment == "biltong") {
        options.lookups = { "/catalogue", "/members", "/cure-tracker", "/batches" };
        options.orders = { "/orders", "/cure-tracker" };
    } else {
        options.lookups = { "/catalogue", "/groups", "/loans", "/suggestions" };
        options.orders = { "/orders", "/loans" };
    }
    return options;
}

int runDemo(const DemoOptions& options, bool isKept)
{
    int status = Demo(options).run();
    if (status == 0 && !isKept) {
        std::error_code ignored;
        std::filesystem::remove_all(options.work, ignored);
    } else {
        std::printf("logs and ledgers: %s\n", options.work.c_str());
    }
    return status;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    ProcessGroup::killAllOnSignals();
    cxxopts::Options description("Demo", "Runs a deployment under traffic and faults and checks the invariants");
    description.add_options()(
        "deployment", "readers-circle or biltong", cxxopts::value<std::string>()->default_value("readers-circle"))(
        "examples", "folder of the deployments", cxxopts::value<std::string>()->default_value("examples"))(
        "seed", "seed of the traffic", cxxopts::value<uint64_t>()->default_value("20261204"))(
        "keep", "keep logs and ledgers")("help", "print this help");
    try {
        auto parsed = description.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::printf("%s\n", description.help().c_str());
            return 0;
        }
        return runDemo(readOptions(parsed), parsed.count("keep") > 0);
    } catch (const std::exception& error) {
        std::printf("FAILED: %s\n", error.what());
        return 2;
    }
}
