// Benchmarks membership in virtual time: traffic and CPU time per daemon when idle and with churn, the time until one
// change reaches all daemons, and memory.
//
//     MembershipBench [daemons...]        default: 100 400 1600
//
// CPU time includes encoding and decoding of each datagram and the simulated network, so it is an upper bound.

#include "bench/VirtualMesh.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

namespace dragonflylane {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration settleTime = 90s;
    constexpr Duration measuredTime = 120s;
    constexpr int spreadSamples = 10;
    constexpr size_t fullSize = 5700;
    // The run time of a simultaneous join of all daemons is quadratic in their number.
    constexpr size_t maxColdStart = 400;
    // Restarts as a share of the members per minute, alternately graceful and by crash. The expected rate in two years
    // (770 restarts per day among 5,700 daemons) is about 0.0001.
    constexpr double churnPerMinute = 0.01;

    double cpuSeconds()
    {
        return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    }

    double seconds(Duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    void report(const char* phase, VirtualMesh& mesh, const VirtualTraffic& before, double cpuTime, Duration elapsed)
    {
        double perDaemon = 1 / (static_cast<double>(mesh.size()) * seconds(elapsed));
        std::printf("%5zu %-10s %9.1f B/s %7.2f datagrams/s %8.1f us/s processor, largest datagram %lu B\n",
            mesh.size(), phase, static_cast<double>(mesh.traffic().bytes - before.bytes) * perDaemon,
            static_cast<double>(mesh.traffic().datagrams - before.datagrams) * perDaemon, cpuTime * 1e6 * perDaemon,
            static_cast<unsigned long>(mesh.traffic().largest));
        std::fflush(stdout);
    }

    void measureIdle(VirtualMesh& mesh)
    {
        VirtualTraffic before = mesh.traffic();
        double start = cpuSeconds();
        mesh.runFor(measuredTime);
        report("idle", mesh, before, cpuSeconds() - start, measuredTime);
    }

    void measureChurn(VirtualMesh& mesh)
    {
        VirtualTraffic before = mesh.traffic();
        double start = cpuSeconds();
        auto changes = static_cast<size_t>(
            std::max(1.0, static_cast<double>(mesh.size()) * churnPerMinute * seconds(measuredTime) / 60));
        Duration step = measuredTime / static_cast<Duration::rep>(changes);
        for (size_t i = 0; i < changes; ++i) {
            // Daemons 0 and 1 are the seeds and are not restarted.
            size_t daemon = 2 + i * 7 % (mesh.size() - 2);
            if (i % 2 == 0)
                mesh.call(daemon, [](Membership& membership, TimePoint now) { membership.leave(now); });
            mesh.runFor(step / 2);
            mesh.restart(daemon);
            mesh.runFor(step - step / 2);
        }
        report("churn 1%/m", mesh, before, cpuSeconds() - start, measuredTime);
    }

    // Measures the time from one change until it has reached each other daemon.
    void measureSpread(VirtualMesh& mesh)
    {
        std::vector<double> times;
        std::vector<double> last;
        for (int sample = 0; sample < spreadSamples; ++sample) {
            size_t source = static_cast<size_t>(sample) * 13 % mesh.size();
            TimePoint start = mesh.now();
            std::vector<double> arrivals;
            mesh.setObserver([&](size_t daemon, const MembershipOutput& output) {
                const auto* changed = std::get_if<MemberChanged>(&output);
                if (changed && daemon != source && changed->host == VirtualMesh::hostOf(source))
                    arrivals.push_back(seconds(mesh.now() - start));
            });
            mesh.call(source, [&](Membership& membership, TimePoint now) {
                UpstreamRecord upstream = *membership.self().upstream;
                upstream.slots += 1;
                membership.setUpstream(upstream, now);
            });
            mesh.runFor(15s);
            std::sort(arrivals.begin(), arrivals.end());
            times.insert(times.end(), arrivals.begin(), arrivals.end());
            last.push_back(arrivals.size() + 1 == mesh.size() ? arrivals.back() : -1);
        }
        mesh.setObserver(nullptr);
        std::sort(times.begin(), times.end());
        std::sort(last.begin(), last.end());
        std::printf("%5zu spread     p50 %.0f ms, last daemon: median %.0f ms, worst of %d %.0f ms%s\n", mesh.size(),
            times[times.size() / 2] * 1e3, last[last.size() / 2] * 1e3, spreadSamples, last.back() * 1e3,
            last.front() < 0 ? "; NOT REACHED by all" : "");
        std::fflush(stdout);
    }

    void measureMesh(size_t size)
    {
        VirtualMesh mesh({ .seed = size });
        mesh.start(size);
        if (size <= maxColdStart) {
            double start = cpuSeconds();
            std::optional<Duration> joined = mesh.runUntil([&] { return mesh.isConverged(); }, 300s);
            std::printf("%5zu start      all at once: converged after %.1f s, %.1f s processor in all\n", size,
                joined ? seconds(*joined) : -1, cpuSeconds() - start);
        } else {
            mesh.shareAllRecords();
        }
        mesh.runFor(settleTime);
        measureIdle(mesh);
        measureSpread(mesh);
        measureChurn(mesh);
    }

    void measureMemory()
    {
        size_t before = mallinfo2().uordblks;
        TimePoint now { 1h };
        auto record = [](size_t i) {
            return MemberRecord { .host = HostId("upstream-host-" + std::to_string(i)),
                .address = VirtualMesh::addressOf(i),
                .dataCentre = DataCentreName("peradeniya-" + std::to_string(i % 20)),
                .region = RegionName("lk-central"),
                .bootId = BootId(i),
                .incarnation = Incarnation(1),
                .upstream = UpstreamRecord { .id = UpstreamId("cure-tracker-upstream-" + std::to_string(i)),
                    .service = ServiceName("cure-tracker-" + std::to_string(i % 280)) } };
        };
        auto membership = std::make_unique<Membership>(MembershipOptions {}, record(0), now);
        for (size_t i = 1; i < fullSize; ++i) {
            GossipRecords message { .piggyback = { .records = { record(i) } } };
            membership->receive(record(i).address, message, now);
        }
        membership->takeOutputs();
        size_t after = mallinfo2().uordblks;
        std::printf("%5zu records    %.2f MB, %zu B per record, with all of them queued for transmission\n", fullSize,
            static_cast<double>(after - before) / 1e6, (after - before) / fullSize);
        std::fflush(stdout);
    }

} // namespace

} // namespace dragonflylane

int main(int argc, char** argv)
{
    std::vector<size_t> sizes { 100, 400, 1600 };
    if (argc > 1)
        sizes.clear();
    for (int i = 1; i < argc; ++i)
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    dragonflylane::measureMemory();
    for (size_t size : sizes)
        dragonflylane::measureMesh(std::max<size_t>(size, 10));
    return 0;
}
