#include "dragonflylane/QuotaShare.h"

#include "dragonflylane/RoutingTable.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>

namespace dragonflylane {

namespace {

    double stipulatedLimit(const TenantEntry& tenant, Duration window)
    {
        return tenant.ratePerSecond * std::chrono::duration<double>(window).count() + tenant.burst;
    }

    double halfTolerance(double limit, const QuotaTolerance& tolerance)
    {
        return (limit * tolerance.overage + tolerance.slack) / 2;
    }

    constexpr std::chrono::milliseconds urgentInterval { 20 };
    constexpr std::chrono::milliseconds changeInterval { 100 };
    // Shorter than LeaderAddress::answerLifetime, so that renewals keep the leader known.
    constexpr std::chrono::milliseconds renewalInterval { 500 };
    // Restores what lost messages have left different at the leader.
    constexpr std::chrono::seconds completeInterval { 3 };
    // A report without an answer after this time counts as lost.
    constexpr std::chrono::milliseconds answerTimeout { 200 };
    // How long requests are refused without asking again after the leader has said that nothing is left.
    constexpr std::chrono::milliseconds refusalLifetime { 500 };
    // The same at a daemon that holds less than this, where a single request that is admitted elsewhere matters.
    constexpr uint32_t smallAllowance = 10;
    constexpr std::chrono::milliseconds shortRefusalLifetime { 50 };
    constexpr std::chrono::seconds leaderSilence { 3 };
    constexpr std::chrono::milliseconds minRetryAfter { 100 };
    constexpr int64_t recentPart = 5;
    // Smaller changes of the figures wait for the next complete report.
    constexpr uint32_t minReportedChange = 2;
    constexpr uint32_t reportedChangePercent = 10;

    bool differs(uint32_t reported, uint32_t now, uint32_t minChange)
    {
        uint32_t difference = std::max(reported, now) - std::min(reported, now);
        return difference > std::max(minChange, reported * reportedChangePercent / 100);
    }

