// Benchmarks the configuration model with 280 services: bytes on the wire, time to apply changes and to build routing
// tables, and memory.
//
//     ConfigBench
//
// Prints lines of key=value pairs for each number of upstreams.

#include "dragonflylane/ConfigReceiver.h"
#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/RoutingTableBuilder.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <malloc.h>
#include <random>

namespace dragonflylane {

namespace {

    constexpr int serviceCount = 280;
    constexpr int callsPerService = 5;
    constexpr int repetitions = 101;
    constexpr uint64_t seed = 20261204;
    constexpr int dataCentreCount = 20;
    constexpr int keeperCount = 20;

    std::string numbered(const char* prefix, int number)
    {
        return std::string(prefix) + std::to_string(number);
    }

    ServiceName serviceName(int number)
    {
        return ServiceName(numbered("service-", number));
    }

    /// Makes services with one route each, call rules from each service to services after it, a drain of one upstream
    /// in 200, and a keeper view.
    ConfigState makeState(int upstreams, std::mt19937_64& random)
    {
        constexpr int timeoutSpread = 900;
        constexpr int drainedOneIn = 200;
        std::vector<ConfigItem> items;
        for (int i = 0; i < serviceCount; ++i) {
            int timeout = 100 + static_cast<int>(random() % timeoutSpread);
            items.push_back(ServiceItem { serviceName(i), std::chrono::milliseconds(timeout), 2 });
            RouteItem route;
            route.name = RouteName(numbered("route-", i));
            route.pathPrefix = numbered("/api/service-", i);
            route.split = { { serviceName(i), 100 } };
            items.push_back(std::move(route));
            items.push_back(CallRuleItem { ServiceName(clientServiceName), serviceName(i) });
            for (int call = 0; call < callsPerService && i + 1 < serviceCount; ++call) {
                auto later = static_cast<uint64_t>(serviceCount - i - 1);
                items.push_back(
                    CallRuleItem { serviceName(i), serviceName(i + 1 + static_cast<int>(random() % later)) });
            }
        }
        for (int i = 0; i < upstreams; i += drainedOneIn)
            items.push_back(DrainItem { UpstreamId(numbered("upstream-", i)) });
        KeeperViewItem keepers { Epoch(1), {} };
        keepers.hosts.reserve(keeperCount);
        for (int i = 0; i < keeperCount; ++i)
            keepers.hosts.push_back({ HostId(numbered("host-", i)), DataCentreName("dc") });
        items.push_back(std::move(keepers));
        return { Revision(1), std::move(items) };
    }

    UpstreamEntry makeUpstream(int number)
    {
        constexpr uint32_t slots = 12;
        return { UpstreamId(numbered("upstream-", number)), HostId(numbered("host-", number)),
            serviceName(number % serviceCount), DataCentreName(numbered("dc-", number % dataCentreCount)),
            Incarnation(1), slots, UpstreamPhase::Ready };
    }

    ConfigState changeOne(const ConfigState& base, std::mt19937_64& random)
    {
        constexpr int timeoutSpread = 2000;
        ConfigState next = base;
        int timeout = 1 + static_cast<int>(random() % timeoutSpread);
        next.insert(ServiceItem {
            serviceName(static_cast<int>(random() % serviceCount)), std::chrono::milliseconds(timeout), 3 });
        next.setRevision(base.revision().next());
        return next;
    }

    /// Returns the median duration of the operation in microseconds.
    double median(const std::function<void()>& operation)
    {
        std::vector<double> times;
        times.reserve(repetitions);
        for (int i = 0; i < repetitions; ++i) {
            auto start = std::chrono::steady_clock::now();
            operation();
            std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
            times.push_back(elapsed.count());
        }
        std::nth_element(times.begin(), times.begin() + repetitions / 2, times.end());
        return times[repetitions / 2];
    }

    size_t allocated()
    {
        return mallinfo2().uordblks;
    }

