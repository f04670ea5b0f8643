#include "dragonflylane/RefusedCalls.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(100) };
    const TimePoint deadline = start + seconds(2);
    const Fingerprint call(1);

} // namespace

// Guards against treating a retry as a new call with its whole target time left.
TEST(RefusedCallsTest, RetryHasTheAgeOfTheFirstAttempt)
{
    RefusedCalls refused;
    EXPECT_FALSE(refused.matchRetry(call, start));
    refused.recordRefusal(call, { start, 1 }, deadline, start + milliseconds(20));
    TimePoint second = start + milliseconds(80);
    EXPECT_EQ(refused.matchRetry(call, second), (EarlierAttempts { start, 1 }));
    refused.recordRefusal(call, { start, 2 }, deadline, second);
    EXPECT_EQ(refused.matchRetry(call, second + milliseconds(60)), (EarlierAttempts { start, 2 }));
}

// Guards against one refusal that is matched to several equal requests, and against one that never expires.
TEST(RefusedCallsTest, RefusalIsMatchedOnceAndExpiresWithItsCaller)
{
    RefusedCalls refused;
    refused.recordRefusal(call, { start, 1 }, deadline, start);
    refused.recordRefusal(call, { start + milliseconds(5), 1 }, deadline, start + milliseconds(5));
    EXPECT_EQ(refused.matchRetry(call, start + milliseconds(50)), (EarlierAttempts { start, 1 }));
    EXPECT_EQ(refused.matchRetry(call, start + milliseconds(50)), (EarlierAttempts { start + milliseconds(5), 1 }));
    EXPECT_FALSE(refused.matchRetry(call, start + milliseconds(50)));
    refused.recordRefusal(call, { start, 1 }, deadline, start);
    EXPECT_FALSE(refused.matchRetry(call, deadline));
}

// Guards against memory use that grows with the number of calls refused in an overload.
TEST(RefusedCallsTest, MemoryIsBounded)
{
    RefusedCalls refused({ .maxCalls = 100 });
    for (uint64_t i = 0; i < 1000; ++i)
        refused.recordRefusal(Fingerprint(i), { start, 1 }, deadline, start + milliseconds(1));
    EXPECT_LE(refused.size(), 100U);
    EXPECT_TRUE(refused.matchRetry(Fingerprint(999), start + milliseconds(1)));
    EXPECT_FALSE(refused.matchRetry(Fingerprint(0), start + milliseconds(1)));
    refused.recordRefusal(Fingerprint(5000), { deadline, 1 }, deadline + seconds(2), deadline + milliseconds(1));
    EXPECT_EQ(refused.size(), 1U);
}

} // namespace dragonflylane
