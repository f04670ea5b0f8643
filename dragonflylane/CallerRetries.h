#pragma once

// Retries by callers whose calls an entry daemon has refused: when they should come, and recognising them.

#include "dragonflylane/RefusedCalls.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/RetryAfterPolicy.h"

namespace dragonflylane {

class Metrics;
struct EntryCall;

class CallerRetries {
public:
    explicit CallerRetries(Metrics&);

    /// Sets when the caller's first attempt was received and how often it was refused. The target latency counts from
    /// the first attempt.
    void recognise(EntryCall&);
    /// Records that a call is refused. Returns its Retry-After; zero if the caller should not retry. The policy is that
    /// of the call's service, or null if the service is not known.
    Duration refuse(const EntryCall&, ResultCode, RetryAfterPolicy*, TimePoint now);

private:
    Duration retryAfter(const EntryCall&, ResultCode, RetryAfterPolicy*, TimePoint now);

    Metrics& m_metrics;
    RefusedCalls m_refusedCalls;
    /// For calls whose service is not known.
    RetryAfterPolicy m_defaultPolicy;
};

} // namespace dragonflylane
