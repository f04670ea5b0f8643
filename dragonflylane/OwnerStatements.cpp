#include "dragonflylane/OwnerStatements.h"

#include "dragonflylane/Event.h"
#include "dragonflylane/UpstreamStatement.h"

#include <utility>

namespace dragonflylane {

StatementChange OwnerStatements::startProcess(const UpstreamId& upstream, ProcessId process, TimePoint now)
{
    if (upstream == m_upstream && process == m_current.process)
        return {};
    StatementChange change;
    change.isRateLimitChanged = m_current.rateLimit.has_value();
    m_upstream = upstream;
    m_current = { .process = process };
    m_hasObserved = false;
    m_rateLimitSince = now;
    m_requests = 0;
    return change;
}

StatementChange OwnerStatements::observe(const UpstreamStatement& statement, TimePoint now)
{
    m_hasObserved = true;
    StatementChange change;
    if (!statement.hasInvalidRateLimit)
        change = setRateLimit(statement.rateLimit, now);
    // A process that is about to stop does not take that back.
    change.hasBegunToLeave = statement.isLeaving && setLeaving();
    return change;
}

StatementChange OwnerStatements::adopt(const ProcessStatement& known, TimePoint now)
{
    if (m_upstream.isEmpty() || known.process != m_current.process)
        return {};
    StatementChange change;
    bool isLower = known.rateLimit && (!m_current.rateLimit || *known.rateLimit < *m_current.rateLimit);
    if (isLower && !m_hasObserved)
        change = setRateLimit(known.rateLimit, now);
    change.hasBegunToLeave = known.isLeaving && setLeaving();
    return change;
}

std::optional<ProcessStatement> OwnerStatements::current() const
{
    if (!m_current.rateLimit && !m_current.isLeaving)
        return std::nullopt;
    return m_current;
}

StatementChange OwnerStatements::setRateLimit(std::optional<RequestRate> limit, TimePoint now)
{
    if (limit == m_current.rateLimit)
        return {};
    logRateLimit(limit, now);
    m_current.rateLimit = limit;
    m_rateLimitSince = now;
    m_requests = 0;
    return { .isRateLimitChanged = true };
}

bool OwnerStatements::setLeaving()
{
    if (std::exchange(m_current.isLeaving, true))
        return false;
    Event("upstream_states_leaving").with("upstream", m_upstream).with("observed", static_cast<int>(m_hasObserved));
    return true;
}

// The requests that were sent while the limit before held show whether the owner daemon kept it.
void OwnerStatements::logRateLimit(const std::optional<RequestRate>& next, TimePoint now)
{
    auto entry = m_logLimiter.admit(now);
    if (!entry)
        return;
    auto held = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_rateLimitSince);
    Event("upstream_rate_limit")
        .with("upstream", m_upstream)
        .with("per_second", toText(next))
        .with("previous", toText(m_current.rateLimit))
        .with("previous_held_ms", held.count())
        .with("previous_requests", m_requests)
        .with("observed", static_cast<int>(m_hasObserved))
        .with("left_out", entry->suppressed);
}

} // namespace dragonflylane
