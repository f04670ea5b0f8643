#pragma once

// Runs roll-outs: every daemon sends its evidence to the control leader, and the leader replicates the decisions of
// RolloutDecider.
//
// An entry daemon sends each report to the next one of the control hosts. A control host that does not lead forwards it
// to the leader, so no daemon has to know who leads.

#include "dragonflylane/LeaderAddress.h"
#include "dragonflylane/RolloutDecider.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <vector>

namespace dragonflylane {

class ConfigState;
class LogTask;
class Metrics;
class PeerHub;
class RolloutRecorder;
struct PeerFrame;

class RolloutTask {
public:
    struct Hooks {
        /// The control hosts of the mesh that this daemon knows.
        std::function<std::vector<HostId>()> controlHosts;
    };

    /// The log is null on hosts without a control role.
    RolloutTask(boost::asio::io_context&, HostId self, PeerHub&, RolloutRecorder&, LogTask*, Metrics&, Hooks);

    void start();
    void stop();
    /// Call this whenever the configuration changes.
    void setState(const ConfigState&);

private:
    struct Running {
        RolloutDecider decider;
        /// A command is being replicated.
        bool isPending { false };
    };

    void tick();
    void sendReport(TimePoint now);
    void handleFrame(const PeerFrame&);
    void accept(const RolloutReport&, TimePoint now);
    void decideAll(TimePoint now);
    void submit(Running&, const AdvanceRolloutCommand&);
    bool isLeader(TimePoint now) const;

    HostId m_self;
    PeerHub& m_hub;
    RolloutRecorder& m_recorder;
    LogTask* m_log;
    Metrics& m_metrics;
    Hooks m_hooks;
    LeaderAddress m_leader;
    /// Roll-outs that are running. Followed on every control host, so that a new leader knows the elapsed times.
    std::map<ServiceName, Running> m_running;
    WakeupTimer m_timer;
    bool m_isStopped { false };
};

} // namespace dragonflylane
