#pragma once

// Limits the retries and hedges of one called service at one daemon. There are two modes:
//  * Token bucket: each success earns a fraction of a token. In addition some tokens are granted each second, so that a
//    service with few calls can retry right after a start.
//  * Sliding window, if the options set one: in any window, retries <= ratio * requests + slack. This bound is linear.
//    If the daemons divide the slack among them, it therefore holds for their sum without any coordination.

#include "dragonflylane/BootClock.h"

#include <array>
#include <cstdint>

namespace dragonflylane {

struct RetryBudgetOptions {
    /// Tokens earned by one success.
    double perSuccess { 0.1 };
    /// Maximum number of tokens earned by successes that are kept.
    double maxEarned { 100 };
    /// Tokens that are granted each second without any success; at most one second's worth is kept.
    double guaranteedPerSecond { 3 };

    /// Length of the sliding window; zero selects the token bucket.
    Duration window { 0 };
    /// Retries allowed per request in the window.
    double ratio { 0 };
    /// Additional retries allowed in the window, for this daemon alone.
    double slack { 0 };

    /// Switch that disables the budget for a test.
    bool isEnabled { true };
};

class RetryBudget {
public:
    RetryBudget(RetryBudgetOptions, TimePoint now);

    /// Records the first attempt of a call.
    void recordRequest(TimePoint now);
    void recordSuccess();
    /// Sets this daemon's part of the slack, which changes with the number of daemons.
    void setSlack(double slack) { m_options.slack = slack; }
    /// Withdraws one token, of the guaranteed rate first. False if there is none.
    bool tryWithdraw(TimePoint now);
    double available(TimePoint now) const;

private:
    /// The window is divided into this many buckets. One more is kept for the bucket in progress.
    static constexpr int64_t bucketCount = 20;

    struct Bucket {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };

    double guaranteedTokens(TimePoint now) const;
    Bucket& currentBucket(TimePoint now);
    double windowTokens(TimePoint now) const;

    RetryBudgetOptions m_options;
    double m_earned { 0 };
    double m_guaranteed { 0 };
    TimePoint m_guaranteedAt;
    std::array<Bucket, bucketCount + 1> m_buckets {};
};

} // namespace dragonflylane
