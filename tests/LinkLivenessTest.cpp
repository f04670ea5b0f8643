#include "dragonflylane/LinkLiveness.h"

#include <gtest/gtest.h>
#include <vector>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;
    using Action = LinkLiveness::Action;

    const TimePoint start = TimePoint(seconds(100));
    constexpr milliseconds tickInterval { 250 };

    /// Both ends of a link without delay; either direction can be cut.
    struct SimulatedLink {
        LinkLiveness a { {}, start };
        LinkLiveness b { {}, start };
        bool isCut { false };
        unsigned frames { 0 };
        bool isClosed { false };

        void deliver(LinkLiveness& from, LinkLiveness& to, FrameKind kind, TimePoint now)
        {
            from.sent(kind);
            ++frames;
            if (isCut)
                return;
            to.heard(now);
            to.received(kind);
        }

        void tick(TimePoint now)
        {
            tickEnd(a, b, now);
            tickEnd(b, a, now);
        }

        void tickEnd(LinkLiveness& own, LinkLiveness& peer, TimePoint now)
        {
            Action action = own.check(now);
            isClosed = isClosed || action == Action::Close;
            if (action != Action::Probe)
                return;
            deliver(own, peer, FrameKind::Probe, now);
            if (!isCut)
                deliver(peer, own, FrameKind::Heartbeat, now);
        }
    };

    /// Time until one end gives the link up after a cut.
    Duration timeToClose(SimulatedLink& link, TimePoint cutAt)
    {
        link.isCut = true;
        TimePoint now = cutAt;
        while (!link.isClosed && now < cutAt + seconds(20)) {
            now += tickInterval;
            link.tick(now);
        }
        return now - cutAt;
    }

} // namespace

// Pattern: a daemon of a fleet of 200 holds 160 links, and most rest. With frames of 65 bytes, two heartbeats a second
// each way on all of them are 21 kB a second, a sixth of a link of 1 Mbit/s.
TEST(LinkLivenessTest, RestingLinksCostLittle)
{
    constexpr unsigned links = 160;
    constexpr unsigned frameBytes = 65;
    constexpr unsigned linkBytesPerSecond = 125'000;
    constexpr unsigned simulatedSeconds = 60;
    SimulatedLink link;
    for (TimePoint now = start; now < start + seconds(simulatedSeconds); now += tickInterval)
        link.tick(now);
    EXPECT_FALSE(link.isClosed);
    // Half of the frames of a link are sent by each of its ends.
    unsigned bytesPerSecond = links * link.frames * frameBytes / 2 / simulatedSeconds;
    EXPECT_LT(bytesPerSecond, linkBytesPerSecond / 20);
}

// Guards against calls that wait on a lost peer for longer than peers are given.
TEST(LinkLivenessTest, ALostPeerIsNoticedSoonWhileACallWaits)
{
    SimulatedLink link;
    link.deliver(link.a, link.b, FrameKind::ForwardRequest, start);
    EXPECT_LE(timeToClose(link, start), seconds(2) + 2 * tickInterval);
}

// Guards against links that a silent partition keeps open for ever.
TEST(LinkLivenessTest, ALostPeerIsNoticedAtRest)
{
    SimulatedLink link;
    EXPECT_LE(timeToClose(link, start), seconds(4));
}

// Guards against a link that is closed under a call that takes long at a healthy upstream.
TEST(LinkLivenessTest, ALongCallKeepsItsLink)
{
    SimulatedLink link;
    link.deliver(link.a, link.b, FrameKind::ForwardRequest, start);
    TimePoint now = start;
    for (; now < start + seconds(10); now += tickInterval)
        link.tick(now);
    EXPECT_FALSE(link.isClosed);
    EXPECT_TRUE(link.a.hasCallInFlight());
    link.deliver(link.b, link.a, FrameKind::ForwardResponse, now);
    EXPECT_FALSE(link.a.hasCallInFlight());
}

// Guards against a process that was busy for long and gives up links whose frames it has not read yet.
TEST(LinkLivenessTest, SilenceLeadsToAProbeBeforeTheEnd)
{
    LinkLiveness liveness({}, start);
    liveness.sent(FrameKind::ForwardRequest);
    EXPECT_EQ(liveness.check(start + seconds(10)), Action::Probe);
    liveness.heard(start + seconds(10));
    EXPECT_EQ(liveness.check(start + seconds(10)), Action::None);
}

// Guards against a count that a cancel and the answer that crossed it drive below zero.
TEST(LinkLivenessTest, AnAnswerMayCrossItsCancel)
{
    LinkLiveness liveness({}, start);
    liveness.sent(FrameKind::ForwardRequest);
    liveness.sent(FrameKind::ForwardCancel);
    liveness.received(FrameKind::ForwardResponse);
    EXPECT_FALSE(liveness.hasCallInFlight());
    liveness.sent(FrameKind::ForwardRequest);
    EXPECT_TRUE(liveness.hasCallInFlight());
}

} // namespace dragonflylane