    // Requests per window, where the last part of the window counts as much as all of it: shares follow a demand that
    // moves, and those of tenants with few requests stay calm.
    uint32_t presentDemand(WindowCount& demand, TimePoint now)
    {
        uint32_t total = demand.total(now);
        uint32_t extrapolated = demand.recent(now, recentPart) * static_cast<uint32_t>(recentPart);
        return (total + extrapolated + 1) / 2;
    }

} // namespace

uint32_t quotaLimit(const TenantEntry& tenant, Duration window, const QuotaTolerance& tolerance)
{
    constexpr double maxLimit = 1e9;
    if (tenant.ratePerSecond <= 0)
        return 0;
    double limit = stipulatedLimit(tenant, window);
    limit += halfTolerance(limit, tolerance);
    return static_cast<uint32_t>(std::clamp(std::floor(limit), 1.0, maxLimit));
}

uint32_t quotaReserve(const TenantEntry& tenant, Duration window, const QuotaTolerance& tolerance)
{
    return static_cast<uint32_t>(halfTolerance(stipulatedLimit(tenant, window), tolerance));
}

QuotaShare::QuotaShare(QuotaShareOptions options)
    : m_options(std::move(options))
{
}

void QuotaShare::setTenants(const std::vector<TenantEntry>& entries)
{
    std::unordered_set<TenantName> limited;
    for (const TenantEntry& entry : entries) {
        uint32_t limit = quotaLimit(entry, m_options.window, m_options.tolerance);
        if (limit == 0)
            continue;
        limited.insert(entry.name);
        Tenant& tenant = m_tenants.try_emplace(entry.name, m_options.window).first->second;
        if (limit < tenant.limit)
            lowerAllowance(tenant, limit);
        tenant.limit = limit;
    }
    std::erase_if(m_tenants, [&limited](const auto& item) { return !limited.contains(item.first); });
}

// The leader lowers the allowance too, but may be out of reach. Its answer to an earlier report may still be due to the
// higher limit.
void QuotaShare::lowerAllowance(Tenant& tenant, uint32_t limit)
{
    tenant.allowance = static_cast<uint32_t>(uint64_t { tenant.allowance } * limit / tenant.limit);
    m_isAnswered = true;
    m_needsComplete = true;
}

void QuotaShare::recordDemand(const TenantName& name, TimePoint now)
{
    if (auto it = m_tenants.find(name); it != m_tenants.end())
        it->second.demand.add(now);
}

QuotaVerdict QuotaShare::trySpend(const TenantName& name, TimePoint now)
{
    auto it = m_tenants.find(name);
    if (it == m_tenants.end())
        return QuotaVerdict::Admitted;
    Tenant& tenant = it->second;
    if (hasRoom(tenant, now)) {
        tenant.spends.add(now);
        return QuotaVerdict::Admitted;
    }
    tenant.isReportDue = true;
    if (wasRefusedByLeader(tenant, now))
        return QuotaVerdict::Exceeded;
    ++tenant.waiting;
    m_isUrgent = true;
    return isLeaderLost(now) ? finalVerdict(name, now) : QuotaVerdict::Pending;
}

QuotaVerdict QuotaShare::finalVerdict(const TenantName& name, TimePoint now) const
{
    auto it = m_tenants.find(name);
    bool holdsSome = it != m_tenants.end() && allowanceOf(it->second, now) > 0;
    bool isLeaderKnown = !isLeaderLost(now) && now < m_leaseEnd;
    return holdsSome || isLeaderKnown ? QuotaVerdict::Exceeded : QuotaVerdict::Unavailable;
}

Duration QuotaShare::retryAfter(const TenantName& name, TimePoint now)
{
    auto it = m_tenants.find(name);
    if (it == m_tenants.end())
        return minRetryAfter;
    Tenant& tenant = it->second;
    Duration byLeader = tenant.retryAfter - (now - tenant.answeredAt);
    Duration own = tenant.spends.untilFirstExpires(now);
    return std::max({ own, byLeader, Duration(minRetryAfter) });
}

QuotaDemand QuotaShare::figures(const TenantName& name, TimePoint now)
{
    auto it = m_tenants.find(name);
    return it != m_tenants.end() ? figuresOf(name, it->second, now) : QuotaDemand { .tenant = name };
}

std::optional<QuotaReport> QuotaShare::takeReport(TimePoint now)
{
    if (m_tenants.empty() || now < nextReport())
        return std::nullopt;
    m_checkedAt = now;
    bool isComplete = m_needsComplete || now >= m_leaseEnd || now - m_completeAt >= completeInterval;
    QuotaReport report {
        .host = m_options.self, .life = m_options.life, .age = now - m_options.startedAt, .isComplete = isComplete
    };
    for (auto& [name, tenant] : m_tenants) {
        QuotaDemand figures = figuresOf(name, tenant, now);
        bool isZero = figures.held == 0 && figures.wanted == 0 && figures.waiting == 0;
        if (isComplete ? !isZero : tenant.isReportDue || isChanged(tenant, figures))
            report.demands.push_back(std::move(figures));
    }
    bool isRenewal = now - m_sentAt >= renewalInterval;
    if (report.demands.empty() && !isComplete && !isRenewal)
        return std::nullopt;
    for (const QuotaDemand& demand : report.demands) {
        Tenant& tenant = m_tenants.at(demand.tenant);
        tenant.reported = demand;
        tenant.isReportDue = false;
        tenant.waiting = 0;
    }
    if (isComplete)
        m_completeAt = now;
    m_needsComplete = false;
    m_isUrgent = false;
    if (m_isAnswered)
        m_unansweredSince = now;
    m_isAnswered = false;
    m_sentAt = now;
    m_number = m_number.next();
    report.number = m_number;
    return report;
}

TimePoint QuotaShare::nextReport() const
{
    if (m_tenants.empty())
        return TimePoint::max();
    TimePoint due = m_isUrgent || m_needsComplete ? m_sentAt + urgentInterval : m_checkedAt + changeInterval;
    return m_isAnswered ? due : std::max<TimePoint>(due, m_sentAt + answerTimeout);
}

bool QuotaShare::accept(const QuotaGrant& grant, TimePoint now)
{
    bool isLatest = grant.life == m_options.life && grant.number == m_number && !m_isAnswered;
    if (!isLatest || grant.term < m_term)
        return false;
    m_term = grant.term;
    m_isAnswered = true;
    // Requests that still wait are counted again when they try again, as they do now.
    m_isUrgent = false;
    for (auto& [name, tenant] : m_tenants)
        tenant.waiting = 0;
    if (grant.needsComplete) {
        m_needsComplete = true;
        return true;
    }
    // After the end of a lease nothing of it is left.
    if (m_sentAt >= m_leaseEnd) {
        for (auto& [name, tenant] : m_tenants)
            tenant.allowance = 0;
    }
    m_leaseEnd = m_sentAt + m_options.lease;
    for (const QuotaAllowance& allowance : grant.allowances) {
        auto it = m_tenants.find(allowance.tenant);
        if (it == m_tenants.end())
            continue;
        Tenant& tenant = it->second;
        if (allowance.allowance < tenant.allowance) {
            tenant.isReportDue = true;
            m_isUrgent = true;
        }
        tenant.allowance = std::min(allowance.allowance, tenant.limit);
        tenant.retryAfter = allowance.retryAfter;
        tenant.answeredAt = now;
    }
    return true;
}

uint64_t QuotaShare::allowanceTotal() const
{
    uint64_t total = 0;
    for (const auto& [name, tenant] : m_tenants)
        total += tenant.allowance;
    return total;
}

uint32_t QuotaShare::allowanceOf(const Tenant& tenant, TimePoint now) const
{
    return now < m_leaseEnd ? tenant.allowance : 0;
}

bool QuotaShare::isLeaderLost(TimePoint now) const
{
    return !m_isAnswered && now - m_unansweredSince > leaderSilence;
}

bool QuotaShare::hasRoom(Tenant& tenant, TimePoint now) const
{
    return tenant.spends.total(now) < allowanceOf(tenant, now);
}

bool QuotaShare::wasRefusedByLeader(const Tenant& tenant, TimePoint now) const
{
    Duration lifetime = tenant.allowance < smallAllowance ? shortRefusalLifetime : refusalLifetime;
    return tenant.retryAfter > Duration::zero() && now - tenant.answeredAt < lifetime && now < m_leaseEnd;
}

QuotaDemand QuotaShare::figuresOf(const TenantName& name, Tenant& tenant, TimePoint now) const
{
    uint32_t spent = tenant.spends.total(now);
    return { .tenant = name,
        .held = std::max(allowanceOf(tenant, now), spent),
        .spent = spent,
        .wanted = presentDemand(tenant.demand, now),
        .waiting = tenant.waiting };
}

bool QuotaShare::isChanged(const Tenant& tenant, const QuotaDemand& figures) const
{
    const QuotaDemand& reported = tenant.reported;
    // What was admitted under a larger allowance goes back to the others as it leaves the window.
    bool isReturning = figures.spent > tenant.allowance && figures.held < reported.held;
    return isReturning || differs(reported.held, figures.held, 0)
        || differs(reported.wanted, figures.wanted, minReportedChange);
}

} // namespace dragonflylane
