#include "dragonflylane/RetryBudget.h"

#include <deque>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

} // namespace

// Guards against a daemon that retries more than its share: whenever a retry is granted, the window that ends at that
// time satisfies retries <= ratio * requests + slack. The sum over daemons that divide the slack then keeps the same
// bound.
RC_GTEST_PROP(RetryBudgetProperty, EveryGrantedRetryKeepsTheBoundOfItsWindow, (uint64_t seed))
{
    constexpr double ratio = 0.2;
    constexpr double slack = 4;
    constexpr seconds window(10);
    std::mt19937_64 random(seed);
    TimePoint now { seconds(1000) };
    RetryBudget budget({ .window = window, .ratio = ratio, .slack = slack }, now);
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    double load = 1 + static_cast<double>(random() % 20);
    for (int step = 0; step < 3000; ++step) {
        now += milliseconds(random() % 30);
        if (step % 500 == 0)
            load = 1 + static_cast<double>(random() % 20);
        if (static_cast<double>(random() % 20) < load) {
            budget.recordRequest(now);
            requests.push_back(now);
        }
        if (!budget.tryWithdraw(now))
            continue;
        retries.push_back(now);
        while (!requests.empty() && requests.front() <= now - window)
            requests.pop_front();
        while (!retries.empty() && retries.front() <= now - window)
            retries.pop_front();
        RC_ASSERT(static_cast<double>(retries.size()) <= ratio * static_cast<double>(requests.size()) + slack);
    }
}

// Guards against a budget that denies retries although few were made.
TEST(RetryBudgetTest, SlackAndRatioAreGranted)
{
    TimePoint now { seconds(1000) };
    RetryBudget budget({ .window = seconds(10), .ratio = 0.1, .slack = 2 }, now);
    EXPECT_TRUE(budget.tryWithdraw(now));
    EXPECT_TRUE(budget.tryWithdraw(now));
    EXPECT_FALSE(budget.tryWithdraw(now));
    for (int i = 0; i < 10; ++i)
        budget.recordRequest(now + seconds(1));
    EXPECT_TRUE(budget.tryWithdraw(now + seconds(1)));
    EXPECT_FALSE(budget.tryWithdraw(now + seconds(2)));
    // The first retries have left the window.
    EXPECT_TRUE(budget.tryWithdraw(now + seconds(12)));
}

} // namespace dragonflylane
