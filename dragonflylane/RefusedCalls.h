#pragma once

// Recognises callers that come back after a refusal, at one entry daemon.
//
//     RefusedCalls refused(options);
//     refused.noteRefusal(fingerprint, received, deadline, now);
//     std::optional<TimePoint> first = refused.takeReturn(fingerprint, now);    // when its first try was received
//
// Pattern: an overloaded service refuses half of its calls, and their callers come back. Each try looks like a new call
// that has its whole target time, so it is queued for longer than its caller has, and takes the place of one that could
// still be served in time. A caller sends its request again through the daemon of its own host, so the fingerprint of
// the request tells the tries of one caller. Equal requests of several callers are told apart by count only; their ages
// may then be exchanged, which does no harm.
//
// Bounded: the oldest refusals are forgotten first. O(log n).

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

    /// A call whose first try was received then is told to come back. It is forgotten when its caller has given up.
    void noteRefusal(Fingerprint, TimePoint firstReceived, TimePoint callerDeadline, TimePoint now);
    /// The first try of the call that this request repeats, if it was refused here. Each refusal is taken once.
    std::optional<TimePoint> takeReturn(Fingerprint, TimePoint now);
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

    void forgetExpired(TimePoint now);

    RefusedCallsOptions m_options;
    Calls m_calls;
    /// In the order of the refusals, with those that have been taken.
    std::deque<Refusal> m_order;
};

} // namespace dragonflylane
