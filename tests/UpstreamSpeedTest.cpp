#include "dragonflylane/UpstreamSpeed.h"
#include "dragonflylane/UpstreamLoad.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };
    constexpr uint64_t route = 7;

    double percentOfUsual(const UpstreamSpeed& speed, TimePoint now)
    {
        return static_cast<double>(speed.slowness(now).value());
    }

} // namespace

TEST(UpstreamLoadTest, ParsesThreeOrFourFigures)
{
    auto load = parseUpstreamLoad("3,0,8");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->slots, 8U);
    EXPECT_FALSE(load->slowness);
    EXPECT_EQ(parseUpstreamLoad("3,1,8,250")->slowness, SlownessPercent(250));
    for (const char* text : { "", "3", "3,0", "3,0,", "3,0,8,", "3,0,8,0", "3,0,8,1,2", "a,0,8", "3,-1,8", "3 ,0,8",
             "99999999999,0,8", "3,0,8,999999999" })
        EXPECT_FALSE(parseUpstreamLoad(text)) << text;
}

// The upstream is slowed to 250 % in one of four half seconds and states it. Guards against a usual service time that
// contains the slowness, and against a slowness that outlasts its period.
TEST(UpstreamSpeedTest, StatedSlownessIsSeparatedFromTheUsualServiceTime)
{
    UpstreamSpeed speed;
    for (int i = 0; i < 400; ++i) {
        TimePoint now = start + milliseconds(10 * i);
        bool isSlow = i / 50 % 4 == 3;
        speed.recordStated(SlownessPercent(isSlow ? 250 : 100), now);
        speed.recordServiceTime(route, milliseconds(isSlow ? 250 : 100), now);
    }
    TimePoint end = start + seconds(4);
    SpeedReport report = speed.report(route, end);
    EXPECT_NEAR(static_cast<double>(report.usualServiceTime / milliseconds(1)), 100, 5);
    EXPECT_GT(report.slowness, SlownessPercent(200));
    EXPECT_LT(speed.slowness(end + seconds(2)), SlownessPercent(105));
}

// The upstream states its usual speed but takes five times as long. Guards against trust in a wrong figure.
TEST(UpstreamSpeedTest, MeasuredTimesOverruleAWrongStatement)
{
    UpstreamSpeed speed;
    for (int i = 0; i < 200; ++i) {
        TimePoint now = start + milliseconds(10 * i);
        speed.recordStated(usualSlowness, now);
        speed.recordServiceTime(route, milliseconds(i < 180 ? 100 : 500), now);
    }
    TimePoint now = start + seconds(2);
    SpeedReport report = speed.report(route, now);
    double expected = static_cast<double>(report.usualServiceTime / milliseconds(1)) * percentOfUsual(speed, now) / 100;
    EXPECT_GT(expected, 400);
}

// Guards against estimates of short calls that are raised by the long calls of another route.
TEST(UpstreamSpeedTest, RoutesAreNotMixed)
{
    UpstreamSpeed speed;
    for (int i = 0; i < 100; ++i) {
        speed.recordServiceTime(route, milliseconds(60), start + milliseconds(10 * i));
        speed.recordServiceTime(route + 1, milliseconds(300), start + milliseconds(10 * i));
    }
    SpeedReport report = speed.report(route, start + seconds(1));
    EXPECT_NEAR(static_cast<double>(report.usualServiceTime / milliseconds(1)), 60, 3);
    EXPECT_NEAR(percentOfUsual(speed, start + seconds(1)), 100, 5);
}

} // namespace dragonflylane
