#include "dragonflylane/RetryPolicy.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>
#include <vector>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };

    RetryPolicyOptions withoutBudget()
    {
        RetryPolicyOptions options;
        options.budget.isEnabled = false;
        return options;
    }

    /// Number of attempts in ten seconds at 1,000 calls/s to a service without a live upstream.
    int attemptsAtDeadService(RetryPolicyOptions options)
    {
        RetryPolicy policy(options, start);
        int attempts = 0;
        for (int call = 0; call < 10'000; ++call) {
            TimePoint now = start + milliseconds(call);
            AttemptResult result { ResultCode::UpstreamLost, true, 0, seconds(1) };
            do {
                ++attempts;
                ++result.attempts;
            } while (policy.decide(result, now).isRetry);
        }
        return attempts;
    }

    /// Number of attempts at the last of several hops for one call, if all attempts fail. Each hop has its own policy.
    int attemptsAtLastHop(int hops, bool propagateAttempts)
    {
        std::vector<RetryPolicy> policies(static_cast<size_t>(hops), RetryPolicy(withoutBudget(), start));
        int atLastHop = 0;
        std::function<void(int, uint32_t)> call = [&](int hop, uint32_t propagated) {
            if (hop == hops) {
                ++atLastHop;
                return;
            }
            AttemptResult result { ResultCode::UpstreamLost, true, propagateAttempts ? propagated : 0, seconds(1) };
            do {
                ++result.attempts;
                call(hop + 1, result.attempts - 1);
            } while (policies[static_cast<size_t>(hop)].decide(result, start).isRetry);
        };
        call(0, 0);
        return atLastHop;
    }

} // namespace

