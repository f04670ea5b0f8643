#pragma once

// Holds callers to the allotments of their tenants: exchanges the messages of QuotaShare, this daemon's share of the
// allotments, and of QuotaDivider, which divides them on the control leader.

#include "dragonflylane/LeaderAddress.h"
#include "dragonflylane/LogRateLimiter.h"
#include "dragonflylane/QuotaDivider.h"
#include "dragonflylane/QuotaShare.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace dragonflylane {

class Metrics;
class PeerHub;
class RoutingTable;
struct PeerFrame;

struct QuotaTaskOptions {
    HostId self;
    BootId life;
    /// Window in which the limits of tenants hold.
    Duration window { QuotaShareOptions().window };
    QuotaTolerance tolerance {};
    /// Longest wait of a request for the leader's answer.
    Duration maxWait { std::chrono::milliseconds(150) };
};

class QuotaTask {
public:
    struct Hooks {
        /// Term of the replicated log if this host leads it and its lease holds.
        std::function<std::optional<Term>()> leadingTerm;
        /// The leader of the replicated log that this host knows; empty if it has no replica or knows none.
        std::function<HostId()> knownLeader;
    };
    using Answer = std::function<void(QuotaVerdict, Duration retryAfter)>;

    QuotaTask(boost::asio::io_context&, QuotaTaskOptions, PeerHub&, Metrics&, Hooks);

    void start();
    void stop();

    void setRoutingTable(const RoutingTable&);
    /// Tells which hosts accept callers.
    void setHost(const HostId&, bool isPresent);
    void setControlHosts(std::vector<HostId>);

    /// Answers whether the tenant's request is admitted: at once if this daemon's share decides it, otherwise after at
    /// most `maxWait`. Never answers Pending.
    void admit(const TenantName&, Duration maxWait, Answer);
    void exportMetrics() const;

private:
    struct Waiter {
        TenantName tenant;
        TimePoint until;
        Answer answer;
    };

    void handleFrame(const PeerFrame&);
    void handleReport(const PeerFrame&, const QuotaReport&);
    void handleGrant(const HostId& from, const QuotaGrant&);
    std::optional<QuotaGrant> divide(const QuotaReport&);
    bool followLeadership();
    void sendReport();
    void send(const HostId&, std::string payload);
    void answerWaiters();
    void finish(const TenantName&, QuotaVerdict, const Answer&);
    void logRefusal(const TenantName&, QuotaVerdict, Duration retryAfter, TimePoint now);
    void work();
    void armTimer();

    QuotaTaskOptions m_options;
    PeerHub& m_hub;
    Metrics& m_metrics;
    Hooks m_hooks;
    QuotaShare m_share;
    QuotaDivider m_divider;
    LeaderAddress m_leader;
    std::deque<Waiter> m_waiters;
    Revision m_revision;
    LogRateLimiter m_refusalLog { { .perSecond = 2, .burst = 10 } };
    WakeupTimer m_timer;
    bool m_isStopped { false };
};

} // namespace dragonflylane
