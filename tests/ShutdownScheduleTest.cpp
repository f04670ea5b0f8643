#include "dragonflylane/ShutdownSchedule.h"

#include <gtest/gtest.h>

namespace dragonflylane {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an upstream that is out of service while its daemon, which is shutting down, only waits for its
// callers to notice.
TEST(ShutdownScheduleTest, UpstreamIsServedUntilCallersHaveNoticed)
{
    ShutdownSchedule schedule({ .limit = seconds(6), .notice = milliseconds(2500) });
    EXPECT_EQ(schedule.announceDrainAt, seconds(2));
    EXPECT_EQ(schedule.refuseRequestsAt, milliseconds(2500));
    EXPECT_EQ(schedule.exitWhenIdleAt, milliseconds(2500));
    EXPECT_EQ(schedule.abortAt, milliseconds(5700));
}

// Guards against calls that are admitted so late that the process exits before they finish.
TEST(ShutdownScheduleTest, ShortLimitLeavesTimeForRequestsInFlight)
{
    ShutdownSchedule schedule({ .limit = seconds(3), .notice = milliseconds(2500) });
    EXPECT_EQ(schedule.announceDrainAt, seconds(1));
    EXPECT_EQ(schedule.refuseRequestsAt, milliseconds(1500));
    ShutdownSchedule shortest({ .limit = milliseconds(100), .notice = Duration::zero() });
    EXPECT_EQ(shortest.announceDrainAt, Duration::zero());
    EXPECT_LT(shortest.abortAt, shortest.exitWhenIdleAt);
}

} // namespace dragonflylane
