#pragma once

// What one entry daemon holds of the allotments of tenants. It never admits more requests of a tenant in any window
// than its allowance, which QuotaDivider grants under a lease.
//
//     share.recordDemand(tenant, now);
//     if (share.trySpend(tenant, now) == QuotaVerdict::Admitted)
//         ...
//     if (auto report = share.takeReport(now))
//         send(*report);                      // the answer goes to accept()
//
// Invariants:
//  * Only the answer to the latest report is accepted. When the leader receives a report, all its earlier grants to
//  this
//    daemon have therefore either been applied, so that the report shows them, or never will be.
//  * What the daemon holds grows only by a grant.
//  * After the lease, which starts when the answered report was sent, nothing is admitted.
//
// No I/O; bounded by the number of tenants with a rate. All operations but takeReport() are O(1).

#include "dragonflylane/QuotaMessages.h"
#include "dragonflylane/WindowCount.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflylane {

struct TenantEntry;

/// By how much a window may exceed rate * window + burst: a share of it, and requests. Half of this adds to the limit
/// of a tenant. The other half is kept for the time after a restart of all daemons, see QuotaDivider.
struct QuotaTolerance {
    double overage { 0 };
    double slack { 0 };
};

struct QuotaShareOptions {
    HostId self;
    BootId life;
    TimePoint startedAt;
    /// Window of the limit: a tenant may make rate * window + burst requests in each one.
    Duration window { std::chrono::seconds(5) };
    QuotaTolerance tolerance {};
    Duration lease { std::chrono::seconds(15) };
};

enum class QuotaVerdict : uint8_t {
    Admitted,
    /// Nothing is left here. The leader is asked; try again after its answer.
    Pending,
    /// The leader has just said that nothing is left.
    Exceeded,
    /// No leader has answered for long, so that it isn't known whether anything is left.
    Unavailable,
};

class QuotaShare {
public:
    explicit QuotaShare(QuotaShareOptions);

    /// Tenants without a rate are not limited.
    void setTenants(const std::vector<TenantEntry>&);
    bool isLimited(const TenantName& tenant) const { return m_tenants.contains(tenant); }
    bool isEmpty() const { return m_tenants.empty(); }

    /// Records a request of a caller, once per request.
    void recordDemand(const TenantName&, TimePoint now);
    /// Admits the request if the allowance has room for it.
    QuotaVerdict trySpend(const TenantName&, TimePoint now);
    /// Verdict on a request that waits no longer: Exceeded or Unavailable.
    QuotaVerdict finalVerdict(const TenantName&, TimePoint now) const;
    /// Time after which a refused request of the tenant has a chance.
    Duration retryAfter(const TenantName&, TimePoint now);

    /// What this daemon holds and needs of the tenant's allotment.
    QuotaDemand figures(const TenantName&, TimePoint now);

    /// Returns a report if one is due.
    std::optional<QuotaReport> takeReport(TimePoint now);
    /// Call takeReport() at this time.
    TimePoint nextReport() const;
    /// Returns false if the grant was outdated and had no effect. Otherwise all requests that wait have to try again.
    bool accept(const QuotaGrant&, TimePoint now);

    /// Sums over all tenants, for metrics.
    uint64_t allowanceTotal() const;

private:
    struct Tenant {
        explicit Tenant(Duration window)
            : spends(window)
            , demand(window)
        {
        }

        uint32_t limit { 0 };
        uint32_t allowance { 0 };
        WindowCount spends;
        WindowCount demand;
        Duration retryAfter { 0 };
        TimePoint answeredAt;
        /// Figures of the latest report that named the tenant.
        QuotaDemand reported;
        /// Requests that found nothing left since that report.
        uint32_t waiting { 0 };
        /// A request was refused, or a grant lowered the allowance, since that report.
        bool isReportDue { false };
    };

    void lowerAllowance(Tenant&, uint32_t limit);
    uint32_t allowanceOf(const Tenant&, TimePoint now) const;
    bool isLeaderLost(TimePoint now) const;
    bool hasRoom(Tenant&, TimePoint now) const;
    bool wasRefusedByLeader(const Tenant&, TimePoint now) const;
    QuotaDemand figuresOf(const TenantName&, Tenant&, TimePoint now) const;
    bool isChanged(const Tenant&, const QuotaDemand&) const;

    QuotaShareOptions m_options;
    std::unordered_map<TenantName, Tenant> m_tenants;
    Term m_term;
    Sequence m_number;
    TimePoint m_sentAt;
    TimePoint m_checkedAt;
    TimePoint m_completeAt;
    TimePoint m_leaseEnd;
    /// When the first report since the last answer was sent.
    TimePoint m_unansweredSince;
    bool m_isAnswered { true };
    bool m_isUrgent { false };
    bool m_needsComplete { true };
};

/// Requests that a tenant may make in one window, with half of the tolerance; zero: not limited.
uint32_t quotaLimit(const TenantEntry&, Duration window, const QuotaTolerance& = {});
/// The other half of the tolerance.
uint32_t quotaReserve(const TenantEntry&, Duration window, const QuotaTolerance&);

} // namespace dragonflylane
