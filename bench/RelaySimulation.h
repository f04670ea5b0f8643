#pragma once

// Simulates a distribution tree in virtual time within one process: relays, their connections, and stubs for the log
// and the configuration module. Messages are encoded and decoded as on the wire. Used by the tests and by the
// benchmark.
//
//     RelaySimulation simulation({ .daemons = 100 });
//     simulation.run(std::chrono::seconds(5));
//     simulation.publish();
//
// After every input of a host, the simulation checks the invariants of the design: the revision of a daemon never
// decreases, and a daemon claims a proof time only if no newer revision was published by then. Violations are
// collected.

#include "dragonflylane/Relay.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace dragonflylane {

struct RelaySimulationOptions {
    size_t daemons { 100 };
    size_t dataCentres { 3 };
    size_t regions { 1 };
    size_t controlHosts { 1 };
    uint64_t seed { 1 };
    /// One-way latency of a message.
    Duration latency { std::chrono::milliseconds(1) };
    /// Maximum random addition to the latency of each message. Messages of a connection stay in order.
    Duration jitter {};
    Duration proofInterval { std::chrono::milliseconds(100) };
    size_t snapshotBytes { 20000 };
    size_t deltaBytes { 150 };
    size_t maxChildrenOfControl { 64 };
    /// By default, control hosts have as few children as in a large fleet, so that a small fleet also has a tree of
    /// several levels.
    TreeOptions tree { .controlChildren = 0 };
    /// Modifies the options of a relay before it starts.
    std::function<void(size_t host, RelayOptions&)> adjust {};
};

/// An event reported by a relay, with its time and host.
struct SimulatedEvent {
    TimePoint at;
    size_t host { 0 };
    RelayEvent event;
};

class RelaySimulation {
public:
    /// Bytes of the frame header of each message: length and kind.
    static constexpr size_t frameOverhead = 5;

    explicit RelaySimulation(RelaySimulationOptions);

    // Control hosts have the lowest indexes; host 0 is the leader.
    size_t size() const { return m_hosts.size(); }
    size_t firstDaemon() const { return m_options.controlHosts; }
    Relay& relay(size_t host) { return *m_hosts[host].relay; }
    const HostId& id(size_t host) const { return m_hosts[host].member.host; }
    size_t indexOf(const HostId& host) const { return m_byId.at(host); }
    /// Index of the parent; nullopt without a parent.
    std::optional<size_t> parentOf(size_t host) const;
    /// Number of hops to a control host; 0 for a control host, nullopt if there is no path.
    std::optional<unsigned> depth(size_t host) const;
    bool isRunning(size_t host) const { return m_hosts[host].isAlive && !m_hosts[host].isPaused; }
    /// Position in the tree with all hosts alive.
    const TreePosition& position(size_t host) const { return m_hosts[host].position; }

    TimePoint now() const { return m_now; }
    void run(Duration);
    /// Runs until the condition holds, which is checked after every event. Returns the elapsed time, or nullopt if the
    /// limit is exceeded.
    std::optional<Duration> runUntil(const std::function<bool()>&, Duration limit);

    /// Commits the next revision at the leader.
    Revision publish();
    Revision published() const { return Revision(m_history.size()); }
    /// Without a quorum, control hosts receive no new proofs.
    void setQuorum(bool hasQuorum) { m_hasQuorum = hasQuorum; }
    /// Sets the term that control hosts report.
    void setTerm(Term term) { m_term = term; }
    /// Makes all daemons reject this revision as an invalid configuration.
    void refuse(Revision revision) { m_refused.insert(revision); }
    /// Changes the configuration of a host without changing its revision, like a memory error.
    void corrupt(size_t host);

    void pause(size_t host);
    /// Delivers the messages that arrived during the pause, then runs the timers.
    void resume(size_t host);
    /// Ends the process. If `isSilent`, its connections are not closed, as with the loss of the whole host.
    void kill(size_t host, bool isSilent);
    void restart(size_t host);
    /// Assigns hosts to one side of a network partition. Messages between different sides are delivered after the
    /// partition has healed.
    void setPartition(const std::vector<size_t>& hosts, int partition);
    /// Partitions a control host from the leader, but not from its children.
    void setPartitionedFromLeader(size_t host, bool isPartitioned)
    {
        m_hosts[host].isPartitionedFromLeader = isPartitioned;
    }
    /// Delays all messages from a host to its children until the end of the stall, like full send buffers.
    void setStalled(size_t host, bool isStalled);
    /// Closes both ends of the connection to the parent.
    void disconnectParent(size_t host);
    /// Replaces the computed parent candidates of a host.
    void setCandidates(size_t host, const std::vector<size_t>& parents);
    /// Recomputes the parent candidates of all hosts from the hosts that are alive, as happens when membership has
    /// converged.
    void refreshCandidates();

