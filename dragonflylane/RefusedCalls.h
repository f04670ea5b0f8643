#pragma once

// Recognises retries by callers whose earlier attempts were refused, at one entry daemon.
//
//     RefusedCalls refused(options);
//     refused.recordRefusal(fingerprint, { .firstReceived = received, .refusals = 1 }, deadline, now);
//     std::optional<EarlierAttempts> earlier = refused.matchRetry(fingerprint, now);
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
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace dragonflylane {

struct RefusedCallsOptions {
    size_t maxCalls { 4096 };
};

/// The attempts of one caller that were refused.
struct EarlierAttempts {
    /// When the first attempt was received.
    TimePoint firstReceived;
    uint32_t refusals { 0 };

    bool operator==(const EarlierAttempts&) const = default;
};

class RefusedCalls {
public:
    explicit RefusedCalls(RefusedCallsOptions options = {})
        : m_options(options)
    {
    }

    /// Records that a call was refused with a request to retry later. The entry expires at the deadline of the caller.
    void recordRefusal(Fingerprint, const EarlierAttempts&, TimePoint callerDeadline, TimePoint now);
    /// If this request is a retry of a call that was refused here, returns the earlier attempts of that call and
    /// removes the entry.
    std::optional<EarlierAttempts> matchRetry(Fingerprint, TimePoint now);
    size_t size() const { return m_calls.size(); }

private:
    struct Call {
        EarlierAttempts attempts;
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
