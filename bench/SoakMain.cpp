// Injects random faults into a complete deployment on loopback: processes are killed, terminated, paused and restarted,
// and connections to upstreams are delayed, reset, or made to drop data in one or both directions. Checks the
// invariants with the records of clients and upstreams. Usage: Soak [--seed N] [--runs N] [--seconds N]. The exit
// status is 0 only if no run violated an invariant.

#include "bench/DemoMesh.h"
#include "bench/DemoObserver.h"
#include "bench/DemoReport.h"
#include "bench/DemoTraffic.h"
#include "bench/FaultProxy.h"
#include "bench/SoakPlan.h"

#include <algorithm>
#include <csignal>
#include <cxxopts.hpp>
#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <thread>

using namespace dragonflylane;

namespace {

constexpr uint16_t proxyPortOffset = 100;
constexpr std::chrono::seconds startLimit { 30 };
constexpr std::chrono::seconds changeLimit { 10 };
constexpr std::chrono::seconds endLimit { 20 };
// After the last fault, every daemon must serve requests again within this time.
constexpr std::chrono::seconds recoveryLimit { 15 };
constexpr std::chrono::milliseconds pollInterval { 10 };

struct SoakOptions {
    std::string source;
    std::string programs;
    std::string work;
    uint64_t seed { 1 };
    Duration length {};
};

/// One run with one seed.
class Soak {
public:
    explicit Soak(const SoakOptions& options)
        : m_options(options)
        , m_mesh({ .source = options.source,
                     .programs = options.programs,
                     .work = options.work,
                     .announcedPortOffset = proxyPortOffset },
              m_processes)
        , m_observer(m_mesh)
        , m_traffic(m_mesh,
              { .seed = options.seed,
                  .lookups = { "/catalogue", "/groups", "/loans", "/suggestions" },
                  .orders = { "/orders", "/loans" } })
    {
    }

    bool run()
    {
        m_report.section("Seed " + std::to_string(m_options.seed));
        if (!start()) {
            m_report.mustBeZero("start", "the mesh did not start; logs in " + m_options.work, 1);
            return false;
        }
        m_traffic.start();
        injectFaults();
        checkRecovery();
        m_traffic.stop();
        m_observer.stop();
        checkInvariants();
        m_processes.terminateAll(endLimit);
        return m_report.isPassed();
    }

private:
    bool start()
    {
        if (!m_mesh.prepare().empty())
            return false;
        for (const DemoUpstream& upstream : m_mesh.upstreams())
            m_proxies[upstream.id] = std::make_unique<FaultProxy>(m_mesh.announcedAddress(upstream), upstream.address);
        if (!m_mesh.startAll().empty() || !m_mesh.waitForLeader(startLimit))
            return false;
        m_observer.start();
        DemoChange change = m_mesh.apply(m_mesh.initialPlan(), startLimit);
        m_revision = change.revision;
        return change.isConfirmed && waitUntil([this] { return allDaemonsServe(); }, startLimit);
    }

