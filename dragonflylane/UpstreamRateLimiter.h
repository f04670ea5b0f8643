#pragma once

// Keeps the requests to one upstream within the rate that it states. The owner daemon sends every request to its
// upstream, so its limiter alone bounds what the upstream gets from all daemons together.
//
//     limiter.setLimit(RequestRate { 40 }, now);
//     if (limiter.maySend(now))
//         limiter.recordSent(now);          // for each request, also while there is no limit
//     else
//         limiter.wait(ahead, now);         // time until the request can be sent
//
// Requests are spaced by the inverse of the rate, and a few may be sent at once after a pause (generic cell rate
// algorithm). All operations are O(1).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/RequestRate.h"

#include <cstddef>
#include <optional>

namespace dragonflylane {

struct UpstreamRateLimiterOptions {
    /// As many requests as the upstream accepts in this time may be sent at once, but at least one.
    Duration burst { std::chrono::milliseconds(250) };
    /// A lower limit is raised to this rate, since only a response shows that the upstream no longer states it.
    RequestRate minLimit { 0.5 };
};

class UpstreamRateLimiter {
public:
    explicit UpstreamRateLimiter(UpstreamRateLimiterOptions options = {})
        : m_options(options)
    {
    }

    /// Empty: no limit.
    void setLimit(std::optional<RequestRate>, TimePoint now);
    bool isLimited() const { return m_interval > Duration::zero(); }
    bool maySend(TimePoint now) const { return wait(0, now) == Duration::zero(); }
    /// When maySend() becomes true if nothing is sent before; in the past if it is true already.
    TimePoint nextSend() const { return isLimited() ? m_nextAt - m_tolerance : TimePoint(); }
    void recordSent(TimePoint now);
    /// Time until a request can be sent, with this many others to be sent before it.
    Duration wait(size_t ahead, TimePoint now) const;

private:
    UpstreamRateLimiterOptions m_options;
    /// Time between two requests at the limit; zero without a limit.
    Duration m_interval { 0 };
    /// How much earlier than m_nextAt a request may be sent.
    Duration m_tolerance { 0 };
    /// When the next request would be sent if all were spaced evenly.
    TimePoint m_nextAt;
};

} // namespace dragonflylane
