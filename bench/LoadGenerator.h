#pragma once

// Open-loop HTTP load.
//
// The send times come from a seeded Poisson process and do not depend on the answers. Latency counts from the intended
// time, so a target that stalls also delays the calls that had to wait for a connection (no coordinated omission).
//
//     LoadResult result = runLoad({ .targets = { entry }, .callsPerSecond = 2000, .duration = 10s, .seed = 7 });
//
// An upstream answers with the target of the request as the body; any other body counts as wrong content.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflylane {

struct LoadOptions {
    /// Each call goes to one of them, chosen at random.
    std::vector<Endpoint> targets;
    double callsPerSecond { 100 };
    Duration duration { std::chrono::seconds(1) };
    uint64_t seed { 1 };
    /// Share of POST requests.
    double orderShare { 0 };
    /// Orders carry an Idempotency-Key of their own.
    bool hasOrderKeys { false };
    /// Calls in flight at one target; further calls wait.
    size_t maxConnections { 512 };
    /// From the intended time. A later answer is not good.
    Duration deadline { std::chrono::seconds(1) };
    /// Calls intended before this offset are sent but not counted.
    Duration measureFrom {};
    std::string path { "/catalogue/" };
};

/// Results of the lookups or of the orders.
struct LoadCount {
    uint64_t sent { 0 };
    /// Status 200 with the right content within the deadline.
    uint64_t good { 0 };
    uint64_t wrongContent { 0 };
    uint64_t late { 0 };
    /// No answer: connection failed, closed or timed out.
    uint64_t failed { 0 };
    std::map<unsigned, uint64_t> byStatus;
    /// By the header Dragonflylane-Code.
    std::map<std::string, uint64_t> byCode;
    /// From the intended time to the answer or the failure, of all calls.
    std::vector<Duration> latencies;

    void merge(const LoadCount&);
    /// Exact quantile of the latencies; zero without calls.
    Duration quantile(double q) const;
};

struct LoadResult {
    LoadCount lookups;
    LoadCount orders;
    /// Most that a call was sent after its intended time while a connection was free: delay of the generator itself.
    Duration worstSendDelay {};

    uint64_t sent() const { return lookups.sent + orders.sent; }
    uint64_t good() const { return lookups.good + orders.good; }
    void merge(const LoadResult&);
};

/// Offsets of the calls from the start; a function of rate, duration and seed only.
std::vector<Duration> intendedSendTimes(double callsPerSecond, Duration duration, uint64_t seed);

/// Sends the load and returns after the last answer or timeout.
LoadResult runLoad(const LoadOptions&);

} // namespace dragonflylane
