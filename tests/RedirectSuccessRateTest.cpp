#include "dragonflylane/RedirectSuccessRate.h"

#include <gtest/gtest.h>
#include <random>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(100) };

    struct Requests {
        size_t calls { 0 };
        size_t sent { 0 };
        size_t accepted { 0 };
    };

    // Ten calls a second for the given time. Each owner accepts with the given probability, and a call tries up to four
    // owners. Without a RedirectSuccessRate every refused call is redirected.
    Requests run(RedirectSuccessRate* redirects, double acceptance, TimePoint from, Duration time)
    {
        constexpr Duration interval = milliseconds(100);
        constexpr int maxRedirects = 3;
        std::mt19937_64 random { 3 };
        std::bernoulli_distribution accepts(acceptance);
        Requests result;
        for (TimePoint now = from; now < from + time; now += interval) {
            ++result.calls;
            ++result.sent;
            bool isAccepted = accepts(random);
            for (int i = 0; i < maxRedirects && !isAccepted && (!redirects || redirects->isWorthwhile(now)); ++i) {
                ++result.sent;
                isAccepted = accepts(random);
                if (redirects)
                    redirects->record(isAccepted, now);
            }
            result.accepted += isAccepted ? 1 : 0;
        }
        return result;
    }

} // namespace

// Every owner of a service is full, as were the four of the smallest service in workload wlprc-lane-grown
// scale-1, where calls took 174 ms from daemon to daemon. Guards against four requests for each refused call.
TEST(RedirectSuccessRateTest, FullServiceGetsFewMoreRequestsThanCalls)
{
    RedirectSuccessRate redirects;
    Requests unlimited = run(nullptr, 0.05, start, seconds(20));
    Requests limited = run(&redirects, 0.05, start, seconds(20));
    EXPECT_GT(unlimited.sent, 35 * unlimited.calls / 10);
    EXPECT_LT(limited.sent, 25 * limited.calls / 10);
}

// Guards against calls that are refused although other owners have free capacity.
TEST(RedirectSuccessRateTest, RedirectsContinueWhileTheySucceed)
{
    RedirectSuccessRate redirects;
    Requests unlimited = run(nullptr, 0.7, start, seconds(20));
    Requests limited = run(&redirects, 0.7, start, seconds(20));
    EXPECT_GE(limited.accepted * 100, unlimited.accepted * 98);
}

// Guards against redirects that stay disabled after the overload has ended.
TEST(RedirectSuccessRateTest, RedirectsResumeWithinASecondAfterAnOverload)
{
    RedirectSuccessRate redirects;
    run(&redirects, 0, start, seconds(5));
    EXPECT_TRUE(redirects.isWorthwhile(start + seconds(6)));
}

} // namespace dragonflylane
