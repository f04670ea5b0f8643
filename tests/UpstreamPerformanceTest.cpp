#include "dragonflylane/UpstreamPerformance.h"

#include "dragonflylane/Admission.h"
#include "dragonflylane/Metrics.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };
    const UpstreamId upstream("catalogue-1");
    constexpr uint32_t slots = 12;
    constexpr AnsweredCall answered { .routeKey = 7, .serviceTime = milliseconds(100), .typical = milliseconds(100) };

} // namespace

// Guards against a changed choice in a deployment whose upstreams state no load.
TEST(UpstreamPerformanceTest, NothingIsReportedWithoutALoadHeader)
{
    Metrics metrics;
    UpstreamPerformance performance(metrics);
    performance.startProcess(upstream, WarmupNeed::Needed);
    performance.setSlots(slots);
    performance.recordRequest(Duration::zero(), 0, start);
    performance.recordResponse(answered, "", start);
    performance.recordResponse(answered, "many", start);
    LoadReport report;
    performance.addTo(report, answered.routeKey, start);
    EXPECT_FALSE(report.speed);
    EXPECT_FALSE(report.paceLimit);
    EXPECT_EQ(performance.limit(), slots);
    EXPECT_EQ(metrics.value("upstream_loads_invalid"), 1U);

    AnsweredCall slow = answered;
    slow.serviceTime = milliseconds(250);
    performance.recordResponse(slow, "1,0,12,250", start);
    performance.addTo(report, answered.routeKey, start);
    ASSERT_TRUE(report.speed);
    EXPECT_EQ(report.speed->slowness, SlownessPercent(250));
    EXPECT_EQ(report.paceLimit, slots);
}

// Guards against a warm-up of an upstream that has been running for long, after a restart of its daemon.
TEST(UpstreamPerformanceTest, OnlyAProcessThatMayBeColdWarmsUp)
{
    for (WarmupNeed need : { WarmupNeed::Unneeded, WarmupNeed::Needed }) {
        Metrics metrics;
        UpstreamPerformance performance(metrics);
        performance.startProcess(upstream, need);
        performance.setSlots(slots);
        performance.recordRequest(answered.typical, 0, start);
        EXPECT_EQ(performance.limit() < slots, need == WarmupNeed::Needed);
    }
}

// Guards against a flood after a drain that was taken back.
TEST(UpstreamPerformanceTest, ResumeAfterADrainWarmsUpAgain)
{
    Metrics metrics;
    UpstreamPerformance performance(metrics);
    performance.startProcess(upstream, WarmupNeed::Unneeded);
    performance.setSlots(slots);
    performance.recordRequest(answered.typical, 0, start);
    EXPECT_EQ(performance.limit(), slots);
    performance.resume();
    performance.recordRequest(answered.typical, 0, start);
    EXPECT_LT(performance.limit(), slots);
}

} // namespace dragonflylane
