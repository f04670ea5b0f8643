#pragma once

// Runs the relay of this daemon over the peer links and holds the configuration that it distributes.

#include "dragonflylane/ConfigHolder.h"
#include "dragonflylane/Relay.h"
#include "dragonflylane/WakeupTimer.h"

#include <functional>
#include <memory>

namespace dragonflylane {

class Journal;
class Metrics;
class PeerHub;
class PlanBook;
struct PeerFrame;

/// Owns relay and configuration holder. On a control host the configuration is that of the plan book instead.
class RelayTask {
public:
    struct Hooks {
        /// A newer configuration is in force here.
        std::function<void(const ConfigState&)> applied;
    };

    /// The options' hooks payloadFor and accept are set here. A control host passes its plan book.
    RelayTask(boost::asio::io_context&, RelayOptions, const PlanBook*, PeerHub&, Metrics&, Journal&, Hooks);

    void start();
    void stop();

    void setPosition(const TreePosition&);
    /// At control hosts, after each commit.
    void setLocal(const ConfigState&, Term);
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
    void drain();
    void handle(const RelaySend&);
    void handle(const RelayConnect&);
    void handle(const RelayEvent&);

    RelayOptions withHooks(RelayOptions);

    const PlanBook* m_book;
    PeerHub& m_hub;
    Metrics& m_metrics;
    Journal& m_journal;
    Hooks m_hooks;
    ConfigHolder m_holder;
    std::string m_self;
    Relay m_relay;
    WakeupTimer m_timer;
    bool m_isStopped { false };
};

} // namespace dragonflylane
