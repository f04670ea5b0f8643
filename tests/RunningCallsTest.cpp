// Recognises the parent of a nested call.

#include "dragonflylane/RunningCalls.h"

#include "dragonflylane/CallHeaders.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::seconds;

    const TimePoint start = TimePoint() + seconds(100);

    ParentCall parent(const std::string& tenant, TimePoint deadline = start + seconds(1))
    {
        return { .tenant = TenantName(tenant), .deadline = deadline };
    }

    TEST(RunningCallsTest, FindsACallOnlyWhileItRuns)
    {
        RunningCalls running;
        EXPECT_FALSE(running.find("a", start));
        running.add(1, "a", parent("north"));
        ASSERT_TRUE(running.find("a", start));
        EXPECT_EQ(running.find("a", start)->tenant, TenantName("north"));
        EXPECT_FALSE(running.find("b", start));
        running.remove(1, "a");
        EXPECT_FALSE(running.find("a", start));
        EXPECT_EQ(running.size(), 0U);
    }

    // The response to a hedge must not end the nested calls of the attempt that still runs.
    TEST(RunningCallsTest, KeepsTheOtherCallWithTheSameRequestId)
    {
        RunningCalls running;
        running.add(1, "a", parent("north"));
        running.add(2, "a", parent("north"));
        running.remove(2, "a");
        EXPECT_TRUE(running.find("a", start));
    }

    // The upstream goes on with a call after its caller has disconnected.
    TEST(RunningCallsTest, KeepsACallThatWasGivenUpUntilItsDeadline)
    {
        RunningCalls running;
        running.add(1, "a", parent("north"));
        running.abandon(1, "a", start);
        EXPECT_TRUE(running.find("a", start));
        EXPECT_FALSE(running.find("a", start + seconds(1)));
    }

    TEST(RunningCallsTest, BoundsTheCallsThatWereGivenUp)
    {
        RunningCalls running({ .maxAbandoned = 2 });
        for (uint64_t id = 0; id < 10; ++id) {
            std::string requestId = std::to_string(id);
            running.add(id, requestId, parent("north"));
            running.abandon(id, requestId, start);
        }
        EXPECT_EQ(running.size(), 2U);
        EXPECT_FALSE(running.find("7", start));
        EXPECT_TRUE(running.find("9", start));
    }

    TEST(RunningCallsTest, TakesTheParentFromTheLastSeparator)
    {
        CallHeaderNames names;
        EXPECT_EQ(parentRequestId(RequestId("a.b"), names), "");
        names.nestedIdSeparator = '.';
        EXPECT_EQ(parentRequestId(RequestId("a"), names), "");
        EXPECT_EQ(parentRequestId(RequestId("a.b"), names), "a");
        EXPECT_EQ(parentRequestId(RequestId("a.b.c"), names), "a.b");
    }

} // namespace

} // namespace dragonflylane
