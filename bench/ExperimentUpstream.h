#pragma once

// Simulated upstream of the experiments, which runs in its own thread. It has a fixed number of slots, exponentially
// distributed service times from a seed, and an unbounded queue unless shedding is on. The response body is the target
// of the request. It announces itself to its daemon every second. Requests whose connection closes leave the queue.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <atomic>
#include <memory>
#include <string>

namespace dragonflylane {

struct ExperimentUpstreamOptions {
    std::string id;
    std::string service { "catalogue" };
    Endpoint listen;
    /// API of its daemon; not announced if unset.
    Endpoint daemonApi;
    uint32_t slots { 12 };
    Duration meanServiceTime { std::chrono::milliseconds(5) };
    /// Every request takes the mean service time, so that hedging cannot shorten the tail of the latency.
    bool isConstant { false };
    uint64_t seed { 1 };
    /// Answers 503 with Retry-After instead of queueing.
    bool isShedding { false };
};

/// Runs from start() to crash() or destruction; the state below may be used from any thread.
class ExperimentUpstream {
public:
    explicit ExperimentUpstream(ExperimentUpstreamOptions);
    ~ExperimentUpstream();
    ExperimentUpstream(const ExperimentUpstream&) = delete;
    ExperimentUpstream& operator=(const ExperimentUpstream&) = delete;

    /// Throws std::runtime_error if it cannot listen.
    void start();
    /// Closes the listener and all connections at once, like a crash of the process. start() may follow.
    void crash();
    /// While stalled, the upstream accepts requests and announces itself, but sends no responses.
    void setStalled(bool isStalled) { m_isStalled = isStalled; }

    const Endpoint& endpoint() const { return m_options.listen; }
    /// Requests received since construction. Each attempt of a proxy counts.
    uint64_t received() const { return m_received; }

private:
    class Process;

    ExperimentUpstreamOptions m_options;
    std::unique_ptr<Process> m_process;
    uint64_t m_instance { 0 };
    std::atomic<bool> m_isStalled { false };
    std::atomic<uint64_t> m_received { 0 };
};

} // namespace dragonflylane
