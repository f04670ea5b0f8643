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

    /// Both ends of a link without delay. `isPartitioned` drops the frames of both directions.
    struct SimulatedLink {
        LinkLiveness a { {}, start };
        LinkLiveness b { {}, start };
        bool isPartitioned { false };
        unsigned frames { 0 };
        bool isClosed { false };

        void deliver(LinkLiveness& from, LinkLiveness& to, FrameKind kind, TimePoint now)
        {
            from.sent(kind);
            ++frames;
            if (isPartitioned)
                return;
            to.bytesReceived(now);
            to.received(kind);
        }

        void tick(TimePoint now)
        {
            checkEnd(a, b, now);
            checkEnd(b, a, now);
        }

        void checkEnd(LinkLiveness& own, LinkLiveness& peer, TimePoint now)
        {
            Action action = own.check(now);
            isClosed = isClosed || action == Action::Close;
            if (action != Action::Probe)
                return;
            deliver(own, peer, FrameKind::Probe, now);
            if (!isPartitioned)
                deliver(peer, own, FrameKind::Heartbeat, now);
        }
    };

    /// Time until one end closes the link after a partition begins.
    Duration timeToClose(SimulatedLink& link, TimePoint cutAt)
    {
        link.isPartitioned = true;
        TimePoint now = cutAt;
        while (!link.isClosed && now < cutAt + seconds(20)) {
            now += tickInterval;
            link.tick(now);
        }
        return now - cutAt;
    }

} // namespace

// Guards against heartbeats on idle links that use much of a slow link. A daemon in a fleet of 200 has 160 links, most
// of them idle. With frames of 65 bytes, two heartbeats a second in each direction on all of them are 21 kB/s, a sixth
// of a link of 1 Mbit/s.
TEST(LinkLivenessTest, IdleLinksUseLittleBandwidth)
{
    constexpr unsigned links = 160;
    constexpr unsigned frameBytes = 65;
    constexpr unsigned linkBytesPerSecond = 125'000;
    constexpr unsigned simulatedSeconds = 60;
    SimulatedLink link;
    for (TimePoint now = start; now < start + seconds(simulatedSeconds); now += tickInterval)
        link.tick(now);
    EXPECT_FALSE(link.isClosed);
    // Each end of a link sends half of its frames.
    unsigned bytesPerSecond = links * link.frames * frameBytes / 2 / simulatedSeconds;
    EXPECT_LT(bytesPerSecond, linkBytesPerSecond / 20);
}

// Guards against calls that wait for a lost peer beyond the detection bound.
TEST(LinkLivenessTest, LostPeerIsDetectedQuicklyWithACallInFlight)
{
    SimulatedLink link;
    link.deliver(link.a, link.b, FrameKind::ForwardRequest, start);
    EXPECT_LE(timeToClose(link, start), seconds(2) + 2 * tickInterval);
}

// Guards against links that stay open for ever during a partition that drops packets.
TEST(LinkLivenessTest, LostPeerIsDetectedOnAnIdleLink)
{
    SimulatedLink link;
    EXPECT_LE(timeToClose(link, start), seconds(4));
}

// Guards against closing a link while a healthy upstream processes a long call.
TEST(LinkLivenessTest, LongCallKeepsTheLinkOpen)
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

// Guards against a busy process that closes links although received frames only wait to be read.
TEST(LinkLivenessTest, LinkIsProbedBeforeItIsClosed)
{
    LinkLiveness liveness({}, start);
    liveness.sent(FrameKind::ForwardRequest);
    EXPECT_EQ(liveness.check(start + seconds(10)), Action::Probe);
    liveness.bytesReceived(start + seconds(10));
    EXPECT_EQ(liveness.check(start + seconds(10)), Action::None);
}

// Guards against a negative count of calls in flight when a cancelled call gets a response nevertheless.
TEST(LinkLivenessTest, AnswerOfACancelledCallIsNotCounted)
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
