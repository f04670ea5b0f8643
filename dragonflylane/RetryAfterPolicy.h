#pragma once

// When callers whose requests were refused should retry, for one service at one entry daemon.
//
//     RetryAfterPolicy policy(options);
//     policy.recordServed(now);                                             // a call of the service was answered
//     Duration retryAfter = policy.schedule({ expectedWait, left }, now);   // Retry-After of a refused call
//
// Prevents the following failure mode. A service is full for a second, and all callers that were refused are told to
// retry as soon as its queue has room. They return together, most are refused again, and each refusal costs time until
// their deadlines.
//
// Each refused call gets a place behind those that were refused before it. The places are one interval apart in which
// this daemon has recently had one call of the service served, so the callers return no faster than they can be served.
// A place is never later than a share of the time until the caller's deadline, since callers do not wait longer.
//
// All operations are O(1).

#include "dragonflylane/BootClock.h"

#include <functional>
#include <optional>

namespace dragonflylane {

struct RetryAfterPolicyOptions {
    /// Half-life of the count of served calls, from which the interval between two places is computed.
    Duration rateHalfLife { std::chrono::seconds(1) };
    /// Lower bound of Retry-After, unless the caller's deadline is near.
    Duration minRetryAfter { std::chrono::milliseconds(20) };
    /// Upper bound of Retry-After in percent of the time until the caller's deadline. A later retry would leave too
    /// little time to serve the call.
    int maxPercentOfTimeLeft { 30 };
    /// Share of an interval by which places are varied, so that different daemons' callers do not return in step.
    double jitter { 0.25 };
    /// Random number in [0, 1).
    std::function<double()> random { [] { return 0.5; } };
};

/// A call that was refused and did not run.
struct RefusedAttempt {
    /// Expected time until the service has capacity; empty if nothing is known, for example while the owner daemon
    /// cannot be reached.
    std::optional<Duration> expectedWait;
    /// Time until the caller's deadline.
    Duration left { 0 };
};

class RetryAfterPolicy {
public:
    explicit RetryAfterPolicy(RetryAfterPolicyOptions options = {});

    void recordServed(TimePoint now);
    /// Retry-After for the caller; zero if it has no time left.
    Duration schedule(const RefusedAttempt&, TimePoint now);

private:
    /// Mean time between two served calls; empty if none was served recently.
    std::optional<Duration> servedInterval(TimePoint now) const;
    double servedCount(TimePoint now) const;

    RetryAfterPolicyOptions m_options;
    /// Calls served, with exponential decay.
    double m_servedCount { 0 };
    TimePoint m_servedCountUpdatedAt;
    /// The latest place that was given to a caller.
    TimePoint m_latestPlace;
};

} // namespace dragonflylane