    static bool waitUntil(const std::function<bool()>& condition, Duration limit)
    {
        TimePoint end = BootClock::now() + limit;
        while (!condition()) {
            if (BootClock::now() >= end)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
        return true;
    }

    // ---- faults ----

    void injectFaults()
    {
        SoakPlanOptions options { .seed = m_options.seed, .length = m_options.length };
        for (const DemoDaemon& daemon : m_mesh.daemons())
            options.daemons.push_back(daemon.name);
        for (const DemoUpstream& upstream : m_mesh.upstreams())
            options.upstreams.push_back(upstream.id);
        std::multimap<Duration, std::function<void()>> events;
        for (const SoakStep& step : planSoak(options)) {
            events.emplace(step.at, [this, step] { startFault(step); });
            events.emplace(step.at + step.duration, [this, step] { endFault(step); });
        }
        m_began = BootClock::now();
        for (const auto& [at, event] : events) {
            std::this_thread::sleep_until(m_began + at);
            event();
        }
        for (std::future<DemoChange>& change : m_changes)
            recordChange(change.get());
    }

    void startFault(const SoakStep& step)
    {
        auto at = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - m_began).count();
        auto length = std::chrono::duration_cast<std::chrono::milliseconds>(step.duration).count();
        m_report.line(std::to_string(at) + " ms: " + name(step.fault) + " " + step.target,
            "for " + std::to_string(length) + " ms");
        switch (step.fault) {
        case SoakFault::Kill:
            m_processes.signal(step.target, SIGKILL);
            break;
        case SoakFault::Terminate:
            m_processes.signal(step.target, SIGTERM);
            break;
        case SoakFault::Pause:
            m_processes.signal(step.target, SIGSTOP);
            break;
        case SoakFault::Delay:
            m_proxies[step.target]->setFault({ .delay = std::chrono::milliseconds(50) });
            break;
        case SoakFault::Reset:
            m_proxies[step.target]->reset();
            break;
        case SoakFault::Blackhole:
            m_proxies[step.target]->setFault({ .dropsRequests = true, .dropsResponses = true });
            break;
        case SoakFault::DropResponses:
            m_proxies[step.target]->setFault({ .dropsResponses = true });
            break;
        case SoakFault::Drain:
            applyChange(R"({"changes": [{"drainUpstream": ")" + step.target + R"("}]})");
            break;
        }
    }

    void endFault(const SoakStep& step)
    {
        switch (step.fault) {
        case SoakFault::Kill:
        case SoakFault::Terminate:
            restart(step);
            break;
        case SoakFault::Pause:
            m_processes.signal(step.target, SIGCONT);
            break;
        case SoakFault::Delay:
        case SoakFault::Reset:
        case SoakFault::Blackhole:
        case SoakFault::DropResponses:
            m_proxies[step.target]->setFault({});
            m_proxies[step.target]->reset();
            break;
        case SoakFault::Drain:
            applyChange(R"({"changes": [{"undrainUpstream": ")" + step.target + R"("}]})");
            break;
        }
    }

    void restart(const SoakStep& step)
    {
        auto status = m_processes.wait(step.target, endLimit);
        bool isClean = step.fault == SoakFault::Kill || (status && *status == 0);
        m_failedExits += status && isClean ? 0 : 1;
        if (status)
            m_mesh.startDaemon(step.target);
    }

    // Applies a change asynchronously, because it may have to wait for a leader while further faults are injected.
    void applyChange(std::string changes)
    {
        m_changes.push_back(std::async(
            std::launch::async, [this, changes = std::move(changes)] { return m_mesh.apply(changes, changeLimit); }));
    }

    void recordChange(const DemoChange& change)
    {
        if (change.isConfirmed)
            m_revision = std::max(m_revision, change.revision);
        m_staleAfterConvergence += change.staleAfterConvergence;
    }

    // ---- checks ----

    bool allDaemonsServe() const
    {
        return std::all_of(m_mesh.daemons().begin(), m_mesh.daemons().end(), [](const DemoDaemon& daemon) {
            DemoRecord record = sendDemoRequest(daemon, "GET", "/catalogue/probe", "", std::chrono::seconds(2));
            return record.outcome == DemoOutcome::Success;
        });
    }

    size_t countOutdated() const
    {
        return static_cast<size_t>(
            std::count_if(m_mesh.daemons().begin(), m_mesh.daemons().end(), [this](const DemoDaemon& daemon) {
                boost::json::value table = m_mesh.get(daemon, "/v1/routing-table");
                return !table.is_object() || table.as_object().at("revision").to_number<uint64_t>() < m_revision;
            }));
    }

    void checkRecovery()
    {
        TimePoint began = BootClock::now();
        bool isServing = waitUntil([this] { return allDaemonsServe() && countOutdated() == 0; }, recoveryLimit);
        auto took = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - began).count();
        m_report.line("recovery after the last fault", std::to_string(took) + " ms");
        m_report.mustBeZero("I9", "meshes that do not recover", isServing ? 0 : 1);
    }

    size_t count(const std::function<bool(const DemoRecord&)>& matches) const
    {
        const auto& records = m_traffic.records();
        return static_cast<size_t>(std::count_if(records.begin(), records.end(), matches));
    }