// Guards against retries that multiply the load of a service that is down: there are at most 3 retries a second plus
// the initial 3 tokens.
TEST(RetryPolicyTest, RetriesOfADeadServiceAreBounded)
{
    EXPECT_LE(attemptsAtDeadService({}), 10'000 + 3 * 10 + 3);
    EXPECT_EQ(attemptsAtDeadService(withoutBudget()), 30'000);
}

// Guards against retries at each hop of a call chain that multiply with those of the hops before (3^7 = 2,187).
TEST(RetryPolicyTest, PropagatedAttemptsBoundRetriesAcrossHops)
{
    EXPECT_LE(attemptsAtLastHop(7, true), 36);
    EXPECT_LE(attemptsAtLastHop(11, true), 78);
    EXPECT_EQ(attemptsAtLastHop(7, false), 2187);
}

// Guards against a second run of a non-idempotent call (I6) and against reporting "not run" for a call that may have
// run (I5), for any sequence of result codes.
RC_GTEST_PROP(RetryPolicyTest, NeverReportsNotRunAfterAPossibleRun, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    RetryPolicyOptions options = withoutBudget();
    options.maxAttempts = 6;
    RetryPolicy policy(options, start);
    auto codes = allResultCodes();
    for (int i = 0; i < 50; ++i) {
        AttemptResult result { ResultCode::Ok, random() % 2 == 0, 0, milliseconds(random() % 200) };
        bool mayHaveRun = false;
        RetryDecision decision;
        do {
            do {
                result.code = codes[random() % codes.size()].code;
            } while (result.code > ResultCode::MalformedAnswer);
            ++result.attempts;
            mayHaveRun |= runState(result.code) == RunState::Unknown;
            decision = policy.decide(result, start);
            if (decision.isRetry) {
                RC_ASSERT(result.isIdempotent || !mayHaveRun);
                RC_ASSERT(decision.delay <= result.remaining);
                RC_ASSERT(result.attempts < 6U);
            }
            result.earlierUnknownCode = decision.code;
        } while (decision.isRetry);
        if (mayHaveRun)
            RC_ASSERT(runState(decision.code) != RunState::NotRun);
        if (result.code == ResultCode::Ok)
            RC_ASSERT(decision.code == ResultCode::Ok);
    }
}

// Checks that the property above does not hold merely because unknown outcomes are never retried.
TEST(RetryPolicyTest, UnprotectedNonIdempotentCallsWouldRunTwice)
{
    AttemptResult nonIdempotent { ResultCode::OwnerLost, false, 1, seconds(1) };
    EXPECT_FALSE(RetryPolicy({}, start).decide(nonIdempotent, start).isRetry);
    RetryPolicyOptions options;
    options.protectNonIdempotent = false;
    EXPECT_TRUE(RetryPolicy(options, start).decide(nonIdempotent, start).isRetry);
    nonIdempotent.code = ResultCode::UpstreamDraining;
    RetryDecision decision = RetryPolicy({}, start).decide(nonIdempotent, start);
    EXPECT_TRUE(decision.isRetry);
    EXPECT_EQ(decision.delay, Duration::zero());
}

// Guards against a service with ten calls a minute that has earned no tokens and cannot retry, and against tokens of
// the guaranteed rate that accumulate over an idle hour.
TEST(RetryPolicyTest, GuaranteedRateAllowsRetriesRightAfterAStart)
{
    RetryBudget budget({}, start);
    TimePoint later = start + std::chrono::hours(1);
    for (TimePoint now : { start, later }) {
        for (int i = 0; i < 3; ++i)
            EXPECT_TRUE(budget.tryWithdraw(now));
        EXPECT_FALSE(budget.tryWithdraw(now));
    }
    for (int i = 0; i < 100; ++i)
        budget.recordSuccess();
    EXPECT_NEAR(budget.available(later), 10, 1e-6);
}

// Guards against a retry that could not finish before the deadline.
TEST(RetryPolicyTest, NoRetryWithoutTime)
{
    RetryPolicy policy({}, start);
    AttemptResult result { ResultCode::QueueFull, true, 1, Duration(1000) };
    RetryDecision decision = policy.decide(result, start);
    EXPECT_FALSE(decision.isRetry);
    EXPECT_EQ(decision.code, ResultCode::QueueFull);
}

// Guards against hedging of non-idempotent calls, early hedges that double the load, and hedges beyond the budget.
TEST(RetryPolicyTest, HedgesLateAndWithinTheBudget)
{
    RetryPolicy policy({}, start);
    EXPECT_FALSE(policy.hedgeDelay(true, seconds(1)));
    std::mt19937_64 random(7);
    for (int i = 0; i < 1000; ++i)
        policy.recordSuccess(std::chrono::microseconds(1000 + random() % 9000));
    std::optional<Duration> delay = policy.hedgeDelay(true, seconds(1));
    ASSERT_TRUE(delay);
    EXPECT_GT(*delay, milliseconds(9));
    EXPECT_LT(*delay, milliseconds(11));
    EXPECT_FALSE(policy.hedgeDelay(false, seconds(1)));
    EXPECT_FALSE(policy.hedgeDelay(true, milliseconds(12)));
    int hedges = 0;
    while (policy.tryHedge(start))
        ++hedges;
    // A thousand tenths of a token add up to slightly less than 100.
    EXPECT_GE(hedges, 99 + 3);
    EXPECT_LE(hedges, 100 + 3);

    RetryPolicyOptions off;
    off.hedgingEnabled = false;
    RetryPolicy withoutHedging(off, start);
    for (int i = 0; i < 1000; ++i)
        withoutHedging.recordSuccess(milliseconds(1));
    EXPECT_FALSE(withoutHedging.hedgeDelay(true, seconds(1)));
    EXPECT_FALSE(withoutHedging.tryHedge(start));
}

// Guards against a quantile that is off by more than a bucket, compared with sorting all samples.
RC_GTEST_PROP(RetryPolicyTest, SketchMatchesSortedSamples, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    std::lognormal_distribution<double> distribution(15, 1.5);
    LatencySketch sketch;
    std::vector<Duration> samples;
    for (uint64_t i = 0; i < 50 + seed % 2000; ++i) {
        samples.emplace_back(1000 + static_cast<int64_t>(distribution(random)));
        sketch.record(samples.back());
    }
    std::sort(samples.begin(), samples.end());
    auto rank = static_cast<size_t>(std::ceil(0.95 * static_cast<double>(samples.size())));
    double ratio = static_cast<double>(sketch.quantile(0.95)->count()) / static_cast<double>(samples[rank - 1].count());
    RC_ASSERT(ratio >= 0.9999);
    RC_ASSERT(ratio <= 1.092);
}

// While redirects hardly ever succeed, a call tries only one owner. Guards against refusing a call because that owner
// is draining, is shutting down or has another upstream by now: only refusals for lack of capacity count.
TEST(RetryPolicyTest, OnlyLackOfCapacityLimitsRedirects)
{
    EXPECT_TRUE(isCapacityRefusal(ResultCode::QueueFull));
    EXPECT_TRUE(isCapacityRefusal(ResultCode::WouldMissDeadline));
    for (ResultCode code : { ResultCode::UpstreamDraining, ResultCode::DaemonLeaving, ResultCode::UpstreamChanged,
             ResultCode::OwnerUnreachable, ResultCode::UpstreamUnreachable })
        EXPECT_FALSE(isCapacityRefusal(code));
}

} // namespace dragonflylane
