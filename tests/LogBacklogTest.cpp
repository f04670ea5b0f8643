#include "dragonflylane/LogBacklog.h"

#include <gtest/gtest.h>
#include <vector>

namespace dragonflylane {

using std::chrono::milliseconds;

// Guards against a replica that handles no messages while it applies a long backlog, and against entries applied out of
// order. After a restart, 36 committed documents took 18 ms each with an election timeout of 400 ms, which caused four
// elections in two seconds (observed in workload wlprc-lane-grown trouble-1).
TEST(LogBacklogTest, LongBacklogIsAppliedInOrderInTimeSlices)
{
    LogBacklog backlog;
    for (uint64_t index = 1; index <= 36; ++index)
        backlog.push(LogApply { .entry = { .index = LogIndex(index) } });
    TimePoint now { std::chrono::seconds(100) };
    std::vector<uint64_t> applied;
    int slices = 0;
    while (!backlog.isEmpty()) {
        TimePoint began = now;
        ASSERT_TRUE(backlog.applySlice([&] { return now; },
            [&](LogOutput& output) {
                applied.push_back(std::get<LogApply>(output).entry.index.value());
                now += milliseconds(18);
            }));
        EXPECT_LE(now - began, milliseconds(100));
        ++slices;
    }
    ASSERT_EQ(applied.size(), 36U);
    for (size_t i = 0; i < applied.size(); ++i)
        EXPECT_EQ(applied[i], i + 1);
    EXPECT_EQ(slices, 12);
}

TEST(LogBacklogTest, ShortBacklogIsAppliedAtOnce)
{
    LogBacklog backlog;
    TimePoint now { std::chrono::seconds(100) };
    EXPECT_FALSE(backlog.applySlice([&] { return now; }, [](LogOutput&) {}));
    backlog.push(LogApply {});
    backlog.push(LogApply {});
    EXPECT_TRUE(backlog.applySlice([&] { return now; }, [&](LogOutput&) { now += milliseconds(5); }));
    EXPECT_TRUE(backlog.isEmpty());
}

} // namespace dragonflylane
