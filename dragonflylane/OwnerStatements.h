#pragma once

// What the owner daemon knows of the statements of its upstream: from responses, or, until the first one after a start
// of the daemon, from entry daemons. Logs each change. Contains no clock.
//
//     statements.startProcess(upstream, process, now);
//     StatementChange change = statements.observe(parseUpstreamStatement(response, names), now);
//     if (change.isRateLimitChanged)
//         admission.setRateLimit(statements.rateLimit(), now);

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/LogRateLimiter.h"
#include "dragonflylane/ProcessStatement.h"

#include <cstdint>
#include <optional>

namespace dragonflylane {

struct UpstreamStatement;

/// What the owner daemon has to apply.
struct StatementChange {
    bool isRateLimitChanged { false };
    bool hasBegunToLeave { false };
};

class OwnerStatements {
public:
    /// A process of the upstream was announced. Drops the statements of another process, but keeps those of this one.
    StatementChange startProcess(const UpstreamId&, ProcessId, TimePoint now);
    /// The process has stated this in a response. An invalid rate limit is ignored.
    StatementChange observe(const UpstreamStatement&, TimePoint now);
    /// The process has withdrawn, which tells the same as a response that states that it is leaving.
    StatementChange withdraw() { return { .hasBegunToLeave = setLeaving() }; }
    /// An entry daemon knows this from the owner daemon before its restart. Of several limits the lowest holds until
    /// the first response.
    StatementChange adopt(const ProcessStatement&, TimePoint now);
    /// Counts a request to the upstream for the log.
    void recordRequest() { ++m_requests; }

    const std::optional<RequestRate>& rateLimit() const { return m_current.rateLimit; }
    bool isLeaving() const { return m_current.isLeaving; }
    /// For the answers to entry daemons; empty if the upstream states nothing.
    std::optional<ProcessStatement> current() const;

private:
    StatementChange setRateLimit(std::optional<RequestRate>, TimePoint now);
    bool setLeaving();
    void logRateLimit(const std::optional<RequestRate>& next, TimePoint now);

    UpstreamId m_upstream;
    ProcessStatement m_current;
    /// The process has answered a request of this daemon.
    bool m_hasObserved { false };
    TimePoint m_rateLimitSince;
    /// Requests to the upstream since then.
    uint64_t m_requests { 0 };
    LogRateLimiter m_logLimiter { { .perSecond = 2, .burst = 10 } };
};

} // namespace dragonflylane
