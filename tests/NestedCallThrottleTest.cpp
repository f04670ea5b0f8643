#include "dragonflylane/NestedCallThrottle.h"

#include "tests/Timeline.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };
    constexpr uint64_t route = 7;

    /// Parents of one route, each with one nested call to a service that serves a limited number of them a second.
    class NestedLoad {
    public:
        NestedLoad(double parentsPerSecond, double capacityPerSecond)
            : m_interval(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / parentsPerSecond)))
            , m_capacityPerSecond(capacityPerSecond)
        {
        }

        void run(Duration length)
        {
            for (Duration t {}; t < length; t += m_interval)
                m_timeline.at(start + t, [this] { offer(); });
            m_timeline.run(start + length);
        }

        double failedShareOfRuns() const { return m_failed / (m_failed + m_served); }
        double served() const { return m_served; }
        double admittedShare() const { return m_throttle.admittedShare(route, m_timeline.now()); }

    private:
        void offer()
        {
            if (!m_throttle.admit(route, 0, m_timeline.now()))
                return;
            TimePoint startedAt = m_timeline.now();
            m_timeline.at(startedAt + milliseconds(300), [this, startedAt] { callNested(startedAt); });
        }

        void callNested(TimePoint startedAt)
        {
            constexpr double queueLength = 3;
            TimePoint now = m_timeline.now();
            double refill = std::chrono::duration<double>(now - m_refilledAt).count() * m_capacityPerSecond;
            m_capacity = std::min(m_capacity + refill, queueLength);
            m_refilledAt = now;
            bool isServed = m_capacity >= 1;
            (isServed ? m_served : m_failed) += 1;
            if (!isServed)
                return m_throttle.nestedCallRefused(route, startedAt, now);
            m_capacity -= 1;
            m_throttle.parentServed(route, now);
        }

        Duration m_interval;
        double m_capacityPerSecond;
        Timeline m_timeline { start };
        NestedCallThrottle m_throttle;
        TimePoint m_refilledAt { start };
        double m_capacity { 0 };
        double m_served { 0 };
        double m_failed { 0 };
    };

    /// A throttle whose route has just had several nested calls refused.
    NestedCallThrottle reducedThrottle()
    {
        NestedCallThrottle throttle;
        for (int i = 0; i < 8; ++i)
            throttle.nestedCallRefused(route, start + milliseconds(i), start + milliseconds(i));
        return throttle;
    }

} // namespace

// Load: 20 parents a second, of whose nested calls 10 a second can be served. Unthrottled, half of the parents fail.
TEST(NestedCallThrottleTest, FewParentsFailWhileTheCalledServiceIsFull)
{
    NestedLoad load(20, 10);
    load.run(seconds(20));
    EXPECT_LT(load.failedShareOfRuns(), 0.25);
    EXPECT_GT(load.served(), 0.85 * 10 * 20);
}

// Load below the capacity of the called service.
TEST(NestedCallThrottleTest, AdmitsAllParentsWhileNestedCallsAreServed)
{
    NestedLoad load(20, 40);
    load.run(seconds(20));
    EXPECT_EQ(load.failedShareOfRuns(), 0);
    EXPECT_EQ(load.admittedShare(), 1);
}

// Guards against a throttle that stays closed because no parent runs that could show that there is capacity again.
TEST(NestedCallThrottleTest, OpensAgainWithoutSamples)
{
    NestedCallThrottle throttle = reducedThrottle();
    EXPECT_LT(throttle.admittedShare(route, start + milliseconds(10)), 0.5);
    EXPECT_EQ(throttle.admittedShare(route, start + seconds(4)), 1);
    EXPECT_TRUE(throttle.admit(route, 0, start + seconds(4)));
}

// A single refusal is normal, and a burst of refusals of parents that started before a reduction counts once.
TEST(NestedCallThrottleTest, ReducesOnceForTheParentsAdmittedBeforeTheReduction)
{
    NestedCallThrottle throttle;
    throttle.nestedCallRefused(route, start, start + milliseconds(300));
    EXPECT_EQ(throttle.admittedShare(route, start + milliseconds(300)), 1);
    for (int i = 0; i < 20; ++i)
        throttle.nestedCallRefused(route, start, start + milliseconds(301));
    EXPECT_GE(throttle.admittedShare(route, start + milliseconds(301)), 0.5);
}

// Guards against callers that are refused by the throttle each time they return.
TEST(NestedCallThrottleTest, CallersThatReturnGoBeforeNewOnes)
{
    NestedCallThrottle throttle = reducedThrottle();
    TimePoint now = start + milliseconds(20);
    EXPECT_FALSE(throttle.admit(route, 0, now));
    EXPECT_TRUE(throttle.admit(route, 1, now));
    int refusedTwice = 0;
    for (int i = 0; i < 20; ++i) {
        refusedTwice += throttle.admit(route, 1, now) ? 0 : 1;
        EXPECT_TRUE(throttle.admit(route, 2, now));
    }
    EXPECT_GT(refusedTwice, 0);
}

} // namespace dragonflylane
