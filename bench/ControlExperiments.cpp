#include "bench/DaemonFleet.h"
#include "bench/ExperimentSettings.h"
#include "bench/Experiments.h"
#include "bench/LoadGenerator.h"
#include "bench/Report.h"
#include "bench/RevisionWatch.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <limits>
#include <random>
#include <stdexcept>
#include <thread>

namespace dragonflylane {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration convergenceLimit = 30s;
    constexpr std::string_view controlBytes = "control_bytes_sent_";

    double seconds(Duration duration)
    {
        if (duration == Duration::max())
            return std::numeric_limits<double>::infinity();
        return std::chrono::duration<double>(duration).count();
    }

    double milliseconds(Duration duration)
    {
        return 1e3 * seconds(duration);
    }

    // Each number yields a different timeout, so that every plan changes the configuration.
    std::string timeoutChange(size_t number)
    {
        constexpr size_t baseMilliseconds = 1000;
        return R"([{"setService":{"name":"catalogue","timeoutMs":)" + std::to_string(baseMilliseconds + number) + "}}]";
    }

    Duration quantile(std::vector<Duration> values, double q)
    {
        LoadCount count;
        count.latencies = std::move(values);
        return count.quantile(q);
    }

    // ---- convergence ----

    struct FleetUsage {
        double controlBytes { 0 };
        double cpuSeconds { 0 };
        double largestResidentBytes { 0 };
        TimePoint at;
    };

    FleetUsage measureUsage(const DaemonFleet& fleet)
    {
        FleetUsage total { .at = BootClock::now() };
        for (size_t i = 0; i < fleet.size(); ++i) {
            ProcessUsage usage = ChildProcesses::usage(fleet.pid(i));
            total.controlBytes += fleet.counter(i, controlBytes);
            total.cpuSeconds += usage.cpuSeconds;
            total.largestResidentBytes = std::max(total.largestResidentBytes, usage.residentBytes);
        }
        return total;
    }

    double perDaemonSecond(double amount, const FleetUsage& before, const FleetUsage& after, const DaemonFleet& fleet)
    {
        return amount / (static_cast<double>(fleet.size()) * seconds(after.at - before.at));
    }

    struct ChangeTimes {
        std::vector<Duration> medians;
        std::vector<Duration> lasts;
    };

    void makeChange(const DaemonFleet& fleet, RevisionWatch& watch, size_t number, ChangeTimes& times)
    {
        ConfirmResult result = fleet.confirm(timeoutChange(number));
        std::vector<Duration> held = watch.await(result.revision, result.respondedAt, convergenceLimit);
        times.medians.push_back(quantile(held, 0.5));
        times.lasts.push_back(*std::max_element(held.begin(), held.end()));
    }

    ChangeTimes makeChanges(ExperimentContext& context, const DaemonFleet& fleet, RevisionWatch& watch, size_t first)
    {
        ChangeTimes times;
        for (size_t i = 0; i < context.settings.count("changes"); ++i) {
            makeChange(fleet, watch, first + i, times);
            std::this_thread::sleep_for(context.settings.milliseconds("change-interval-ms"));
        }
        return times;
    }

    // Chooses the share "killed-share" of the daemons at random, without control hosts.
    std::vector<size_t> chooseDaemonsToKill(const ExperimentContext& context, const DaemonFleet& fleet, uint64_t seed)
    {
        std::vector<size_t> daemons;
        for (size_t i = fleet.controlCount(); i < fleet.size(); ++i)
            daemons.push_back(i);
        std::mt19937_64 random(seed);
        std::shuffle(daemons.begin(), daemons.end(), random);
        double share = context.settings.number("killed-share");
        daemons.resize(static_cast<size_t>(static_cast<double>(daemons.size()) * share));
        return daemons;
    }

