#pragma once

// Decides after each attempt of a call whether to retry it (docs/design.md, 5.2). One policy per called service.
//
//     RetryDecision decision = policy.decide({ .code = code, .isIdempotent = idempotent, .attempts = 1,
//                                              .remaining = remaining }, now);
//     if (decision.isRetry)  // choose another upstream after decision.delay
//     else                   // answer the caller with decision.code
//
// An idempotent call is retried within its retry budget, deadline and maximum number of attempts. A non-idempotent call
// is retried only if every attempt so far certainly did not run (invariant I6). The final code means "not run" only if
// no attempt ran (invariant I5).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/LatencySketch.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/RetryBudget.h"

#include <cstdint>
#include <optional>
#include <random>

namespace dragonflylane {

/// One finished attempt of a call.
struct AttemptResult {
    ResultCode code { ResultCode::Ok };
    bool isIdempotent { false };
    /// Attempts of this call so far. A caller that sets hasReachedUpstream must not count refusals by owner daemons.
    uint32_t attempts { 1 };
    /// Time left until the deadline of the call.
    Duration remaining { 0 };
    /// Code of an earlier attempt whose outcome is unknown; Ok if there was none.
    ResultCode earlierUnknownCode { ResultCode::Ok };
    /// Maximum number of attempts for this service; zero selects RetryPolicyOptions::maxAttempts.
    uint32_t maxAttempts { 0 };
    /// Some attempt of this call has reached an upstream. Until then another owner may be tried regardless of the
    /// number of attempts and the budget, since the upstreams get no additional requests.
    bool hasReachedUpstream { true };
};

struct RetryDecision {
    bool isRetry { false };
    /// Wait before the next attempt.
    Duration delay { 0 };
    /// The final code if no retry is made; otherwise the value of earlierUnknownCode for the next attempt.
    ResultCode code { ResultCode::Ok };
};

struct RetryPolicyOptions {
    RetryBudgetOptions budget;
    uint32_t maxAttempts { 3 };
    /// Full-jitter exponential backoff after failures. A refusal by one owner is retried elsewhere without delay.
    Duration firstDelay { std::chrono::milliseconds(5) };
    Duration maxDelay { std::chrono::milliseconds(100) };
    /// No retry is made if less time than this would be left after the delay.
    Duration minRemaining { std::chrono::milliseconds(1) };
    /// A call is hedged once it takes longer than this quantile of the latency.
    double hedgeQuantile { 0.95 };
    uint64_t seed { 1 };

    // Switches that disable a mechanism for a test.
    bool hedgingEnabled { true };
    bool protectNonIdempotent { true };
};

class RetryPolicy {
public:
    RetryPolicy(RetryPolicyOptions, TimePoint now);

    /// Withdraws a token from the budget if the decision is a retry. Retries before any attempt has reached an upstream
    /// are free.
    RetryDecision decide(const AttemptResult&, TimePoint now);
    /// Records the latency of an attempt that the upstream answered.
    void recordSuccess(Duration latency);
    /// When to hedge an idempotent call (send a second copy), counted from the start of the first attempt. Empty if the
    /// latency is not known yet or the second copy could not finish before the deadline.
    std::optional<Duration> hedgeDelay(bool isIdempotent, Duration remaining) const;
    /// Call this when the hedge delay has passed without a response. Withdraws a token from the budget; false if there
    /// is none.
    bool tryHedge(TimePoint now);

    const RetryBudget& budget() const { return m_budget; }
    RetryBudget& budget() { return m_budget; }

private:
    bool mayRunAgain(const AttemptResult&) const;
    Duration backoff(const AttemptResult&);
    void refreshHedgeDelay();

    RetryPolicyOptions m_options;
    RetryBudget m_budget;
    LatencySketch m_latency;
    std::optional<Duration> m_hedgeDelay;
    uint32_t m_samplesUntilRefresh { 0 };
    std::mt19937_64 m_random;
};

/// True for codes after which another upstream may succeed.
bool isRetriable(ResultCode);

/// True if the owner refused for lack of capacity. Redirects after such refusals are limited (RedirectSuccessRate);
/// after other refusals they are not, since those depend on the owner and not on the load of the service.
bool isCapacityRefusal(ResultCode);

/// True if a call was refused for lack of capacity or not served in time.
bool isLackOfCapacity(ResultCode);

} // namespace dragonflylane