    uint64_t bytesSent(size_t host) const { return m_hosts[host].bytesSent; }
    uint64_t bytesReceived(size_t host) const { return m_hosts[host].bytesReceived; }
    uint64_t messages() const { return m_messages; }
    /// CPU time spent in the relays and in encoding their messages.
    std::chrono::nanoseconds cpuTime() const { return m_cpuTime; }
    const std::vector<SimulatedEvent>& events() const { return m_events; }
    const std::vector<std::string>& violations() const { return m_violations; }
    /// Maximum number of snapshots that any relay had in flight.
    size_t maxSnapshotsInFlight() const { return m_maxSnapshots; }
    RelayCounters totals() const;
    /// True if all running daemons have the published revision.
    bool allHoldPublished() const;
    /// True if all running daemons have a proof that is younger than the limit.
    bool allProven(Duration limit) const;

    static Digest digestOf(Revision);

private:
    struct Connection {
        size_t ends[2] { 0, 0 };
        unsigned generations[2] { 0, 0 };
        bool isOpen[2] { true, true };
        TimePoint lastArrival[2];
        /// Messages that a partition or stall holds back, by receiving end; nullopt closes the connection.
        std::deque<std::optional<std::string>> blocked[2];
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    static constexpr int childEnd = 0;
    static constexpr int parentEnd = 1;

    struct Host {
        TreeMember member;
        TreePosition position;
        std::unique_ptr<Relay> relay;
        bool isAlive { true };
        bool diedSilently { false };
        bool isPaused { false };
        bool isPartitionedFromLeader { false };
        bool isStalled { false };
        int partition { 0 };
        unsigned generation { 0 };
        std::map<size_t, ConnectionPtr> toParents;
        std::map<size_t, ConnectionPtr> toChildren;
        std::vector<std::function<void()>> inbox;
        TimePoint wakeAt { TimePoint::max() };
        HeldState content;
        Revision highestEver;
        Revision highestSinceStart;
        uint64_t bytesSent { 0 };
        uint64_t bytesReceived { 0 };
    };
    struct Step {
        TimePoint at;
        uint64_t order { 0 };
        std::function<void()> action;

        bool operator<(const Step& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    void start(size_t host);
    RelayOptions relayOptions(size_t host);
    RelayPayload payloadFor(size_t host, const HeldState& from);
    AcceptResult accept(size_t host, const RelayPayload&);
    void schedule(TimePoint, std::function<void()>);
    void step();
    /// Applies an input to a host at once, or on resume if the host is paused.
    void input(size_t host, unsigned generation, const std::function<void(Relay&)>&);
    void process(size_t host, const std::function<void(Relay&)>&);
    void handleOutputs(size_t host);
    void handle(size_t host, RelaySend&);
    void handle(size_t host, const RelayConnect&);
    void handle(size_t host, const RelayDisconnect&);
    void handle(size_t host, const RelayEvent&);
    void transmit(const ConnectionPtr&, int toEnd, std::optional<std::string> bytes);
    void deliver(const ConnectionPtr&, int toEnd, const std::optional<std::string>& bytes);
    void closeEnd(const ConnectionPtr&, int end);
    bool canReach(size_t left, size_t right) const { return m_hosts[left].partition == m_hosts[right].partition; }
    bool isBlocked(const Connection&, int toEnd) const;
    void deliverBlocked();
    void scheduleWakeup(size_t host);
    void refreshControlProofs();
    void updateControlHost(size_t host, bool withProof);
    void checkInvariants(size_t host);
    Revision publishedAt(TimePoint) const;

    RelaySimulationOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now { std::chrono::hours(1) };
    std::priority_queue<Step> m_steps;
    uint64_t m_order { 0 };
    std::vector<Host> m_hosts;
    std::map<HostId, size_t> m_byId;
    std::vector<ConnectionPtr> m_connections;
    std::vector<TimePoint> m_history;
    bool m_hasQuorum { true };
    Term m_term { 1 };
    std::set<Revision> m_refused;
    std::vector<SimulatedEvent> m_events;
    std::vector<std::string> m_violations;
    std::chrono::nanoseconds m_cpuTime {};
    uint64_t m_messages { 0 };
    size_t m_maxSnapshots { 0 };
};

} // namespace dragonflylane
