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
    EXPECT_FALSE(refused.takeReturn(call, start));
    refused.noteRefusal(call, start, deadline, start + milliseconds(20));
    TimePoint second = start + milliseconds(80);
    EXPECT_EQ(refused.takeReturn(call, second), start);
    refused.noteRefusal(call, start, deadline, second);
    EXPECT_EQ(refused.takeReturn(call, second + milliseconds(60)), start);
}

// Guards against one refusal that is matched to several equal requests, and against one that never expires.
TEST(RefusedCallsTest, RefusalIsMatchedOnceAndExpiresWithItsCaller)
{
    RefusedCalls refused;
    refused.noteRefusal(call, start, deadline, start);
    refused.noteRefusal(call, start + milliseconds(5), deadline, start + milliseconds(5));
    EXPECT_EQ(refused.takeReturn(call, start + milliseconds(50)), start);
    EXPECT_EQ(refused.takeReturn(call, start + milliseconds(50)), start + milliseconds(5));
    EXPECT_FALSE(refused.takeReturn(call, start + milliseconds(50)));
    refused.noteRefusal(call, start, deadline, start);
    EXPECT_FALSE(refused.takeReturn(call, deadline));
}

// Guards against memory use that grows with the number of calls refused in an overload.
TEST(RefusedCallsTest, MemoryIsBounded)
{
    RefusedCalls refused({ .maxCalls = 100 });
    for (uint64_t i = 0; i < 1000; ++i)
        refused.noteRefusal(Fingerprint(i), start, deadline, start + milliseconds(1));
    EXPECT_LE(refused.size(), 100U);
    EXPECT_TRUE(refused.takeReturn(Fingerprint(999), start + milliseconds(1)));
    EXPECT_FALSE(refused.takeReturn(Fingerprint(0), start + milliseconds(1)));
    refused.noteRefusal(Fingerprint(5000), deadline, deadline + seconds(2), deadline + milliseconds(1));
    EXPECT_EQ(refused.size(), 1U);
}

} // namespace dragonflylane
