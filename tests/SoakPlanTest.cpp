#include "bench/SoakPlan.h"

#include <gtest/gtest.h>
#include <map>
#include <set>

namespace dragonflylane {

namespace {

    SoakPlanOptions optionsFor(uint64_t seed)
    {
        return {
            .seed = seed, .length = std::chrono::seconds(60), .daemons = { "a", "b", "c" }, .upstreams = { "u1", "u2" }
        };
    }

} // namespace

TEST(SoakPlanTest, EqualSeedsGiveEqualPlans)
{
    auto first = planSoak(optionsFor(7));
    auto second = planSoak(optionsFor(7));
    ASSERT_EQ(first.size(), second.size());
    ASSERT_GT(first.size(), 20U);
    for (size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].at, second[i].at);
        EXPECT_EQ(first[i].target, second[i].target);
    }
}

// A second fault must not hit a target that already has one, such as a kill of a paused process, and all faults must
// end before the run ends.
TEST(SoakPlanTest, FaultsOfOneTargetDoNotOverlapAndEndWithinRun)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        SoakPlanOptions options = optionsFor(seed);
        std::map<std::string, Duration> busyUntil;
        std::set<SoakFault> kinds;
        for (const SoakStep& step : planSoak(options)) {
            EXPECT_GE(step.at, busyUntil[step.target]);
            busyUntil[step.target] = step.at + step.duration;
            EXPECT_LE(step.at + step.duration, options.length);
            kinds.insert(step.fault);
        }
        EXPECT_GE(kinds.size(), 6U) << seed;
    }
}

} // namespace dragonflylane
