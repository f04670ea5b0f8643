#include "dragonflylane/FrameQueue.h"

#include <gtest/gtest.h>

namespace dragonflylane {

// Guards against a change of configuration that waits behind queued responses.
TEST(FrameQueueTest, ControlFramesGoBeforeCallsAndEachLaneKeepsItsOrder)
{
    FrameQueue queue;
    for (int i = 0; i < 5; ++i)
        queue.push(FrameKind::ForwardResponse, "answer" + std::to_string(i) + std::string(1000, '.'));
    queue.push(FrameKind::Relay, "relay0");
    queue.push(FrameKind::ForwardRequest, std::string(5000, 'r'));
    queue.push(FrameKind::ForwardCancel, "cancel");
    queue.push(FrameKind::Heartbeat, "beat");
    std::vector<std::string> batch = queue.takeBatch(2500);
    ASSERT_EQ(batch.size(), 4U);
    EXPECT_EQ(batch[0], "relay0");
    EXPECT_EQ(batch[1], "beat");
    EXPECT_TRUE(batch[2].starts_with("answer0"));
    EXPECT_TRUE(batch[3].starts_with("answer1"));
    queue.push(FrameKind::Log, "log");
    batch = queue.takeBatch(10);
    ASSERT_EQ(batch.size(), 1U);
    EXPECT_EQ(batch[0], "log");
    // A frame above the limit is sent alone.
    EXPECT_EQ(queue.takeBatch(10).size(), 1U);
    batch = queue.takeBatch(1 << 20);
    ASSERT_EQ(batch.size(), 4U);
    EXPECT_EQ(batch.back(), "cancel");
    EXPECT_TRUE(queue.isEmpty());
    EXPECT_EQ(queue.bytes(), 0U);
}

// Guards against refusals that are delayed by queued responses. On a saturated link a refusal waited 50 to 300 ms, so
// the entry daemon asked the next owner too late (observed in workload wlprc-lane-grown trouble-1).
TEST(FrameQueueTest, RefusalsAndRequestsGoBeforeResponses)
{
    FrameQueue queue;
    queue.push(FrameKind::ForwardResponse, std::string(5000, 'a'));
    EXPECT_FALSE(queue.hasUrgent());
    queue.push(FrameKind::ForwardRequest, "request");
    queue.push(FrameKind::ForwardCancel, "cancel");
    queue.push(FrameKind::ForwardResponse, "refusal");
    EXPECT_TRUE(queue.hasUrgent());
    EXPECT_EQ(queue.takeUrgent(), (std::vector<std::string> { "request", "cancel", "refusal" }));
    EXPECT_FALSE(queue.hasUrgent());
    EXPECT_EQ(queue.bytes(), 5000U);
}

// Guards against a cancel that reaches the owner before its request. The request would then run although its result is
// no longer needed.
TEST(FrameQueueTest, CancelDoesNotOvertakeALargeRequest)
{
    FrameQueue queue;
    queue.push(FrameKind::ForwardRequest, std::string(10000, 'r'));
    queue.push(FrameKind::ForwardCancel, "cancel");
    EXPECT_FALSE(queue.hasUrgent());
    EXPECT_EQ(queue.takeBatch(1).size(), 1U);
    EXPECT_EQ(queue.takeBatch(1), (std::vector<std::string> { "cancel" }));
    queue.push(FrameKind::ForwardCancel, "next");
    EXPECT_TRUE(queue.hasUrgent());
}

TEST(FrameQueueTest, SmallResponsesGoBeforeLargeOnes)
{
    FrameQueue queue;
    queue.push(FrameKind::ForwardResponse, std::string(5000, 'l'));
    EXPECT_FALSE(queue.hasSmall());
    queue.push(FrameKind::ForwardResponse, std::string(700, 's'), 1000);
    EXPECT_TRUE(queue.hasSmall());
    EXPECT_FALSE(queue.hasUrgent());
    EXPECT_EQ(queue.smallBytes(), 700U);
    EXPECT_EQ(queue.takeBatch(1000), (std::vector<std::string> { std::string(700, 's') }));
    EXPECT_EQ(queue.smallBytes(), 0U);
    EXPECT_EQ(queue.bytes(), 5000U);
}

} // namespace dragonflylane
