#pragma once

// Token budget that bounds the retries and hedges of one called service: a share of the successes plus a floor per
// second, so that a service with few calls can retry right after a start.

#include "dragonflylane/BootClock.h"

namespace dragonflylane {

struct RetryBudgetOptions {
    /// Tokens earned by one success.
    double perSuccess { 0.1 };
    /// Most tokens that successes can save up.
    double maxEarned { 100 };
    /// Tokens that are granted each second without any success; at most one second's worth is saved up.
    double floorPerSecond { 3 };

    /// Switch that disables the budget for a test.
    bool isEnabled { true };
};

class RetryBudget {
public:
    RetryBudget(RetryBudgetOptions, TimePoint now);

    void recordSuccess();
    /// Takes one token, from the floor first. False if there is none.
    bool tryWithdraw(TimePoint now);
    double available(TimePoint now) const;

private:
    double floorTokens(TimePoint now) const;

    RetryBudgetOptions m_options;
    double m_earned { 0 };
    double m_floor { 0 };
    TimePoint m_floorAt;
};

} // namespace dragonflylane
