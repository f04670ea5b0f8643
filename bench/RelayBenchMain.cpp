// Benchmarks the distribution tree in virtual time with a latency of 1 ms per hop: idle bytes, bytes at the control
// hosts per change, convergence, CPU time and memory; then the recovery from the simultaneous restart of a third of the
// daemons and from the partition of a control host. Prints one line for each fleet size and number of data centres.

#include "bench/RelaySimulation.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <malloc.h>
#include <vector>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr int changes = 20;
    constexpr seconds idleTime(20);
    constexpr seconds settleTime(15);

    double inMilliseconds(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    struct Totals {
        uint64_t all { 0 };
        uint64_t source { 0 };
        std::chrono::nanoseconds cpuTime {};
    };

    Totals totals(const RelaySimulation& simulation)
    {
        Totals result;
        for (size_t host = 0; host < simulation.size(); ++host)
            result.all += simulation.bytesSent(host);
        for (size_t host = 0; host < simulation.firstDaemon(); ++host)
            result.source += simulation.bytesSent(host) + simulation.bytesReceived(host);
        result.cpuTime = simulation.cpuTime();
        return result;
    }

    void measure(size_t daemons, size_t dataCentres)
    {
        RelaySimulation simulation({ .daemons = daemons, .dataCentres = dataCentres, .controlHosts = 3 });
        simulation.publish();
        simulation.run(settleTime);
        unsigned hops = 0;
        for (size_t host = simulation.firstDaemon(); host < simulation.size(); ++host)
            hops = std::max(hops, simulation.depth(host).value_or(0));
        size_t sourceChildren = 0;
        for (size_t host = 0; host < simulation.firstDaemon(); ++host)
            sourceChildren += simulation.relay(host).childCount();

        Totals before = totals(simulation);
        simulation.run(idleTime);
        Totals idle = totals(simulation);
        const auto perSecond = [](uint64_t bytes) { return static_cast<double>(bytes) / idleTime.count(); };
        const double idleBytes = perSecond(idle.all - before.all);
        const double idleSource = perSecond(idle.source - before.source);

        std::vector<double> convergence;
        Duration oldestProof {};
        for (int change = 0; change < changes; ++change) {
            simulation.publish();
            if (auto time = simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(5)))
                convergence.push_back(inMilliseconds(*time));
            simulation.run(seconds(1) - milliseconds(100));
            for (size_t host = simulation.firstDaemon(); host < simulation.size(); ++host)
                if (auto proof = simulation.relay(host).provenAt())
                    oldestProof = std::max(oldestProof, simulation.now() - *proof);
        }
        Totals after = totals(simulation);
        std::sort(convergence.begin(), convergence.end());
        const double changeSeconds = changes * 0.9;
        const double sourcePerChange
            = (static_cast<double>(after.source - idle.source) - idleSource * changeSeconds) / changes;
        const double idleCpuTime = static_cast<double>((idle.cpuTime - before.cpuTime).count()) / idleTime.count();
        const double cpuTimePerChange
            = (static_cast<double>((after.cpuTime - idle.cpuTime).count()) - idleCpuTime * changeSeconds) / changes
            / static_cast<double>(daemons);
        std::printf("daemons=%zu data_centres=%zu hops=%u source_children=%zu idle_bytes_per_daemon_per_s=%.1f "
                    "source_bytes_per_change=%.0f convergence_ms_median=%.1f convergence_ms_max=%.1f converged=%zu/%d "
                    "oldest_proof_ms=%.0f cpu_us_per_daemon_per_change=%.1f cpu_us_per_daemon_per_idle_s=%.1f "
                    "parents_lost=%llu violations=%zu\n",
            daemons, dataCentres, hops, sourceChildren, idleBytes / static_cast<double>(daemons), sourcePerChange,
            convergence.empty() ? 0 : convergence[convergence.size() / 2], convergence.empty() ? 0 : convergence.back(),
            convergence.size(), changes, inMilliseconds(oldestProof), cpuTimePerChange / 1000,
            idleCpuTime / 1000 / static_cast<double>(daemons),
            static_cast<unsigned long long>(simulation.totals().parentsLost), simulation.violations().size());
        std::fflush(stdout);
    }

    /// Returns the time in milliseconds until all daemons have the newest revision and a proof of freshness younger
    /// than two seconds, or at most a minute.
    double recovery(RelaySimulation& simulation)
    {
        constexpr Duration step = milliseconds(10);
        TimePoint begin = simulation.now();
        const auto isDone = [&] { return simulation.allHoldPublished() && simulation.allProven(seconds(2)); };
        while (!isDone() && simulation.now() - begin < seconds(60))
            simulation.run(step);
        return inMilliseconds(simulation.now() - begin);
    }

    void measureFaults(size_t daemons, size_t dataCentres)
    {
        RelaySimulation simulation({ .daemons = daemons, .dataCentres = dataCentres, .controlHosts = 3 });
        simulation.publish();
        simulation.run(settleTime);
        RelayCounters before = simulation.totals();
        Totals bytesBefore = totals(simulation);
        for (size_t host = simulation.firstDaemon(); host < simulation.size(); host += 3)
            simulation.restart(host);
        const double restartRecovery = recovery(simulation);
        Totals bytesAfter = totals(simulation);
        const double snapshots = static_cast<double>(daemons) / 3;
        simulation.run(settleTime);

        // A control host that cannot reach the leader continues to serve its children while a change is published.
        uint64_t selected = simulation.totals().parentsSelected;
        simulation.setPartitionedFromLeader(1, true);
        const size_t level1Members = simulation.relay(1).childCount();
        simulation.publish();
        const double partitionRecovery = recovery(simulation);
        std::printf("daemons=%zu data_centres=%zu storm_recovery_ms=%.0f storm_bytes_per_restart=%.0f "
                    "storm_source_bytes=%llu snapshots_in_flight_max=%zu partition_recovery_ms=%.0f heads_cut=%zu "
                    "parents_changed=%llu violations=%zu attempts_before=%llu\n",
            daemons, dataCentres, restartRecovery, static_cast<double>(bytesAfter.all - bytesBefore.all) / snapshots,
            static_cast<unsigned long long>(bytesAfter.source - bytesBefore.source), simulation.maxSnapshotsInFlight(),
            partitionRecovery, level1Members,
            static_cast<unsigned long long>(simulation.totals().parentsSelected - selected),
            simulation.violations().size(), static_cast<unsigned long long>(before.attempts));
        std::fflush(stdout);
    }

    void measureMemoryPerChild()
    {
        constexpr size_t children = 10000;
        TimePoint now(seconds(1));
        RelayOptions options;
        options.self = HostId("control");
        options.isControl = true;
        options.maxChildren = children;
        options.payloadFor = [](Revision, Digest) { return RelayPayload {}; };
        Relay relay(options, now);
        size_t before = mallinfo2().uordblks;
        for (size_t child = 0; child < children; ++child) {
            RelayAttach attach;
            attach.summary.count = 1;
            relay.receive(HostId("dc1-host" + std::to_string(child)), attach, now);
            relay.takeOutputs();
        }
        size_t after = mallinfo2().uordblks;
        std::printf("memory_bytes_per_child=%zu\n", (after - before) / children);
    }

} // namespace

} // namespace dragonflylane

int main()
{
    for (size_t daemons : { 100U, 800U, 5700U })
        for (size_t dataCentres : { 3U, 20U })
            dragonflylane::measure(daemons, dataCentres);
    for (size_t daemons : { 100U, 800U, 5700U })
        for (size_t dataCentres : { 3U, 20U })
            dragonflylane::measureFaults(daemons, dataCentres);
    dragonflylane::measureMemoryPerChild();
}