    void checkInvariants()
    {
        size_t served = count([](const auto& record) { return record.outcome == DemoOutcome::Success; });
        m_report.line("requests, of which successful",
            std::to_string(m_traffic.records().size()) + ", " + std::to_string(served));
        DemoOrderCounts orders = compareWithLedgers(m_traffic.records(), m_mesh.readLedgers());
        m_report.mustBeZero("I1", "revisions that decreased", m_observer.reverted(), m_observer.firstReversion());
        m_report.mustBeZero("I2", "routes to services that are not in the routing table", m_observer.danglingRoutes());
        m_report.mustBeZero("I3", "routing tables that differ at the same revision", m_observer.inconsistent());
        m_report.mustBeZero("I4", "truncated responses", count([](const auto& record) { return record.isTruncated; }));
        m_report.mustBeZero("I4", "responses that belong to another request",
            count([](const auto& record) { return record.isMismatched; }));
        m_report.mustBeZero("I5", "orders reported as not run but found in a ledger", orders.executedButReportedNotRun);
        m_report.mustBeZero("I6", "duplicated orders", orders.duplicated);
        m_report.mustBeZero("I6", "lost orders", orders.lost);
        m_report.mustBeZero("I8", "daemons that failed to exit or to shut down gracefully", m_failedExits);
        m_report.mustBeZero(
            "I9", "daemons with an older revision although reported as converged", m_staleAfterConvergence);
        m_report.mustBeZero("traffic", "runs without a successful request", served > 0 ? 0 : 1);
    }

    const SoakOptions m_options;
    std::map<std::string, std::unique_ptr<FaultProxy>> m_proxies;
    ProcessGroup m_processes;
    DemoMesh m_mesh;
    DemoObserver m_observer;
    DemoTraffic m_traffic;
    DemoReport m_report;
    TimePoint m_began;
    std::vector<std::future<DemoChange>> m_changes;
    uint64_t m_revision { 0 };
    size_t m_failedExits { 0 };
    size_t m_staleAfterConvergence { 0 };
};

int runAll(SoakOptions options, uint64_t runs)
{
    namespace fs = std::filesystem;
    std::vector<uint64_t> failed;
    std::string folder = (fs::temp_directory_path() / ("dragonflylane-soak." + std::to_string(getpid()))).string();
    for (uint64_t i = 0; i < runs; ++i, ++options.seed) {
        options.work = folder + "." + std::to_string(options.seed);
        if (!Soak(options).run()) {
            failed.push_back(options.seed);
            std::printf("logs and ledgers: %s\n", options.work.c_str());
            continue;
        }
        std::error_code ignored;
        fs::remove_all(options.work, ignored);
    }
    std::printf("\n%zu of %llu runs passed\n", static_cast<size_t>(runs) - failed.size(),
        static_cast<unsigned long long>(runs));
    for (uint64_t seed : failed)
        std::printf("failed: --seed %llu\n", static_cast<unsigned long long>(seed));
    return failed.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    ProcessGroup::killAllOnSignals();
    cxxopts::Options description("Soak", "Random faults against a deployment on loopback");
    auto number = [](const char* value) { return cxxopts::value<uint64_t>()->default_value(value); };
    description.add_options()("seed", "seed of the first run", number("1"))("runs", "runs, each with the next seed",
        number("1"))("seconds", "length of the faults of a run", number("20"))("examples", "folder of the deployments",
        cxxopts::value<std::string>()->default_value("examples"))("help", "print this help");
    try {
        auto parsed = description.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::printf("%s\n", description.help().c_str());
            return 0;
        }
        SoakOptions options { .source = parsed["examples"].as<std::string>() + "/readers-circle",
            .programs = std::filesystem::read_symlink("/proc/self/exe").parent_path().string(),
            .seed = parsed["seed"].as<uint64_t>(),
            .length = std::chrono::seconds(parsed["seconds"].as<uint64_t>()) };
        return runAll(options, parsed["runs"].as<uint64_t>());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "Soak: %s\n", error.what());
        return 2;
    }
}
