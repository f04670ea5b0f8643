#include "dragonflylane/RetryPolicy.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    constexpr uint32_t hedgeRefreshSamples = 64;

    bool hasNotRun(ResultCode code)
    {
        return runState(code) == RunState::NotRun;
    }

    bool hasUnknownOutcome(ResultCode code)
    {
        return runState(code) == RunState::Unknown;
    }

} // namespace

RetryPolicy::RetryPolicy(RetryPolicyOptions options, TimePoint now)
    : m_options(options)
    , m_budget(options.budget, now)
    , m_random(options.seed)
{
}

RetryDecision RetryPolicy::decide(const AttemptResult& attempt, TimePoint now)
{
    // One attempt with an unknown outcome makes the outcome of the whole call unknown (invariant I5).
    bool mayHaveRun = attempt.earlierUnknownCode != ResultCode::Ok;
    ResultCode finalCode = hasNotRun(attempt.code) && mayHaveRun ? attempt.earlierUnknownCode : attempt.code;
    RetryDecision noRetry { false, Duration::zero(), finalCode };

    uint32_t maxAttempts = attempt.maxAttempts == 0 ? m_options.maxAttempts : attempt.maxAttempts;
    bool isExhausted = attempt.hasReachedUpstream && attempt.attempts >= maxAttempts;
    if (!isRetriable(attempt.code) || !mayRunAgain(attempt) || isExhausted)
        return noRetry;
    if (!attempt.hasReachedUpstream && attempt.remaining >= m_options.minRemaining)
        return { true, Duration::zero(), attempt.earlierUnknownCode };
    Duration delay = backoff(attempt);
    if (attempt.remaining < delay + m_options.minRemaining)
        return noRetry;
    if (!m_budget.tryWithdraw(now)) {
        if (hasNotRun(finalCode))
            noRetry.code = ResultCode::RetryBudgetExhausted;
        return noRetry;
    }
    return { true, delay, hasUnknownOutcome(attempt.code) ? attempt.code : attempt.earlierUnknownCode };
}

void RetryPolicy::recordSuccess(Duration latency)
{
    m_budget.recordSuccess();
    m_latency.record(latency);
    if (m_samplesUntilRefresh > 0) {
        --m_samplesUntilRefresh;
        return;
    }
    refreshHedgeDelay();
}

std::optional<Duration> RetryPolicy::hedgeDelay(bool isIdempotent, Duration remaining) const
{
    if (!m_options.hedgingEnabled || !isIdempotent || !m_hedgeDelay)
        return std::nullopt;
    // The second copy needs about as long as the first one was expected to take.
    if (remaining < 2 * *m_hedgeDelay)
        return std::nullopt;
    return m_hedgeDelay;
}

bool RetryPolicy::tryHedge(TimePoint now)
{
    return m_options.hedgingEnabled && m_budget.tryWithdraw(now);
}

bool RetryPolicy::mayRunAgain(const AttemptResult& attempt) const
{
    if (attempt.isIdempotent || !m_options.protectNonIdempotent)
        return true;
    return hasNotRun(attempt.code) && attempt.earlierUnknownCode == ResultCode::Ok;
}

Duration RetryPolicy::backoff(const AttemptResult& attempt)
{
    if (hasNotRun(attempt.code) && attempt.attempts <= 1)
        return Duration::zero();
    constexpr uint32_t maxDoublings = 16;
    uint32_t doublings = std::min(std::max(attempt.attempts, 1U) - 1, maxDoublings);
    Duration longest = std::min(m_options.maxDelay, m_options.firstDelay * (1U << doublings));
    return Duration(std::uniform_int_distribution<Duration::rep>(0, longest.count())(m_random));
}

void RetryPolicy::refreshHedgeDelay()
{
    m_hedgeDelay = m_latency.quantile(m_options.hedgeQuantile);
    if (m_hedgeDelay)
        m_samplesUntilRefresh = hedgeRefreshSamples;
}

bool isRetriable(ResultCode code)
{
    switch (code) {
    case ResultCode::QueueFull:
    case ResultCode::WouldMissDeadline:
    case ResultCode::UpstreamDraining:
    case ResultCode::DaemonLeaving:
    case ResultCode::SuspectAlreadyRunning:
    case ResultCode::UpstreamChanged:
    case ResultCode::UpstreamUnreachable:
    case ResultCode::OwnerUnreachable:
    case ResultCode::UpstreamShed:
    case ResultCode::UpstreamRefused:
    case ResultCode::OwnerLost:
    case ResultCode::UpstreamLost:
    case ResultCode::UpstreamTimeout:
    case ResultCode::AnswerTruncated:
    case ResultCode::MalformedAnswer:
        return true;
    default:
        return false;
    }
}

bool isCapacityRefusal(ResultCode code)
{
    return code == ResultCode::QueueFull || code == ResultCode::WouldMissDeadline;
}

bool isLackOfCapacity(ResultCode code)
{
    switch (code) {
    case ResultCode::QueueFull:
    case ResultCode::WouldMissDeadline:
    case ResultCode::DeadlineExceeded:
    case ResultCode::NestedCallsRefused:
    case ResultCode::UpstreamShed:
    case ResultCode::UpstreamTimeout:
        return true;
    default:
        return false;
    }
}

} // namespace dragonflylane
