#include "dragonflylane/RolloutRecorder.h"

#include "dragonflylane/AttemptOutcome.h"
#include "dragonflylane/RolloutWire.h"
#include "dragonflylane/RoutingTableBuilder.h"
#include "tests/ConfigGenerators.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;

    const ServiceName orders("orders");
    const UpstreamVersion oldVersion("v1");
    const UpstreamVersion newVersion("v2");
    constexpr uint64_t testedRoute = 7;

    std::shared_ptr<const RoutingTable> tableWith(std::optional<RolloutState> rollout)
    {
        ConfigState state;
        state.insert(service("orders"));
        if (rollout)
            state.insert(RolloutItem { .service = orders, .target = newVersion, .state = *rollout });
        RoutingTableBuilder builder;
        builder.setState(state);
        return builder.build();
    }

    class RolloutRecorderTest : public testing::Test {
    protected:
        RolloutRecorderTest() { m_recorder.setRoutingTable(*tableWith(RolloutState::Running)); }

        void answer(const UpstreamVersion& version, RolloutOutcome outcome, Duration runTime)
        {
            m_recorder.end(m_recorder.begin(orders, version, testedRoute), outcome, runTime);
        }

        RolloutCounts countsOf(const UpstreamVersion& version)
        {
            auto report = m_recorder.report();
            for (const RolloutTally& tally : report ? report->tallies : std::vector<RolloutTally>()) {
                if (tally.version == version)
                    return tally.counts;
            }
            return {};
        }

        RolloutRecorder m_recorder { HostId("h"), 1 };
    };

} // namespace

// A version that answers several times slower than the others, which share its hosts.
TEST_F(RolloutRecorderTest, SlowAnswersAreFoundByTheOtherVersions)
{
    answer(newVersion, RolloutOutcome::Answered, milliseconds(400));
    for (int i = 0; i < 20; ++i)
        answer(oldVersion, RolloutOutcome::Answered, milliseconds(i % 2 == 0 ? 60 : 140));
    answer(newVersion, RolloutOutcome::Answered, milliseconds(200));
    answer(newVersion, RolloutOutcome::Answered, milliseconds(400));
    EXPECT_EQ(countsOf(newVersion).slow, 1U);
    EXPECT_EQ(countsOf({}).slow, 0U);
}

// An overloaded service refuses requests, which says nothing about its version.
TEST_F(RolloutRecorderTest, RefusalsAreNoAnswers)
{
    EXPECT_EQ(rolloutOutcome(ResultCode::QueueFull, 0), RolloutOutcome::Unanswered);
    EXPECT_EQ(rolloutOutcome(ResultCode::UpstreamRefused, 0), RolloutOutcome::Unanswered);
    EXPECT_EQ(rolloutOutcome(ResultCode::Ok, 500), RolloutOutcome::Failed);
    EXPECT_EQ(rolloutOutcome(ResultCode::UpstreamLost, 0), RolloutOutcome::Failed);
    EXPECT_EQ(rolloutOutcome(ResultCode::Ok, 404), RolloutOutcome::Answered);
    answer(newVersion, RolloutOutcome::Unanswered, {});
    answer(newVersion, RolloutOutcome::Failed, milliseconds(3));
    RolloutCounts expected { .sent = 2, .ended = 2, .unanswered = 1, .failed = 1, .runTime = milliseconds(3) };
    EXPECT_EQ(countsOf(newVersion), expected);
}

// A roll-out ends while requests are in flight, and the next one starts with empty counts.
TEST_F(RolloutRecorderTest, CountsEndWithTheRollout)
{
    RolloutAttemptId inFlight = m_recorder.begin(orders, newVersion, testedRoute);
    m_recorder.setRoutingTable(*tableWith(RolloutState::RolledBack));
    EXPECT_FALSE(m_recorder.report());
    EXPECT_EQ(m_recorder.begin(orders, newVersion, testedRoute), RolloutAttemptId());
    m_recorder.setRoutingTable(*tableWith(RolloutState::Running));
    m_recorder.end(inFlight, RolloutOutcome::Failed, milliseconds(1));
    EXPECT_EQ(countsOf(newVersion), RolloutCounts());
}

TEST_F(RolloutRecorderTest, ReportsKeepTheirCountsOnTheWire)
{
    answer(oldVersion, RolloutOutcome::Answered, milliseconds(60));
    answer(newVersion, RolloutOutcome::Failed, milliseconds(4));
    auto report = m_recorder.report();
    RolloutReport decoded;
    ASSERT_FALSE(decode(encode(*report), decoded));
    EXPECT_EQ(decoded, *report);
    report->tallies[0].counts.failed = 5;
    EXPECT_TRUE(decode(encode(*report), decoded));
}

} // namespace dragonflylane
