#pragma once

// Runs the Relay of this daemon over the peer links, and stores the configuration that it receives and forwards.

#include "dragonflylane/ConfigReceiver.h"
#include "dragonflylane/Relay.h"
#include "dragonflylane/WakeupTimer.h"

#include <functional>
#include <memory>

namespace dragonflylane {

class Journal;
class Metrics;
class PeerHub;
class PlanStateMachine;
struct PeerFrame;

/// Owns the relay and the stored configuration. On a control host, the configuration of its plan state machine
/// is used instead.
class RelayTask {
public:
    struct Hooks {
        /// A newer configuration was applied on this host.
        std::function<void(const ConfigState&)> applied;
    };

    /// Sets the callbacks payloadFor and accept of the options. A control host passes its state machine, other
    /// hosts null.
    RelayTask(boost::asio::io_context&, RelayOptions, const PlanStateMachine*, PeerHub&, Metrics&, Journal&, Hooks);

    void start();
    void stop();

    void setPosition(const TreePosition&);
    /// On control hosts: call after each commit.
    void setLocal(const ConfigState&, Term);
    /// On control hosts: see Relay::setProof().
    void setProof(std::optional<TimePoint>);
    void leave();

    const Relay& relay() const { return m_relay; }
    const ConfigState& state() const;
    void exportMetrics() const;

private:
    const ConfigHistory& history() const;
    RelayPayload payloadFor(Revision, const Digest&) const;
    AcceptResult accept(const RelayPayload&);
    HeldState held() const;
    void handleFrame(const PeerFrame&);
    void processOutputs();
    void handle(const RelaySend&);
    void handle(const RelayConnect&);
    void handle(const RelayEvent&);
    std::chrono::milliseconds proofAge() const;

    RelayOptions withCallbacks(RelayOptions);

    const PlanStateMachine* m_stateMachine;
    PeerHub& m_hub;
    Metrics& m_metrics;
    Journal& m_journal;
    Hooks m_hooks;
    ConfigReceiver m_receiver;
    std::string m_self;
    Relay m_relay;
    WakeupTimer m_timer;
    bool m_isStopped { false };
};

} // namespace dragonflylane
