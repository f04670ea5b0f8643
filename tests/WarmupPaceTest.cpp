#include "dragonflylane/WarmupPace.h"

#include "dragonflylane/RankedAdmission.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;

    constexpr uint32_t slots = 12;
    constexpr milliseconds typical { 100 };

    WarmupPace startedPace()
    {
        WarmupPace pace;
        pace.setSlots(slots);
        pace.begin();
        pace.recordRequest(typical, 0);
        return pace;
    }

    /// Feeds responses until a round has ended.
    PaceChange runRound(WarmupPace& pace, Duration serviceTime)
    {
        for (uint32_t i = 0; i <= slots; ++i) {
            PaceChange change = pace.recordResponse(serviceTime, typical);
            if (change != PaceChange::None)
                return change;
        }
        return PaceChange::None;
    }

    int roundsUntilEnd(WarmupPace& pace, Duration serviceTime)
    {
        constexpr int maxRounds = 100;
        int rounds = 0;
        while (pace.isWarmingUp() && rounds < maxRounds) {
            runRound(pace, serviceTime);
            ++rounds;
        }
        return rounds;
    }

} // namespace

// Guards against a flood of a cold upstream: it becomes slower with each call beyond the four that it can serve.
TEST(WarmupPaceTest, UpstreamThatSlowsDownWithItsLoadIsNotFlooded)
{
    WarmupPace pace = startedPace();
    EXPECT_EQ(pace.limit(), 2U);
    for (int round = 0; round < 50; ++round) {
        milliseconds serviceTime = pace.limit() <= 4 ? typical : typical * pace.limit() / 2;
        runRound(pace, serviceTime);
        EXPECT_LE(pace.limit(), 8U);
        EXPECT_TRUE(pace.isWarmingUp());
    }
}

// Guards against an upstream that is left idle although it is as fast as its peers.
TEST(WarmupPaceTest, UpstreamAsFastAsItsPeersReachesItsSlotsInFourRounds)
{
    WarmupPace pace = startedPace();
    EXPECT_EQ(roundsUntilEnd(pace, typical), 4);
    EXPECT_EQ(pace.limit(), slots);
}

// Guards against an upstream that is slower than its peers for good and never gets all its slots.
TEST(WarmupPaceTest, UpstreamThatIsSlowerForGoodReachesItsSlots)
{
    WarmupPace pace = startedPace();
    int rounds = roundsUntilEnd(pace, 3 * typical);
    EXPECT_GT(rounds, 4);
    EXPECT_LE(rounds, 12);
    EXPECT_EQ(pace.limit(), slots);
}

// Guards against a process that is announced as healthy but sheds or loses its calls.
TEST(WarmupPaceTest, UpstreamInTroubleKeepsTheInitialLimit)
{
    WarmupPace pace = startedPace();
    for (int i = 0; i < 100; ++i) {
        pace.recordResponse(typical, typical);
        EXPECT_EQ(pace.recordTrouble(), PaceChange::Halved);
        EXPECT_EQ(pace.limit(), 2U);
    }
}

// Guards against a fall to the initial limit for good after an upstream has fallen back twice.
TEST(WarmupPaceTest, UpstreamThatFallsBackTwiceRecovers)
{
    WarmupPace pace = startedPace();
    for (int fall = 0; fall < 2; ++fall) {
        EXPECT_EQ(runRound(pace, typical), PaceChange::Doubled);
        EXPECT_EQ(runRound(pace, typical), PaceChange::Doubled);
        EXPECT_EQ(runRound(pace, 5 * typical), PaceChange::Halved);
        EXPECT_EQ(pace.limit(), 4U);
        EXPECT_EQ(runRound(pace, typical), PaceChange::Doubled);
        EXPECT_EQ(pace.recordTrouble(), PaceChange::Halved);
        EXPECT_EQ(pace.recordTrouble(), PaceChange::Halved);
        EXPECT_EQ(pace.limit(), 2U);
    }
    roundsUntilEnd(pace, typical);
    EXPECT_EQ(pace.limit(), slots);
}

// All upstreams of a service start together, so no peer can serve the other calls. Guards against refusals for want of
// slots that are idle.
TEST(WarmupPaceTest, NoWarmupIfUpstreamsStartTogether)
{
    WarmupPace pace;
    pace.setSlots(slots);
    pace.begin();
    EXPECT_EQ(pace.recordRequest(Duration::zero(), 0), PaceChange::None);
    EXPECT_EQ(pace.recordRequest(typical, 1), PaceChange::None);
    EXPECT_EQ(pace.limit(), slots);
}

// Forty entry daemons find a new upstream at the same moment. Guards against a flood although each of them sends only a
// few calls, and against refusals that state no wait.
TEST(WarmupPaceTest, CallsOfAllEntryDaemonsTogetherStayBelowTheLimit)
{
    constexpr int entryDaemons = 40;
    const TimePoint now { std::chrono::seconds(1000) };
    WarmupPace pace = startedPace();
    RankedAdmission admission({ .slots = pace.limit() });
    auto ticketFor = [&](int id) {
        return CallTicket { .id = static_cast<uint64_t>(id),
            .deadline = now + std::chrono::seconds(4),
            .target = now + milliseconds(800),
            .maxWait = milliseconds(200) };
    };
    // One call has shown the service time.
    admission.offer(ticketFor(entryDaemons), now - typical);
    admission.finished(entryDaemons, CallOutcome::Success, now);
    uint32_t admitted = 0;
    int refused = 0;
    for (int id = 0; id < entryDaemons; ++id) {
        AdmitDecision decision = admission.offer(ticketFor(id), now);
        admitted += decision.action == AdmitAction::Admit ? 1 : 0;
        if (decision.action != AdmitAction::Refuse)
            continue;
        ++refused;
        EXPECT_EQ(decision.code, ResultCode::QueueFull);
        EXPECT_GE(decision.expectedWait, typical);
    }
    EXPECT_EQ(admitted, pace.limit());
    EXPECT_GT(refused, entryDaemons / 2);
}

} // namespace dragonflylane