    void measure(int upstreams)
    {
        constexpr int mergedChanges = 500;
        std::mt19937_64 random(seed);
        size_t before = allocated();
        ConfigState state = makeState(upstreams, random);
        size_t stateBytes = allocated() - before;

        ConfigHistory history;
        history.reset(state);
        ConfigState next = changeOne(state, random);
        const ConfigDelta single = state.deltaTo(next);
        for (int i = 0; i < mergedChanges; ++i) {
            ConfigState changed = changeOne(history.state(), random);
            history.append(history.state().deltaTo(changed), changed);
        }
        size_t deltaBytes = encodeDelta(single).size();
        size_t mergedBytes = encodeDelta(*history.deltaSince(state.revision())).size();
        std::string raw = encodeRawSnapshot(state);
        std::string snapshot = encodeSnapshot(state);
        ConfigPayload payload = history.payloadFor(state.revision(), state.digest());

        ConfigHistory oneStep;
        oneStep.reset(state);
        oneStep.append(single, next);
        size_t payloadBytes = encodePayload(oneStep.payloadFor(state.revision(), state.digest())).size();

        double applyTime = median([&] {
            ConfigState copy = state;
            copy.apply(single);
        });
        double validateTime = median([&] { next.validate(); });
        double encodeTime = median([&] { encodeSnapshot(state); });
        double decodeTime = median([&] {
            ConfigState decoded;
            decodeSnapshot(snapshot, &decoded);
        });
        double mergeTime = median([&] { history.payloadFor(state.revision(), state.digest()); });

        std::vector<UpstreamEntry> entries;
        entries.reserve(static_cast<size_t>(upstreams));
        for (int i = 0; i < upstreams; ++i)
            entries.push_back(makeUpstream(i));
        before = allocated();
        RoutingTableBuilder builder;
        builder.setState(state);
        builder.setUpstreams(entries);
        std::shared_ptr<const RoutingTable> routingTable = builder.build();
        size_t builderBytes = allocated() - before;
        double buildTime = median([&] {
            RoutingTableBuilder fresh;
            fresh.setState(state);
            fresh.setUpstreams(entries);
            fresh.build();
        });
        uint64_t incarnation = 1;
        double updateTime = median([&] {
            entries[0].incarnation = Incarnation(++incarnation);
            builder.update(entries[0].owner, entries[0]);
            builder.build();
        });
        bool isNext = false;
        double revisionTime = median([&] {
            isNext = !isNext;
            builder.setState(isNext ? next : state);
            builder.build();
        });
        routingTable = builder.build();
        constexpr int lookups = 1000;
        uint64_t found = 0;
        double lookupTime = median([&] {
            for (int i = 0; i < lookups; ++i)
                found += routingTable->findRoute("/api/service-77/items/12345?page=2") != nullptr ? 1 : 0;
        });

        std::printf("upstreams=%d items=%zu delta_bytes=%zu delta_payload_bytes=%zu merged_500_bytes=%zu "
                    "merged_items=%zu payload_500=%s"
                    " snapshot_raw_bytes=%zu snapshot_bytes=%zu snapshot_to_delta=%.1f\n",
            upstreams, state.items().size(), deltaBytes, payloadBytes, mergedBytes,
            history.deltaSince(state.revision())->size(),
            payload.kind == ConfigPayload::Kind::Delta ? "delta" : "snapshot", raw.size(), snapshot.size(),
            static_cast<double>(snapshot.size()) / static_cast<double>(deltaBytes));
        std::printf("upstreams=%d apply_us=%.0f validate_us=%.0f encode_snapshot_us=%.0f decode_snapshot_us=%.0f"
                    " payload_500_us=%.0f routing_table_full_us=%.0f routing_table_one_upstream_us=%.1f "
                    "routing_table_revision_us=%.0f"
                    " route_lookup_ns=%.0f\n",
            upstreams, applyTime, validateTime, encodeTime, decodeTime, mergeTime, buildTime, updateTime, revisionTime,
            lookupTime);
        std::printf("upstreams=%d state_kb=%zu builder_with_routing_table_kb=%zu lookups=%llu\n", upstreams,
            stateBytes / 1024, builderBytes / 1024, static_cast<unsigned long long>(found));
    }

} // namespace

} // namespace dragonflylane

int main()
{
    for (int upstreams : { 70, 700, 5'700 })
        dragonflylane::measure(upstreams);
    return 0;
}
