#pragma once

// Decides when a connection between two daemons is probed and when it is closed as dead.
//
//     LinkLiveness liveness(options, now);
//     liveness.sent(FrameKind::ForwardRequest);
//     liveness.bytesReceived(now);
//     liveness.received(FrameKind::ForwardResponse);
//     switch (liveness.check(now)) ...
//
// A partition that drops packets sends no reset, so a lost peer can be detected only by missing traffic. In a fleet of
// hundreds, each daemon has a connection to most others, and nearly all connections are idle at any time. Heartbeats at
// a fixed short interval on all of them would use more of a slow link than the calls do. A connection is therefore
// probed only after a time without received bytes: a short one while a call is in flight, a long one otherwise. The
// peer answers a probe at once. Any received bytes count as an answer, so one probe serves both sides. All operations
// are O(1).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Frame.h"

namespace dragonflylane {

struct LinkLivenessOptions {
    /// A link with a call in flight is probed after this time without received bytes.
    Duration busyInterval { std::chrono::milliseconds(500) };
    /// An idle link is probed after this time without received bytes.
    Duration idleInterval { std::chrono::seconds(2) };
    /// The link is closed if a probe is not answered within this time.
    Duration probeTimeout { std::chrono::milliseconds(1500) };
};

/// Tracks the traffic of one end of a link.
class LinkLiveness {
public:
    enum class Action : uint8_t {
        None,
        Probe,
        Close,
    };

    LinkLiveness(const LinkLivenessOptions&, TimePoint now);

    /// Records that a frame was queued for the peer.
    void sent(FrameKind);
    /// Records that a complete frame of the peer has arrived.
    void received(FrameKind);
    /// Records that bytes of the peer have arrived, whether or not they complete a frame.
    void bytesReceived(TimePoint now);

    /// Returns what to do now. A returned probe is assumed to be sent at once.
    Action check(TimePoint now);

    TimePoint lastReceivedAt() const { return m_lastReceivedAt; }
    bool hasCallInFlight() const { return m_callsInFlight > 0; }

private:
    LinkLivenessOptions m_options;
    TimePoint m_lastReceivedAt;
    /// When the unanswered probe was sent.
    TimePoint m_probedAt;
    bool m_isProbing { false };
    uint32_t m_callsInFlight { 0 };
};

} // namespace dragonflylane
