#pragma once

// Log of the entry daemon about failed attempts and about calls that were refused, failed or cancelled. Lines
// about attempts and lines about calls are rate-limited separately; the field left_out of the next line is the number
// of suppressed ones.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/LogRateLimiter.h"
#include "dragonflylane/ResultCode.h"

namespace dragonflylane {

struct EntryAttempt;
struct EntryCall;

class CallLog {
public:
    /// One attempt failed; willRetry states whether another one follows.
    void attemptFailed(const EntryCall&, const EntryAttempt&, ResultCode, bool willRetry, TimePoint now);
    /// The daemon refused the call with a response of its own.
    void refused(const EntryCall&, ResultCode, Duration retryAfter, Revision);
    /// The upstream answered with an error, which is passed on to the caller.
    void failedAtUpstream(const EntryCall&, unsigned status, Revision);
    /// The caller cancelled the call or closed its connection.
    void cancelled(const EntryCall&);

private:
    LogRateLimiter m_attemptLimiter;
    LogRateLimiter m_callLimiter;
};

} // namespace dragonflylane