    // Confirms each change while the daemons killed just before it restart. They rejoin within fractions of a second,
    // so a later change would be measured on a stable fleet.
    ChangeTimes makeChangesDuringRestarts(
        ExperimentContext& context, DaemonFleet& fleet, RevisionWatch& watch, size_t first)
    {
        ChangeTimes times;
        for (size_t i = 0; i < context.settings.count("changes"); ++i) {
            std::vector<size_t> killed = chooseDaemonsToKill(context, fleet, context.settings.seed() + i);
            for (size_t index : killed)
                fleet.kill(index);
            std::thread restarts([&] {
                for (size_t index : killed)
                    fleet.restart(index);
            });
            makeChange(fleet, watch, first + i, times);
            restarts.join();
            std::this_thread::sleep_for(context.settings.milliseconds("change-interval-ms"));
        }
        return times;
    }

    void addChangeFigures(ExperimentContext& context, const ChangeTimes& idle, const ChangeTimes& duringRestarts)
    {
        Duration idleLast = *std::max_element(idle.lasts.begin(), idle.lasts.end());
        Duration restartLast = *std::max_element(duringRestarts.lasts.begin(), duringRestarts.lasts.end());
        const ExperimentSettings& settings = context.settings;
        Report& report = context.report;
        report.add({ "idle: convergence p50 of daemons", seconds(quantile(idle.medians, 0.5)), "s", {}, {} });
        report.add({ "idle: last daemon, p50 of changes", seconds(quantile(idle.lasts, 0.5)), "s", {}, {} });
        report.add({ "idle: last daemon, slowest change", seconds(idleLast), "s", {},
            FigureGoal { settings.number("goal-idle-s") } });
        report.add({ "storm: convergence p50 of daemons", seconds(quantile(duringRestarts.medians, 0.5)), "s",
            seconds(quantile(idle.medians, 0.5)), {} });
        report.add({ "storm: last daemon, p50 of changes", seconds(quantile(duringRestarts.lasts, 0.5)), "s",
            seconds(quantile(idle.lasts, 0.5)), {} });
        report.add({ "storm: last daemon, slowest change", seconds(restartLast), "s", seconds(idleLast),
            FigureGoal { settings.number("goal-storm-s") } });
    }

    void checkMemory(size_t processes)
    {
        constexpr double bytesPerDaemon = 16e6;
        constexpr double limit = 16e9;
        std::ifstream stream("/proc/meminfo");
        double available = 0;
        for (std::string key, unit; stream >> key;) {
            double kilobytes = 0;
            stream >> kilobytes;
            std::getline(stream, unit);
            if (key == "MemAvailable:")
                available = 1024 * kilobytes;
        }
        double needed = bytesPerDaemon * static_cast<double>(processes);
        if (needed > std::min(limit, available / 2))
            throw std::runtime_error("not enough memory for " + std::to_string(processes) + " daemons");
    }

    // ---- confirmations ----

    // Time from `begin` until a confirmation succeeds at a control host other than `failed`.
    Duration measureConfirmOutage(const DaemonFleet& fleet, size_t failed, TimePoint begin, size_t first)
    {
        constexpr Duration attemptTimeout = 300ms;
        for (size_t i = 0; BootClock::now() - begin < convergenceLimit; ++i) {
            size_t host = (failed + 1 + i % (fleet.controlCount() - 1)) % fleet.controlCount();
            if (auto result = fleet.confirm(host, timeoutChange(first + i), attemptTimeout))
                return result->respondedAt - begin;
            std::this_thread::sleep_for(10ms);
        }
        return Duration::max();
    }

    constexpr size_t plansPerRound = 10'000;

    std::vector<Duration> measureLeaderFailures(
        ExperimentContext& context, DaemonFleet& fleet, int signal, size_t firstPlan)
    {
        std::vector<Duration> times;
        for (size_t round = 0; round < context.settings.count("rounds"); ++round) {
            size_t leader = fleet.leader();
            TimePoint begin = BootClock::now();
            if (signal == SIGKILL)
                fleet.kill(leader);
            else
                fleet.signal(leader, signal);
            times.push_back(measureConfirmOutage(fleet, leader, begin, firstPlan + round * plansPerRound));
            if (signal == SIGKILL)
                fleet.restart(leader);
            else
                fleet.signal(leader, SIGCONT);
            // Lets the failed host catch up before the next leader fails.
            std::this_thread::sleep_for(5s);
        }
        return times;
    }

