#pragma once

// Open-loop HTTP load generator.
//
// Send times are drawn from a seeded Poisson process and do not depend on the responses. Latency is measured from the
// intended send time, so that a stalled target also increases the latency of calls that wait for a connection (no
// coordinated omission).
//
//     LoadResult result = runLoad({ .targets = { entry }, .callsPerSecond = 2000, .duration = 10s, .seed = 7 });
//
// The expected response body is the target of the request; any other body counts as wrong content. Lookups are GET
// requests, orders are POST requests.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflylane {

struct LoadOptions {
    /// Each call is sent to a random one of these.
    std::vector<Endpoint> targets;
    double callsPerSecond { 100 };
    Duration duration { std::chrono::seconds(1) };
    uint64_t seed { 1 };
    /// Share of orders among the calls.
    double orderShare { 0 };
    /// Whether each order has a unique Idempotency-Key.
    bool hasOrderKeys { false };
    /// Limit of the calls in flight to one target; further calls wait.
    size_t maxConnections { 512 };
    /// Measured from the intended send time. Later responses are counted as late.
    Duration deadline { std::chrono::seconds(1) };
    /// Calls with an intended send time before this offset are sent but not counted.
    Duration measureFrom {};
    std::string path { "/catalogue/" };
};

/// Results of the lookups or of the orders.
struct LoadCount {
    uint64_t sent { 0 };
    /// Responses with status 200 and the expected content within the deadline.
    uint64_t good { 0 };
    uint64_t wrongContent { 0 };
    uint64_t late { 0 };
    /// Calls without a response: connection failed, closed or timed out.
    uint64_t failed { 0 };
    std::map<unsigned, uint64_t> byStatus;
    /// Responses by the value of the header Dragonflylane-Code.
    std::map<std::string, uint64_t> byCode;
    /// Of all calls, from the intended send time to the response or the failure.
    std::vector<Duration> latencies;

    void merge(const LoadCount&);
    /// Returns the exact quantile of the latencies; zero without calls.
    Duration quantile(double q) const;
};

struct LoadResult {
    LoadCount lookups;
    LoadCount orders;
    /// Largest delay between the intended and the actual send time of a call that did not wait for a connection. This
    /// delay is caused by the generator itself.
    Duration maxSendDelay {};

    uint64_t sent() const { return lookups.sent + orders.sent; }
    uint64_t good() const { return lookups.good + orders.good; }
    void merge(const LoadResult&);
};

/// Returns the offsets of the calls from the start. They depend only on rate, duration and seed.
std::vector<Duration> intendedSendTimes(double callsPerSecond, Duration duration, uint64_t seed);

/// Sends the load and returns after the last response or timeout.
LoadResult runLoad(const LoadOptions&);

} // namespace dragonflylane
