#include "dragonflylane/LeaveSchedule.h"

#include <gtest/gtest.h>

namespace dragonflylane {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against an upstream that is out of service while its daemon, which is shutting down, only waits for its
// callers to notice.
TEST(LeaveScheduleTest, UpstreamIsServedUntilCallersHaveNoticed)
{
    LeaveSchedule schedule({ .limit = seconds(6), .notice = milliseconds(2500) });
    EXPECT_EQ(schedule.retireAt, seconds(2));
    EXPECT_EQ(schedule.refuseAt, milliseconds(2500));
    EXPECT_EQ(schedule.noticedAt, milliseconds(2500));
    EXPECT_EQ(schedule.stopAt, milliseconds(5700));
}

// Guards against calls that are admitted so late that the process exits before they finish.
TEST(LeaveScheduleTest, ShortLimitLeavesTimeForRequestsInFlight)
{
    LeaveSchedule schedule({ .limit = seconds(3), .notice = milliseconds(2500) });
    EXPECT_EQ(schedule.retireAt, seconds(1));
    EXPECT_EQ(schedule.refuseAt, milliseconds(1500));
    LeaveSchedule shortest({ .limit = milliseconds(100), .notice = Duration::zero() });
    EXPECT_EQ(shortest.retireAt, Duration::zero());
    EXPECT_LT(shortest.stopAt, shortest.noticedAt);
}

} // namespace dragonflylane
