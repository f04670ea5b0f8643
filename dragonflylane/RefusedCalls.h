#pragma once

// Recognises retries by callers whose earlier attempts were refused, at one entry daemon.
//
//     RefusedCalls refused(options);
//     refused.recordRefusal(fingerprint, received, deadline, now);
//     std::optional<TimePoint> first = refused.matchRetry(fingerprint, now);    // when its first attempt was received
//
// Prevents the following failure mode. An overloaded service refuses half of its calls, and their callers retry. Each
// retry looks like a new call with its whole target time left, so it is queued for longer than its caller will wait and
// displaces a call that could still be served in time. A caller retries through the daemon of its own host, so the
// fingerprint of the request identifies the attempts of one caller. Equal requests of several callers are only counted;
// their ages may be mixed up, which is harmless.
//
// Bounded: the oldest refusals are evicted first. All operations are O(log n).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace dragonflylane {

struct RefusedCallsOptions {
    size_t maxCalls { 4096 };
};

class RefusedCalls {
public:
    explicit RefusedCalls(RefusedCallsOptions options = {})
        : m_options(options)
    {
    }

    /// Records that a call was refused with a request to retry later. The entry expires at the deadline of the caller.
    void recordRefusal(Fingerprint, TimePoint firstReceived, TimePoint callerDeadline, TimePoint now);
    /// If this request is a retry of a call that was refused here, returns when the first attempt of that call was
    /// received and removes the entry.
    std::optional<TimePoint> matchRetry(Fingerprint, TimePoint now);
    size_t size() const { return m_calls.size(); }

private:
    struct Call {
        TimePoint firstReceived;
        TimePoint deadline;
    };
    struct Refusal {
        Fingerprint fingerprint;
        TimePoint firstReceived;
    };
    using Calls = std::multimap<Fingerprint, Call>;

    void evict(TimePoint now);

    RefusedCallsOptions m_options;
    Calls m_calls;
    /// In order of the refusals; may contain entries that are no longer in m_calls.
    std::deque<Refusal> m_order;
};

} // namespace dragonflylane
