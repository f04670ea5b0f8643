#include "dragonflylane/RetryAfterPolicy.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };

    /// A policy of a daemon that has had one call in 50 ms served for several seconds.
    RetryAfterPolicy policyAfterSteadyLoad()
    {
        RetryAfterPolicy policy;
        for (TimePoint t = start - seconds(8); t <= start; t += milliseconds(50))
            policy.recordServed(t);
        return policy;
    }

} // namespace

// Guards against callers that were refused together and return together.
TEST(RetryAfterPolicyTest, CallersReturnNoFasterThanTheyCanBeServed)
{
    RetryAfterPolicy policy = policyAfterSteadyLoad();
    Duration previous {};
    for (int i = 0; i < 10; ++i) {
        Duration retryAfter = policy.schedule({ .expectedWait = milliseconds(30), .left = seconds(6) }, start);
        EXPECT_GE(retryAfter, milliseconds(30));
        if (i > 0) {
            EXPECT_GT(retryAfter - previous, milliseconds(40));
            EXPECT_LT(retryAfter - previous, milliseconds(60));
        }
        previous = retryAfter;
    }
}

// A later refusal after a pause does not wait behind places that have passed.
TEST(RetryAfterPolicyTest, PlacesThatHavePassedDelayNobody)
{
    RetryAfterPolicy policy = policyAfterSteadyLoad();
    for (int i = 0; i < 10; ++i)
        policy.schedule({ .expectedWait = milliseconds(30), .left = seconds(6) }, start);
    TimePoint later = start + seconds(1);
    policy.recordServed(later);
    Duration retryAfter = policy.schedule({ .expectedWait = milliseconds(30), .left = seconds(6) }, later);
    EXPECT_LT(retryAfter, milliseconds(70));
}

// Callers do not wait longer than a third of the time that they have left.
TEST(RetryAfterPolicyTest, NeverLaterThanTheCallerWaits)
{
    RetryAfterPolicy policy = policyAfterSteadyLoad();
    for (int i = 0; i < 100; ++i)
        EXPECT_LT(policy.schedule({ .expectedWait = milliseconds(30), .left = seconds(1) }, start), milliseconds(334));
    EXPECT_EQ(policy.schedule({ .expectedWait = milliseconds(30), .left = Duration::zero() }, start), Duration::zero());
}

// Guards against a burst of callers that share one place: each has its own place until the bound is reached, however
// little of their time that leaves until a target.
TEST(RetryAfterPolicyTest, PlacesStayInOrderUpToTheBound)
{
    RetryAfterPolicy policy = policyAfterSteadyLoad();
    constexpr milliseconds longest { 1800 };
    Duration previous {};
    for (int i = 0; i < 100; ++i) {
        Duration retryAfter = policy.schedule({ .expectedWait = milliseconds(30), .left = seconds(6) }, start);
        EXPECT_LE(retryAfter, longest);
        EXPECT_TRUE(retryAfter > previous || retryAfter == longest);
        previous = retryAfter;
    }
    EXPECT_EQ(previous, longest);
}

// While no call is served, for example after the loss of all processes, an early retry would be refused again.
TEST(RetryAfterPolicyTest, LatestPlaceWhileNothingIsKnown)
{
    RetryAfterPolicy fresh;
    EXPECT_EQ(fresh.schedule({ .expectedWait = milliseconds(30), .left = seconds(1) }, start), milliseconds(300));
    RetryAfterPolicy policy = policyAfterSteadyLoad();
    EXPECT_EQ(policy.schedule({ .expectedWait = std::nullopt, .left = seconds(1) }, start), milliseconds(300));
}

} // namespace dragonflylane
