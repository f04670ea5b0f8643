#pragma once

// Divides the allotments of tenants among the entry daemons. Runs on each control host; only the control leader grants.
//
//     divider.setLimits(tenants, now);
//     divider.lead(term, now);
//     if (auto grant = divider.receive(report, now))
//         send(report.host, *grant);
//
// A daemon's commitment is what it may have admitted in the last window or may still admit: the larger of what it last
// reported to hold and what was granted to it since. The divider grants growth only while the commitments of all
// daemons stay within the limit of the tenant. This is exact, since a daemon accepts only the answer to its latest
// report (see QuotaShare). A commitment ends
//  * with the daemon's next report, as far as the report shows that it holds less;
//  * one window after the start of another process on the same host, which cannot admit what its predecessor held;
//  * lease + window after the last report of a daemon that is silent.
//
// A new leader doesn't know the commitments. Until each known host has reported, it grants only what reporting daemons
// have returned, so that the sum cannot grow. Daemons keep what they hold meanwhile.
//
// No I/O. Memory: O(tenants in use * hosts). receive() is O(tenants) for a complete report and for one that renews the
// lease, since it also lowers allowances that the report doesn't name.

#include "dragonflylane/QuotaMessages.h"
#include "dragonflylane/QuotaShare.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflylane {

struct TenantEntry;

struct QuotaDividerOptions {
    /// As in QuotaShareOptions.
    Duration window { std::chrono::seconds(5) };
    Duration lease { std::chrono::seconds(15) };
    QuotaTolerance tolerance {};
    /// Start of this process, which may not yet know all hosts.
    TimePoint startedAt;
};

class QuotaDivider {
public:
    explicit QuotaDivider(QuotaDividerOptions);

    void setLimits(const std::vector<TenantEntry>&, TimePoint now);
    /// Tells which entry daemons there are. Hosts that have gone may hold allowances until their lease ends.
    void setHost(const HostId&, bool isPresent, TimePoint now);

    /// Starts to lead in this term. Does nothing if it leads in this term already.
    void lead(Term, TimePoint now);
    void stopLeading();
    bool isLeading() const { return m_isLeading; }

    /// Returns the answer, or nothing if this host doesn't lead or the report is outdated.
    std::optional<QuotaGrant> receive(const QuotaReport&, TimePoint now);

    /// What all daemons may have admitted in the last window or may still admit, as far as it is known.
    uint64_t committed(const TenantName&, TimePoint now);
    /// True while hosts may hold allowances of an earlier leader that this one doesn't know.
    bool isWaitingForHosts(TimePoint now);

private:
    struct Holding {
        uint32_t granted { 0 };
        QuotaDemand reported;
        uint32_t committed() const { return std::max(granted, reported.held); }
    };

    /// Commitment of a process that has ended.
    struct Expiring {
        TimePoint until;
        uint32_t amount { 0 };
    };

    struct Tenant {
        uint32_t limit { 0 };
        /// What may be granted beyond what is known while this process is younger than a window: then all daemons have
        /// most likely been restarted together, and what they admitted before is not known. Without this, tenants would
        /// get nothing until a window has passed.
        uint32_t reserve { 0 };
        std::unordered_map<HostId, Holding> holdings;
        std::deque<Expiring> expiring;
        /// Sums over the holdings.
        uint64_t committed { 0 };
        uint64_t wanted { 0 };
        /// Sum over `expiring`.
        uint64_t expiringTotal { 0 };
        /// What daemons held at their first report to this leader.
        uint64_t firstReported { 0 };
        /// The tenant is new, so that no earlier leader can have granted anything.
        bool isNew { false };

        bool isOverLimit() const { return wanted > limit; }
    };

    struct Host {
        BootId life;
        TimePoint startedAt;
        Sequence number;
        TimePoint reportedAt;
    };

    bool isOutdated(const QuotaReport&, TimePoint now) const;
    void expire(TimePoint now);
    void expire(Tenant&, TimePoint now);
    void registerHost(const QuotaReport&, TimePoint now);
    void recordDemands(const QuotaReport&, bool isFirst);
    void forgetHoldings(const HostId&, std::optional<TimePoint> expiresAt);
    void setReported(Tenant&, const HostId&, const QuotaDemand&);
    void clearUnnamed(const QuotaReport&);
    uint32_t target(const Tenant&, const Holding&) const;
    uint32_t steadyTarget(const Tenant&, const Holding&) const;
    uint32_t wishedAllowance(const Tenant&, const Holding&, uint64_t unused) const;
    Duration excessTime(const Tenant&) const;
    uint64_t knownLimit(const Tenant&, TimePoint now);
    uint64_t limitWithoutAwaited(const Tenant&) const;
    uint64_t available(const Tenant&, TimePoint now);
    QuotaAllowance grant(const TenantName&, Tenant&, Holding&, TimePoint now);
    void appendReductions(const HostId&, QuotaGrant&, TimePoint now);

    QuotaDividerOptions m_options;
    bool m_isLeading { false };
    Term m_term;
    TimePoint m_leadsSince;
    std::unordered_map<TenantName, Tenant> m_tenants;
    std::unordered_map<HostId, Host> m_hosts;
    /// When each host was last known to be present; TimePoint::max() if it is.
    std::unordered_map<HostId, TimePoint> m_presence;
    /// Hosts whose holdings are not known, and until when they may have any.
    std::unordered_map<HostId, TimePoint> m_awaited;
};

} // namespace dragonflylane
