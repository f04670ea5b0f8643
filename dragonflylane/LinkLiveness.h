#pragma once

// Decides when a connection between two daemons is probed and when it is given up.
//
//     LinkLiveness liveness(options, now);
//     liveness.sent(FrameKind::ForwardRequest);
//     liveness.received(FrameKind::ForwardResponse, now);
//     switch (liveness.check(now)) ...
//
// A silent partition sends no reset, so silence is all that shows a lost peer. Pattern: in a fleet of hundreds each
// daemon holds a connection to most others, and nearly all of them rest at any moment. Heartbeats at a fixed short
// interval on each of them take more of a slow link than the calls do. So a probe asks for a sign of life only where
// nothing was heard: soon while a call waits for its answer there, rarely otherwise. The peer answers a probe at once,
// and any frame counts as an answer, so that one probe serves both sides. O(1).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Frame.h"

namespace dragonflylane {

struct LinkLivenessOptions {
    /// A link with a call in flight is probed after this long without a frame.
    Duration busyInterval { std::chrono::milliseconds(500) };
    /// The same for a link without one.
    Duration restInterval { std::chrono::seconds(2) };
    /// A probe without an answer for this long means that the peer is lost.
    Duration answerLimit { std::chrono::milliseconds(1500) };
};

/// Keeps what one side of a link has sent and heard.
class LinkLiveness {
public:
    enum class Action : uint8_t {
        None,
        Probe,
        Close,
    };

    LinkLiveness(const LinkLivenessOptions&, TimePoint now);

    /// A frame was queued for the peer.
    void sent(FrameKind);
    /// A frame of the peer is complete.
    void received(FrameKind);
    /// Bytes of the peer arrived, whether or not they complete a frame.
    void heard(TimePoint now);

    /// What to do now. A probe counts as sent once it has been returned here.
    Action check(TimePoint now);

    TimePoint heardAt() const { return m_heardAt; }
    bool hasCallInFlight() const { return m_callsInFlight > 0; }

private:
    LinkLivenessOptions m_options;
    TimePoint m_heardAt;
    /// When the probe that has no answer was sent.
    TimePoint m_probedAt;
    bool m_isProbing { false };
    uint32_t m_callsInFlight { 0 };
};

} // namespace dragonflylane
