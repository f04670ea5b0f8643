#pragma once

// Success rate of redirects for one service at one entry daemon. A redirect sends a call to another owner after one has
// refused it.
//
//     RedirectSuccessRate redirects(options);
//     redirects.record(wasAccepted, now);       // result of one redirect
//     if (redirects.isWorthwhile(now)) ...      // redirect the next refused call
//
// Prevents the following failure mode. Every owner of a small service is full. Each call tries four of them in turn, so
// they get four times the requests, and their links and processors are busy with refusals; even accepted calls are
// late. While hardly any redirect succeeds, it is better to queue a call at the first owner or to refuse it there.
//
// Keeps an exponentially weighted success rate. Without samples it returns towards one, since only another attempt can
// show that there is free capacity again. All operations are O(1).

#include "dragonflylane/BootClock.h"

namespace dragonflylane {

struct RedirectSuccessRateOptions {
    /// Weight of the latest redirect.
    double weight { 0.1 };
    /// Redirects are made while their success rate is at least this.
    double minSuccessRate { 0.6 };
    /// Without samples, the failure rate (1 - success rate) halves in this time.
    Duration halfLife { std::chrono::seconds(1) };
};

class RedirectSuccessRate {
public:
    explicit RedirectSuccessRate(RedirectSuccessRateOptions options = {});

    void record(bool wasAccepted, TimePoint now);
    bool isWorthwhile(TimePoint now) const { return successRate(now) >= m_options.minSuccessRate; }
    double successRate(TimePoint now) const;

private:
    RedirectSuccessRateOptions m_options;
    double m_successRate { 1 };
    TimePoint m_updatedAt;
};

} // namespace dragonflylane
