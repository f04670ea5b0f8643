#pragma once

// Simulated upstream of the experiments, in a thread of its own: fixed slots, exponential service time from a seed,
// a queue without bound unless shedding is on, and the target of the request as the answer's body. It announces itself
// to its daemon every second. Requests whose connection closed leave the queue.

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
    /// Every request takes the mean, so that hedging cannot shorten the tail.
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
    /// Closes the listener and all connections at once, as the end of a process does. start() may follow.
    void crash();
    /// While stalled, requests are accepted and announcements continue, but nothing is answered.
    void setStalled(bool isStalled) { m_isStalled = isStalled; }

    const Endpoint& endpoint() const { return m_options.listen; }
    /// Requests received since construction, so attempts of a proxy.
    uint64_t received() const { return m_received; }

private:
    class Run;

    ExperimentUpstreamOptions m_options;
    std::unique_ptr<Run> m_run;
    uint64_t m_instance { 0 };
    std::atomic<bool> m_isStalled { false };
    std::atomic<uint64_t> m_received { 0 };
};

} // namespace dragonflylane
