#include "dragonflylane/CallLog.h"

#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/EntryCall.h"
#include "dragonflylane/Event.h"

namespace dragonflylane {

namespace {

    int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    struct Response {
        const char* event;
        ResultCode code;
        unsigned status;
        Duration retryAfter;
        Revision revision;
        uint64_t suppressed;
    };

    void write(const EntryCall& call, const Response& response, TimePoint now)
    {
        Event(response.event)
            .with("request", call.requestId)
            .with("service", call.serviceName)
            .with("tenant", call.tenant)
            .with("code", name(response.code))
            .with("status", response.status)
            .with("run", runState(response.code) == RunState::NotRun ? "not-run" : "unknown")
            .with("after_ms", milliseconds(now - call.exchange->received()))
            .with("left_ms", milliseconds(call.callerDeadline - now))
            .with("arrivals", call.upstreamAttempts)
            .with("redirects", call.redirects)
            .with("retry_after_ms", milliseconds(response.retryAfter))
            .with("revision", response.revision)
            .with("left_out", response.suppressed);
    }

} // namespace

void CallLog::attemptFailed(
    const EntryCall& call, const EntryAttempt& done, ResultCode code, bool willRetry, TimePoint now)
{
    auto line = m_attemptLimiter.admit(now);
    if (!line)
        return;
    Event("call_attempt_failed")
        .with("request", call.requestId)
        .with("service", call.serviceName)
        .with("owner", done.choice.owner)
        .with("upstream", done.choice.upstream)
        .with("code", name(code))
        .with("took_ms", milliseconds(now - done.startedAt))
        .with("arrivals", call.upstreamAttempts)
        .with("redirects", call.redirects)
        .with("again", static_cast<int>(willRetry))
        .with("left_out", line->suppressed);
}

void CallLog::refused(const EntryCall& call, ResultCode code, Duration retryAfter, Revision revision)
{
    TimePoint now = BootClock::now();
    if (auto line = m_callLimiter.admit(now))
        write(call, { "call_refused", code, httpStatus(code), retryAfter, revision, line->suppressed }, now);
}

void CallLog::failedAtUpstream(const EntryCall& call, unsigned status, Revision revision)
{
    TimePoint now = BootClock::now();
    if (auto line = m_callLimiter.admit(now))
        write(call, { "call_failed_at_upstream", ResultCode::Ok, status, {}, revision, line->suppressed }, now);
}

void CallLog::cancelled(const EntryCall& call)
{
    TimePoint now = BootClock::now();
    auto line = m_callLimiter.admit(now);
    if (!line)
        return;
    Event("call_cancelled")
        .with("request", call.requestId)
        .with("service", call.serviceName)
        .with("after_ms", milliseconds(now - call.exchange->received()))
        .with("open_attempts", call.open.size())
        .with("left_out", line->suppressed);
}

} // namespace dragonflylane