    void addLeaderFailureFigures(
        ExperimentContext& context, const std::string& what, const std::vector<Duration>& times, double baseline)
    {
        context.report.add(
            { "no confirmation after " + what + ", p50", seconds(quantile(times, 0.5)), "s", baseline, {} });
        context.report.add(
            { "no confirmation after " + what + ", longest", seconds(*std::max_element(times.begin(), times.end())),
                "s", baseline, FigureGoal { context.settings.number("goal-no-leader-s") } });
    }

} // namespace

void measureConvergence(ExperimentContext& context)
{
    const ExperimentSettings& settings = context.settings;
    DaemonFleet fleet(context.processes, { .program = context.program, .daemons = settings.count("daemons") });
    checkMemory(fleet.size());
    TimePoint begin = BootClock::now();
    fleet.start();
    context.report.add({ "start until all daemons know all others", seconds(BootClock::now() - begin), "s", {}, {} });
    fleet.addService("catalogue", 1000ms);
    std::vector<Endpoint> apis;
    for (size_t i = 0; i < fleet.size(); ++i)
        apis.push_back(fleet.api(i));
    RevisionWatch watch(apis);
    // Gossip about the start must have spread before the idle figures are measured.
    std::this_thread::sleep_for(15s);

    FleetUsage before = measureUsage(fleet);
    std::this_thread::sleep_for(settings.seconds("idle-s"));
    FleetUsage idle = measureUsage(fleet);
    ChangeTimes idleTimes = makeChanges(context, fleet, watch, 1);
    FleetUsage changed = measureUsage(fleet);
    ChangeTimes restartTimes = makeChangesDuringRestarts(context, fleet, watch, 1000);

    addChangeFigures(context, idleTimes, restartTimes);
    double idleBytes = perDaemonSecond(idle.controlBytes - before.controlBytes, before, idle, fleet);
    double changeBytes = (changed.controlBytes - idle.controlBytes) / static_cast<double>(fleet.size())
        - idleBytes * seconds(changed.at - idle.at);
    context.report.add({ "control bytes per daemon and idle second", idleBytes, "B/s", {},
        FigureGoal { settings.number("goal-idle-bytes") } });
    context.report.add(
        { "control bytes per daemon and change", changeBytes / settings.number("changes"), "B", {}, {} });
    context.report.add({ "processor share per daemon, idle",
        100 * perDaemonSecond(idle.cpuSeconds - before.cpuSeconds, before, idle, fleet), "%", {}, FigureGoal { 2.6 } });
    context.report.add({ "processor share per daemon, with changes",
        100 * perDaemonSecond(changed.cpuSeconds - idle.cpuSeconds, idle, changed, fleet), "%",
        100 * perDaemonSecond(idle.cpuSeconds - before.cpuSeconds, before, idle, fleet), {} });
    context.report.add(
        { "largest resident memory", changed.largestResidentBytes / (1 << 20), "MiB", {}, FigureGoal { 32 } });
}

void measureConfirmLatency(ExperimentContext& context)
{
    DaemonFleet fleet(context.processes, { .program = context.program, .daemons = context.settings.count("daemons") });
    fleet.start();
    fleet.addService("catalogue", 1000ms);
    std::vector<Duration> confirms;
    std::vector<Duration> proposals;
    for (size_t i = 0; i < context.settings.count("confirms"); ++i) {
        ConfirmResult result = fleet.confirm(timeoutChange(1 + i));
        confirms.push_back(result.confirmTime);
        proposals.push_back(result.proposeTime);
    }
    for (auto [name, q] : { std::pair("p50", 0.5), std::pair("p99", 0.99) }) {
        context.report.add({ std::string("confirm ") + name + " (baseline: propose)",
            milliseconds(quantile(confirms, q)), "ms", milliseconds(quantile(proposals, q)), {} });
    }
    double baseline = seconds(quantile(confirms, 0.5) + quantile(proposals, 0.5));
    addLeaderFailureFigures(
        context, "SIGKILL", measureLeaderFailures(context, fleet, SIGKILL, plansPerRound), baseline);
    addLeaderFailureFigures(
        context, "SIGSTOP", measureLeaderFailures(context, fleet, SIGSTOP, 2 * plansPerRound), baseline);
}

} // namespace dragonflylane
