#include "dragonflylane/FrameQueue.h"

#include <gtest/gtest.h>

namespace dragonflylane {

// Guards against a change of configuration that waits behind the answers of a link that is full.
TEST(FrameQueueTest, ControlFramesGoBeforeCallsAndEachLaneKeepsItsOrder)
{
    FrameQueue queue;
    for (int i = 0; i < 5; ++i)
        queue.push(FrameKind::ForwardResponse, "answer" + std::to_string(i) + std::string(1000, '.'));
    queue.push(FrameKind::Relay, "relay0");
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
    // A frame above the limit is written alone.
    EXPECT_EQ(queue.takeBatch(10).size(), 1U);
    batch = queue.takeBatch(1 << 20);
    ASSERT_EQ(batch.size(), 3U);
    EXPECT_EQ(batch.back(), "cancel");
    EXPECT_TRUE(queue.isEmpty());
    EXPECT_EQ(queue.bytes(), 0U);
}

} // namespace dragonflylane
