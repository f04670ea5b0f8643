#include "dragonflylane/CallerRetries.h"

#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/EntryCall.h"
#include "dragonflylane/Metrics.h"

namespace dragonflylane {

namespace {

    constexpr unsigned statusServiceUnavailable = 503;

    // While this daemon may not serve routes, or while the owner daemon cannot be reached, nobody knows when there will
    // be capacity.
    bool isWaitUnknown(ResultCode code)
    {
        return code == ResultCode::ConfigNotProven || code == ResultCode::OwnerUnreachable;
    }

} // namespace

CallerRetries::CallerRetries(Metrics& metrics)
    : m_metrics(metrics)
{
}

void CallerRetries::recognise(EntryCall& call)
{
    TimePoint received = call.exchange->received();
    call.firstReceived = received;
    auto earlier = m_refusedCalls.matchRetry(call.fingerprint, received);
    if (!earlier)
        return;
    m_metrics.add("calls_returned");
    call.firstReceived = earlier->firstReceived;
    call.earlierRefusals = earlier->refusals;
    call.target -= received - call.firstReceived;
}

Duration CallerRetries::refuse(const EntryCall& call, ResultCode code, RetryAfterPolicy* policy, TimePoint now)
{
    if (call.earlierRefusals > 0)
        m_metrics.add("calls_refused_again");
    Duration delay = retryAfter(call, code, policy, now);
    bool isRecognisable = call.firstReceived != TimePoint();
    if (delay > Duration::zero() && isRecognisable)
        m_refusedCalls.recordRefusal(call.fingerprint,
            { .firstReceived = call.firstReceived, .refusals = call.earlierRefusals + 1 }, call.callerDeadline, now);
    return delay;
}

Duration CallerRetries::retryAfter(const EntryCall& call, ResultCode code, RetryAfterPolicy* policy, TimePoint now)
{
    // Exact, since it depends on the tenant alone.
    if (code == ResultCode::AllotmentExceeded)
        return call.retryAfter;
    bool mayRetry = runState(code) == RunState::NotRun && httpStatus(code) == statusServiceUnavailable;
    if (!mayRetry)
        return Duration::zero();
    RefusedAttempt attempt { .left = call.callerDeadline - now };
    if (!isWaitUnknown(code))
        attempt.expectedWait = call.retryAfter;
    return (policy ? *policy : m_defaultPolicy).schedule(attempt, now);
}

} // namespace dragonflylane
