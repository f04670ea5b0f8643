#pragma once

// Simulates many Membership modules and the network between them in one process with virtual time. Used by the tests
// and the benchmark of membership. Every datagram is encoded and decoded, and its size is recorded.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Membership.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonflylane {

/// Properties of the simulated network.
struct VirtualMeshOptions {
    uint64_t seed { 1 };
    double loss { 0 };
    double duplication { 0 };
    /// One-way latency is uniform in this range, so datagrams are reordered.
    Duration minLatency { std::chrono::microseconds(500) };
    Duration maxLatency { std::chrono::milliseconds(3) };
    size_t dataCentres { 3 };
    MembershipOptions membership {};
};

/// Traffic of all daemons, including the transport overhead of each datagram.
struct VirtualTraffic {
    uint64_t datagrams { 0 };
    uint64_t bytes { 0 };
    /// Bytes sent to another data centre.
    uint64_t crossDataCentreBytes { 0 };
    uint64_t largest { 0 };
    uint64_t undecodable { 0 };
};

class VirtualMesh {
public:
    explicit VirtualMesh(VirtualMeshOptions);

    /// Starts a daemon that uses the first two daemons as seeds. Returns its index.
    size_t start();
    void start(size_t count);
    /// Restarts a daemon as a new process with the same host id and address.
    void restart(size_t daemon);
    /// Gives each daemon the records of all others, instead of a join.
    void shareAllRecords();
    /// Stops a daemon without notice to the others, like a crash.
    void stop(size_t daemon);
    /// Suspends a daemon. Datagrams to it are kept in a bounded buffer.
    void pause(size_t daemon);
    void resume(size_t daemon);
    /// Sets the probability that a datagram is lost.
    void setLoss(double loss) { m_options.loss = loss; }
    /// Sets a filter. Only datagrams for which the function returns true are delivered.
    void setReachable(std::function<bool(size_t from, size_t to)> reachable) { m_reachable = std::move(reachable); }

    void runFor(Duration);
    /// Runs until the condition holds, which is checked every `step`. Returns the elapsed time, or nullopt if the limit
    /// is exceeded.
    std::optional<Duration> runUntil(
        const std::function<bool()>&, Duration limit, Duration step = std::chrono::milliseconds(100));
    /// Calls a function on a daemon's Membership module and transmits its output.
    void call(size_t daemon, const std::function<void(Membership&, TimePoint)>&);

    TimePoint now() const { return m_now; }
    size_t size() const { return m_nodes.size(); }
    bool isRunning(size_t daemon) const { return m_nodes[daemon].membership != nullptr; }
    Membership& at(size_t daemon) { return *m_nodes[daemon].membership; }
    const MemberRecord* view(size_t observer, size_t subject) const;
    std::optional<MemberState> stateSeen(size_t observer, size_t subject) const;
    /// True if all running daemons that are not paused have equal views, with as many present members as there are
    /// running daemons.
    bool isConverged() const;
    /// True if all running daemons other than the subject have it in this state.
    bool allSee(size_t subject, MemberState) const;

    VirtualTraffic& traffic() { return m_traffic; }
    void setObserver(std::function<void(size_t daemon, const MembershipOutput&)> observer)
    {
        m_observer = std::move(observer);
    }

    static HostId hostOf(size_t daemon) { return HostId("host-" + std::to_string(daemon)); }
    static Endpoint addressOf(size_t daemon);

private:
    struct Node {
        std::unique_ptr<Membership> membership;
        TimePoint wakeup {};
        bool isPaused { false };
        std::vector<std::pair<Endpoint, std::string>> backlog;
    };

    struct Event {
        TimePoint at;
        uint64_t order { 0 };
        size_t daemon { 0 };
        // The datagram; empty for a wakeup.
        std::string bytes {};
        size_t from { 0 };

        bool operator>(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void create(size_t daemon);
    void process(Event&);
    void deliver(size_t daemon, const Endpoint& from, const std::string& bytes);
    void processOutputs(size_t daemon);
    void transmit(size_t from, const GossipDatagram&);
    bool chance(double probability);

    VirtualMeshOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::hours(1) };
    uint64_t m_order { 0 };
    std::vector<Node> m_nodes;
    std::unordered_map<std::string, size_t> m_byAddress;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::function<bool(size_t, size_t)> m_reachable;
    std::function<void(size_t, const MembershipOutput&)> m_observer;
    VirtualTraffic m_traffic;
};

} // namespace dragonflylane
