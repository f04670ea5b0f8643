#pragma once

// Estimates the queueing delay of responses at the network link of this host, for admission.
//
//     ResponseDelayEstimator estimator(pacer);
//     estimator.expectedDelay(routeKey, serviceTime, now);     // how long the response of such a call would wait
//     estimator.started(id, routeKey, serviceTime);
//     estimator.finished(id, responseBytes);
//
// Prevents the following failure mode. A service with few upstreams on hosts with slow links has free slots, but its
// link is saturated by responses. An owner that considers only slots admits calls whose responses will be late, and
// these delay the responses of every other call to that host.

#include "dragonflylane/LinkPacer.h"

#include <unordered_map>

namespace dragonflylane {

class ResponseDelayEstimator {
public:
    explicit ResponseDelayEstimator(const LinkPacer& pacer)
        : m_pacer(pacer)
    {
    }

    /// Time until the data that is queued for the link now has been sent.
    Duration backlog(TimePoint now) const { return m_pacer.isLimited() ? m_pacer.delay(now) : Duration::zero(); }
    /// Expected time that the response of a call which starts now waits for the link. During its service time the link
    /// sends what is queued, and the responses of running calls are added. O(running calls).
    Duration expectedDelay(uint64_t routeKey, Duration serviceTime, TimePoint now) const;
    void started(uint64_t id, uint64_t routeKey, Duration serviceTime);
    /// Ends a call with a response of this size, or without one (zero). Unknown ids are ignored.
    void finished(uint64_t id, size_t responseBytes);

private:
    struct RunningCall {
        uint64_t routeKey { 0 };
        Duration serviceTime;
        size_t expectedBytes { 0 };
    };

    size_t expectedBytes(uint64_t routeKey) const;
    /// Expected bytes of the responses of running calls within the given time, not counting responses above a size.
    double bytesWithin(Duration, size_t largest) const;

    const LinkPacer& m_pacer;
    /// Mean size of the responses, by route key.
    std::unordered_map<uint64_t, double> m_meanBytes;
    std::unordered_map<uint64_t, RunningCall> m_running;
};

} // namespace dragonflylane
