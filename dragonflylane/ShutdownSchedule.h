#pragma once

// Schedule of the graceful shutdown of a daemon.
//
// Designed for a rolling restart of daemons whose upstreams stay up. An upstream can be reached only through its
// daemon, so while a daemon that is shutting down refuses requests of its peers, the upstream is out of service. The
// daemon must stay up anyway until its callers have noticed the shutdown, because they are redirected only then. So it
// serves its upstream meanwhile.

#include "dragonflylane/BootClock.h"

#include <algorithm>

namespace dragonflylane {

struct ShutdownOptions {
    /// Maximum duration of the shutdown: the process exits by then.
    Duration limit;
    /// Time that callers and readiness checks need to notice the shutdown (setting leave-notice-s).
    Duration notice;
};

/// Times since the termination signal.
struct ShutdownSchedule {
    /// The daemon announces that its upstream accepts no new requests.
    Duration announceDrainAt;
    /// New requests of peers are refused.
    Duration refuseRequestsAt;
    /// Callers have noticed the shutdown, so the process exits as soon as no request is in flight.
    Duration exitWhenIdleAt;
    /// Requests that are still in flight get a final answer, and new ones are refused.
    Duration abortAt;
    /// The process exits, even if not every answer has been written.
    Duration exitAt;

    explicit constexpr ShutdownSchedule(const ShutdownOptions& options)
        : exitWhenIdleAt(std::max<Duration>(options.notice, propagationTime))
        , abortAt(options.limit - exitTime)
        , exitAt(abortAt + answerTime)
    {
        announceDrainAt
            = std::max(std::min(exitWhenIdleAt - propagationTime, options.limit / acceptDivisor), Duration::zero());
        refuseRequestsAt = announceDrainAt + propagationTime;
    }

private:
    // Time for the announcement to reach the entry daemons before their requests are refused.
    static constexpr std::chrono::milliseconds propagationTime { 500 };
    // Requests are aborted this long before the limit, at which the process would be killed.
    static constexpr std::chrono::milliseconds exitTime { 300 };
    // Time to write the answers of the aborted requests.
    static constexpr std::chrono::milliseconds answerTime { 200 };
    // The announcement is sent after at most a third of the limit, so that the longest requests finish in the rest.
    static constexpr int acceptDivisor = 3;
};

} // namespace dragonflylane
