#pragma once

// Budget that bounds the retries and hedges of one called service at one daemon. Two forms:
//  * Tokens: a share of the successes plus a floor per second, so that a service with few calls can retry right after a
//    start.
//  * Window, if the options state one: in any window, the retries stay within a ratio of the requests plus a slack. The
//    bound is linear, so daemons that divide the slack among them keep it together without any messages.

#include "dragonflylane/BootClock.h"

#include <array>
#include <cstdint>

namespace dragonflylane {

struct RetryBudgetOptions {
    /// Tokens earned by one success.
    double perSuccess { 0.1 };
    /// Most tokens that successes can save up.
    double maxEarned { 100 };
    /// Tokens that are granted each second without any success; at most one second's worth is saved up.
    double floorPerSecond { 3 };

    /// Length of the sliding window; zero selects the token form.
    Duration window { 0 };
    /// Retries for each request in the window.
    double ratio { 0 };
    /// Retries in the window beyond the ratio, for this daemon alone.
    double slack { 0 };

    /// Switch that disables the budget for a test.
    bool isEnabled { true };
};

class RetryBudget {
public:
    RetryBudget(RetryBudgetOptions, TimePoint now);

    /// A first attempt is made.
    void recordRequest(TimePoint now);
    void recordSuccess();
    /// This daemon's part of the slack, which changes with the number of daemons.
    void setSlack(double slack) { m_options.slack = slack; }
    /// Takes one token, from the floor first. False if there is none.
    bool tryWithdraw(TimePoint now);
    double available(TimePoint now) const;

private:
    /// The window is counted in this many steps, plus the one in progress.
    static constexpr int64_t steps = 20;

    struct Step {
        int64_t number { -1 };
        uint32_t requests { 0 };
        uint32_t retries { 0 };
    };

    double floorTokens(TimePoint now) const;
    Step& currentStep(TimePoint now);
    double windowTokens(TimePoint now) const;

    RetryBudgetOptions m_options;
    double m_earned { 0 };
    double m_floor { 0 };
    TimePoint m_floorAt;
    std::array<Step, steps + 1> m_steps {};
};

} // namespace dragonflylane
