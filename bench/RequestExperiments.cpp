#include "bench/DaemonFleet.h"
#include "bench/ExperimentSettings.h"
#include "bench/ExperimentUpstream.h"
#include "bench/Experiments.h"
#include "bench/LoadGenerator.h"
#include "bench/NaiveProxy.h"
#include "bench/Report.h"

#include <spdlog/fmt/fmt.h>
#include <thread>

namespace dragonflylane {

namespace {

    using namespace std::chrono_literals;

    // Time in which upstreams empty their queues after an overload and retry budgets refill.
    constexpr Duration pauseBetweenPhases = 3s;
    constexpr uint32_t slots = 12;
    // Limit of the caller connections to all targets together at 5x the capacity.
    constexpr size_t overloadConnections = 1500;

    double milliseconds(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    double share(uint64_t part, uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }

    // A fleet with one upstream at each of its last daemons. The daemons before these serve as entry daemons; without
    // any, callers connect to the owner daemons.
    struct RequestMesh {
        RequestMesh(ExperimentContext& context, size_t entryDaemons, ExperimentUpstreamOptions upstream = {})
            : fleet(context.processes,
                { .program = context.program, .daemons = entryDaemons + context.settings.count("upstreams") })
            , entries(entryDaemons)
        {
            size_t count = context.settings.count("upstreams");
            firstOwner = fleet.size() - count;
            std::vector<Endpoint> endpoints = freeEndpoints(count);
            for (size_t i = 0; i < count; ++i) {
                upstream.id = "catalogue-" + std::to_string(i);
                upstream.listen = endpoints[i];
                upstream.daemonApi = fleet.api(firstOwner + i);
                upstream.slots = slots;
                upstream.meanServiceTime = context.settings.milliseconds("service-time-ms");
                upstream.seed = context.settings.seed() * 1000 + i;
                upstreams.push_back(std::make_unique<ExperimentUpstream>(upstream));
            }
        }

        // Warms up for 11 s, longer than the slow start of the upstreams (10 s).
        void start()
        {
            fleet.start();
            for (const auto& upstream : upstreams)
                upstream->start();
            fleet.addService("catalogue", 2000ms);
            for (size_t i = 0; i < fleet.size(); ++i)
                fleet.awaitUpstreams(i, upstreams.size());
            constexpr double warmUpRate = 100;
            runLoad({ .targets = callers(), .callsPerSecond = warmUpRate, .duration = 11s });
        }

        std::vector<Endpoint> callers() const
        {
            std::vector<Endpoint> endpoints;
            size_t first = entries > 0 ? firstOwner - entries : firstOwner;
            size_t last = entries > 0 ? firstOwner : fleet.size();
            for (size_t i = first; i < last; ++i)
                endpoints.push_back(fleet.callers(i));
            return endpoints;
        }

        std::vector<Endpoint> upstreamEndpoints() const
        {
            std::vector<Endpoint> endpoints;
            for (const auto& upstream : upstreams)
                endpoints.push_back(upstream->endpoint());
            return endpoints;
        }

        uint64_t received() const
        {
            uint64_t sum = 0;
            for (const auto& upstream : upstreams)
                sum += upstream->received();
            return sum;
        }

        DaemonFleet fleet;
        std::vector<std::unique_ptr<ExperimentUpstream>> upstreams;
        size_t entries;
        size_t firstOwner { 0 };
    };

    // Adds counts that indicate faults of the mesh or of the measurement.
    void addFaults(Report& report, const std::string& prefix, const LoadResult& mesh, const LoadResult& baseline)
    {
        auto wrong = [](const LoadResult& result) {
            return static_cast<double>(result.lookups.wrongContent + result.orders.wrongContent);
        };
        auto failed = [](const LoadResult& result) {
            return static_cast<double>(result.lookups.failed + result.orders.failed);
        };
        report.add({ prefix + " wrong content", wrong(mesh), "calls", wrong(baseline), FigureGoal { 0 } });
        report.add({ prefix + " without answer", failed(mesh), "calls", failed(baseline), {} });
        for (const auto& [code, calls] : mesh.lookups.byCode)
            report.add(
                { fmt::format("{} lookups with code {}", prefix, code), static_cast<double>(calls), "calls", {}, {} });
        for (const auto& [code, calls] : mesh.orders.byCode)
            report.add(
                { fmt::format("{} orders with code {}", prefix, code), static_cast<double>(calls), "calls", {}, {} });
    }

    // ---- overload ----

    struct OverloadPhase {
        LoadResult load;
        double attemptsPerCall { 0 };
        double goodPerSecond { 0 };
    };

    LoadOptions overloadLoad(const ExperimentContext& context, std::vector<Endpoint> targets, double rate)
    {
        const ExperimentSettings& settings = context.settings;
        size_t connections = overloadConnections / targets.size();
        return { .targets = std::move(targets),
            .callsPerSecond = rate,
            .duration = settings.seconds("duration-s"),
            .seed = settings.seed(),
            .orderShare = settings.number("order-share"),
            .hasOrderKeys = settings.number("order-keys") > 0,
            .maxConnections = connections,
            .deadline = settings.milliseconds("deadline-ms"),
            .measureFrom = settings.seconds("measure-from-s") };
    }

    OverloadPhase runPhase(const RequestMesh& mesh, const LoadOptions& options)
    {
        uint64_t before = mesh.received();
        size_t calls = intendedSendTimes(options.callsPerSecond, options.duration, options.seed).size();
        OverloadPhase phase { .load = runLoad(options) };
        phase.attemptsPerCall = share(mesh.received() - before, calls);
        Duration measured = options.duration - options.measureFrom;
        phase.goodPerSecond = static_cast<double>(phase.load.good()) / std::chrono::duration<double>(measured).count();
        std::this_thread::sleep_for(pauseBetweenPhases);
        return phase;
    }

    void addOverloadFigures(
        ExperimentContext& context, const std::string& prefix, const OverloadPhase& mesh, const OverloadPhase& naive)
    {
        Report& report = context.report;
        report.add({ prefix + " goodput", mesh.goodPerSecond, "calls/s", naive.goodPerSecond, {} });
        report.add({ prefix + " attempts at upstreams per call", mesh.attemptsPerCall, "attempts",
            naive.attemptsPerCall, FigureGoal { context.settings.number("goal-attempts") } });
        report.add({ prefix + " lookups served", share(mesh.load.lookups.good, mesh.load.lookups.sent), "share",
            share(naive.load.lookups.good, naive.load.lookups.sent), {} });
        report.add({ prefix + " orders served", share(mesh.load.orders.good, mesh.load.orders.sent), "share",
            share(naive.load.orders.good, naive.load.orders.sent), {} });
        report.add({ prefix + " lookup p99", milliseconds(mesh.load.lookups.quantile(0.99)), "ms",
            milliseconds(naive.load.lookups.quantile(0.99)), {} });
        report.add({ prefix + " late answers", static_cast<double>(mesh.load.lookups.late + mesh.load.orders.late),
            "calls", static_cast<double>(naive.load.lookups.late + naive.load.orders.late), {} });
        report.add({ prefix + " worst delay of the generator", milliseconds(mesh.load.maxSendDelay), "ms",
            milliseconds(naive.load.maxSendDelay), {} });
        addFaults(report, prefix, mesh.load, naive.load);
    }

} // namespace

void measureAddedLatency(ExperimentContext& context)
{
    RequestMesh mesh(context, 1, { .isConstant = context.settings.number("constant-service-time") > 0 });
    mesh.start();
    LoadResult direct;
    LoadResult proxied;
    for (size_t round = 0; round < context.settings.count("rounds"); ++round) {
        LoadOptions options { .targets = mesh.upstreamEndpoints(),
            .callsPerSecond = context.settings.number("calls-per-second"),
            .duration = context.settings.seconds("round-s"),
            .seed = context.settings.seed() + round,
            // Excludes the first calls of a round, which open connections.
            .measureFrom = 500ms };
        direct.merge(runLoad(options));
        options.targets = mesh.callers();
        proxied.merge(runLoad(options));
    }
    for (auto [name, q] : { std::pair("p50", 0.5), std::pair("p90", 0.9), std::pair("p99", 0.99) }) {
        double proxiedLatency = milliseconds(proxied.lookups.quantile(q));
        double directLatency = milliseconds(direct.lookups.quantile(q));
        context.report.add({ std::string("lookup ") + name, proxiedLatency, "ms", directLatency, {} });
        std::optional<FigureGoal> goal;
        if (q == 0.99)
            goal = FigureGoal { context.settings.number("goal-p99-ms") };
        context.report.add({ std::string("added ") + name, proxiedLatency - directLatency, "ms", 0.0, goal });
    }
    context.report.add(
        { "good share", share(proxied.good(), proxied.sent()), "share", share(direct.good(), direct.sent()), {} });
    context.report.add({ "worst delay of the generator", milliseconds(proxied.maxSendDelay), "ms",
        milliseconds(direct.maxSendDelay), {} });
    size_t entry = mesh.firstOwner - 1;
    context.report.add({ "hedged calls", mesh.fleet.counter(entry, "calls_hedged"), "calls", {}, {} });
    addFaults(context.report, "lookups", proxied, direct);
}

void measureOverload(ExperimentContext& context)
{
    RequestMesh mesh(context, 0, { .isShedding = context.settings.number("shedding") > 0 });
    mesh.start();
    NaiveProxyOptions naiveOptions { .listen = freeEndpoints(1).front(),
        .upstreams = mesh.upstreamEndpoints(),
        .attemptTimeout = context.settings.milliseconds("naive-attempt-timeout-ms"),
        .seed = context.settings.seed() };
    NaiveProxy naive(naiveOptions);
    double capacity = static_cast<double>(mesh.upstreams.size() * slots)
        / std::chrono::duration<double>(context.settings.milliseconds("service-time-ms")).count();
    context.report.add({ "capacity of the upstreams", capacity, "calls/s", {}, {} });
    OverloadPhase normal;
    OverloadPhase naiveNormal;
    for (double factor : { 1.0, 2.0, 5.0 }) {
        double rate = factor * capacity;
        OverloadPhase phase = runPhase(mesh, overloadLoad(context, mesh.callers(), rate));
        OverloadPhase naivePhase = runPhase(mesh, overloadLoad(context, { naiveOptions.listen }, rate));
        addOverloadFigures(context, fmt::format("{:g}x", factor), phase, naivePhase);
        if (factor == 1) {
            normal = std::move(phase);
            naiveNormal = std::move(naivePhase);
            continue;
        }
        std::optional<FigureGoal> goal;
        if (factor == 5)
            goal = FigureGoal { context.settings.number("goal-goodput-share"), true };
        context.report.add(
            { fmt::format("{:g}x goodput over 1x goodput", factor), phase.goodPerSecond / normal.goodPerSecond, "share",
                naivePhase.goodPerSecond / naiveNormal.goodPerSecond, goal });
    }
}

void measureFailingUpstreams(ExperimentContext& context)
{
    RequestMesh mesh(context, 1);
    mesh.start();
    LoadOptions options { .targets = mesh.callers(),
        .callsPerSecond = context.settings.number("calls-per-second"),
        .duration = context.settings.seconds("duration-s"),
        .seed = context.settings.seed(),
        .deadline = context.settings.milliseconds("deadline-ms"),
        .measureFrom = context.settings.seconds("measure-from-s") };
    LoadResult healthy = runLoad(options);
    double healthyP99 = milliseconds(healthy.lookups.quantile(0.99));
    FigureGoal goal { context.settings.number("goal-factor") * healthyP99 };
    context.report.add({ "healthy lookup p50", milliseconds(healthy.lookups.quantile(0.5)), "ms", {}, {} });

    mesh.upstreams[0]->setStalled(true);
    LoadResult stalled = runLoad(options);
    mesh.upstreams[0]->setStalled(false);
    context.report.add(
        { "lookup p99 with a stalled upstream", milliseconds(stalled.lookups.quantile(0.99)), "ms", healthyP99, goal });
    context.report.add({ "good share with a stalled upstream", share(stalled.good(), stalled.sent()), "share",
        share(healthy.good(), healthy.sent()), {} });
    addFaults(context.report, "stalled", stalled, healthy);
    std::this_thread::sleep_for(pauseBetweenPhases);

    LoadResult crashing;
    std::thread load([&] { crashing = runLoad(options); });
    TimePoint end = BootClock::now() + options.duration;
    while (BootClock::now() < end) {
        mesh.upstreams[1]->crash();
        std::this_thread::sleep_for(context.settings.seconds("crash-interval-s") / 2);
        mesh.upstreams[1]->start();
        std::this_thread::sleep_for(context.settings.seconds("crash-interval-s") / 2);
    }
    load.join();
    context.report.add({ "lookup p99 with a crashing upstream", milliseconds(crashing.lookups.quantile(0.99)), "ms",
        healthyP99, goal });
    context.report.add({ "good share with a crashing upstream", share(crashing.good(), crashing.sent()), "share",
        share(healthy.good(), healthy.sent()), {} });
    addFaults(context.report, "crashing", crashing, healthy);
}

} // namespace dragonflylane
