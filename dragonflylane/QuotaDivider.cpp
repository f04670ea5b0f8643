#include "dragonflylane/QuotaDivider.h"

#include "dragonflylane/RoutingTable.h"

#include <algorithm>
#include <unordered_set>

namespace dragonflylane {

namespace {

    // A new leader hears of all hosts and of the configuration within this time.
    constexpr std::chrono::seconds takeoverTime { 1 };
    // Retry-After while allowances are on their way back from other daemons.
    constexpr std::chrono::milliseconds returnTime { 500 };
    constexpr std::chrono::milliseconds minRetryAfter { 100 };
    // The other part of what nobody asks for stays with the leader for those who ask next.
    constexpr uint64_t headroomDivisor = 2;
    // Smaller shares of a tenant over its limit are granted to requests that wait only.
    constexpr uint32_t minShare = 4;
    constexpr uint64_t unusedDivisor = 4;
    constexpr uint32_t steadyPercent = 10;
    // Allowances that a report doesn't name are lowered if they exceed their target by more than this share.
    constexpr uint32_t reductionPercent = 10;

} // namespace

QuotaDivider::QuotaDivider(QuotaDividerOptions options)
    : m_options(options)
{
}

void QuotaDivider::setLimits(const std::vector<TenantEntry>& entries, TimePoint now)
{
    std::unordered_map<TenantName, uint32_t> limits;
    std::unordered_map<TenantName, uint32_t> reserves;
    for (const TenantEntry& entry : entries) {
        limits[entry.name] = quotaLimit(entry, m_options.window, m_options.tolerance);
        reserves[entry.name] = quotaReserve(entry, m_options.window, m_options.tolerance);
    }
    bool isSettled = m_isLeading && now - m_leadsSince >= takeoverTime;
    for (const auto& [name, limit] : limits) {
        if (limit == 0)
            continue;
        auto [it, isInserted] = m_tenants.try_emplace(name);
        it->second.limit = limit;
        it->second.reserve = reserves[name];
        if (isInserted)
            it->second.isNew = isSettled;
    }
    // A tenant without a limit stays as long as daemons may hold some of its last one.
    for (auto& [name, tenant] : m_tenants) {
        if (auto it = limits.find(name); it == limits.end() || it->second == 0)
            tenant.limit = 0;
    }
    std::erase_if(m_tenants, [](const auto& item) {
        const Tenant& tenant = item.second;
        return tenant.limit == 0 && tenant.committed + tenant.expiringTotal == 0;
    });
}

void QuotaDivider::setHost(const HostId& host, bool isPresent, TimePoint now)
{
    auto it = m_presence.find(host);
    if (isPresent)
        m_presence[host] = TimePoint::max();
    else if (it != m_presence.end() && it->second == TimePoint::max())
        it->second = now;
    std::erase_if(m_presence, [&](const auto& item) {
        return item.second != TimePoint::max() && now - item.second > m_options.lease + m_options.window;
    });
}

void QuotaDivider::lead(Term term, TimePoint now)
{
    if (m_isLeading && m_term == term)
        return;
    stopLeading();
    m_isLeading = true;
    m_term = term;
    m_leadsSince = now;
    for (const auto& [host, lastPresent] : m_presence) {
        TimePoint silentSince = std::min(lastPresent, now);
        TimePoint until = silentSince + m_options.lease + m_options.window;
        if (until > now)
            m_awaited[host] = until;
    }
}

void QuotaDivider::stopLeading()
{
    m_isLeading = false;
    m_hosts.clear();
    m_awaited.clear();
    for (auto& [name, tenant] : m_tenants)
        tenant = { .limit = tenant.limit, .reserve = tenant.reserve };
}

std::optional<QuotaGrant> QuotaDivider::receive(const QuotaReport& report, TimePoint now)
{
    if (!m_isLeading)
        return std::nullopt;
    expire(now);
    if (isOutdated(report, now))
        return std::nullopt;
    auto known = m_hosts.find(report.host);
    bool isSameLife = known != m_hosts.end() && known->second.life == report.life;
    QuotaGrant grant { .term = m_term, .life = report.life, .number = report.number };
    if (!isSameLife && !report.isComplete) {
        grant.needsComplete = true;
        return grant;
    }
    if (!isSameLife)
        registerHost(report, now);
    Host& host = m_hosts.at(report.host);
    host.number = report.number;
    host.reportedAt = now;
    recordDemands(report, !isSameLife);
    for (const QuotaDemand& demand : report.demands) {
        auto it = m_tenants.find(demand.tenant);
        if (it == m_tenants.end())
            continue;
        Tenant& tenant = it->second;
        grant.allowances.push_back(this->grant(demand.tenant, tenant, tenant.holdings.at(report.host), now));
    }
    appendReductions(report.host, grant, now);
    return grant;
}

uint64_t QuotaDivider::committed(const TenantName& name, TimePoint now)
{
    expire(now);
    auto it = m_tenants.find(name);
    return it != m_tenants.end() ? it->second.committed + it->second.expiringTotal : 0;
}

bool QuotaDivider::isWaitingForHosts(TimePoint now)
{
    std::erase_if(m_awaited, [now](const auto& item) { return item.second <= now; });
    // A process that has just started may not know all hosts. A host that it never learns of and that is out of reach
    // can then exceed the limit by its share.
    TimePoint knowsHostsAt = std::max(m_leadsSince + takeoverTime, m_options.startedAt + m_options.window);
    return !m_awaited.empty() || now < knowsHostsAt;
}

// A delayed report of an earlier process must not replace what its successor reported.
bool QuotaDivider::isOutdated(const QuotaReport& report, TimePoint now) const
{
    auto it = m_hosts.find(report.host);
    if (it == m_hosts.end())
        return false;
    if (it->second.life == report.life)
        return report.number <= it->second.number;
    return now - report.age <= it->second.startedAt;
}

void QuotaDivider::expire(TimePoint now)
{
    std::vector<HostId> silent;
    for (const auto& [name, host] : m_hosts) {
        if (now - host.reportedAt >= m_options.lease + m_options.window)
            silent.push_back(name);
    }
    for (const HostId& host : silent) {
        forgetHoldings(host, std::nullopt);
        m_hosts.erase(host);
    }
    for (auto& [name, tenant] : m_tenants)
        expire(tenant, now);
}

void QuotaDivider::expire(Tenant& tenant, TimePoint now)
{
    std::erase_if(tenant.expiring, [&tenant, now](const Expiring& item) {
        bool isOver = item.until <= now;
        if (isOver)
            tenant.expiringTotal -= item.amount;
        return isOver;
    });
}

// The first report of a process, which is complete.
void QuotaDivider::registerHost(const QuotaReport& report, TimePoint now)
{
    // Earlier processes of the host ended before this one started.
    TimePoint predecessorsExpireAt = now + m_options.window - std::min(report.age, m_options.window);
    if (m_hosts.contains(report.host))
        forgetHoldings(report.host, predecessorsExpireAt);
    else if (isWaitingForHosts(now))
        m_awaited[report.host] = predecessorsExpireAt;
    m_hosts[report.host] = { .life = report.life, .startedAt = now - report.age };
}

void QuotaDivider::recordDemands(const QuotaReport& report, bool isFirst)
{
    if (report.isComplete)
        clearUnnamed(report);
    for (const QuotaDemand& demand : report.demands) {
        auto it = m_tenants.find(demand.tenant);
        if (it == m_tenants.end())
            continue;
        setReported(it->second, report.host, demand);
        if (isFirst)
            it->second.firstReported += demand.held;
    }
}

void QuotaDivider::forgetHoldings(const HostId& host, std::optional<TimePoint> expiresAt)
{
    for (auto& [name, tenant] : m_tenants) {
        auto it = tenant.holdings.find(host);
        if (it == tenant.holdings.end())
            continue;
        uint32_t amount = it->second.committed();
        tenant.committed -= amount;
        tenant.wanted -= it->second.reported.wanted;
        tenant.holdings.erase(it);
        if (!expiresAt || amount == 0)
            continue;
        tenant.expiring.push_back({ *expiresAt, amount });
        tenant.expiringTotal += amount;
    }
}

void QuotaDivider::setReported(Tenant& tenant, const HostId& host, const QuotaDemand& demand)
{
    Holding& holding = tenant.holdings[host];
    tenant.committed -= holding.committed();
    tenant.wanted -= holding.reported.wanted;
    // The report shows all earlier grants that the daemon will ever apply.
    holding = { .granted = 0, .reported = demand };
    tenant.committed += holding.committed();
    tenant.wanted += holding.reported.wanted;
}

void QuotaDivider::clearUnnamed(const QuotaReport& report)
{
    std::unordered_set<TenantName> named;
    for (const QuotaDemand& demand : report.demands)
        named.insert(demand.tenant);
    for (auto& [name, tenant] : m_tenants) {
        if (named.contains(name) || !tenant.holdings.contains(report.host))
            continue;
        setReported(tenant, report.host, {});
        tenant.holdings.erase(report.host);
    }
}

// What the daemon should get if there were no commitments. Demand within the limit gets headroom; demand beyond the
// limit is served in proportion.
uint32_t QuotaDivider::target(const Tenant& tenant, const Holding& holding) const
{
    uint64_t wanted = holding.reported.wanted;
    if (tenant.isOverLimit())
        return static_cast<uint32_t>(wanted * tenant.limit / tenant.wanted);
    uint64_t spare = (tenant.limit - tenant.wanted) / headroomDivisor;
    uint64_t headroom = spare * (wanted + 1) / (tenant.wanted + tenant.holdings.size());
    return static_cast<uint32_t>(std::max<uint64_t>(wanted, holding.reported.spent) + headroom);
}

// While the limit is used up, what one daemon gives back is idle until another one gets it, so small differences are
// not worth a change.
uint32_t QuotaDivider::steadyTarget(const Tenant& tenant, const Holding& holding) const
{
    uint32_t goal = target(tenant, holding);
    uint32_t held = holding.reported.held;
    bool isWithinLimit = tenant.committed + tenant.expiringTotal <= tenant.limit;
    uint32_t difference = std::max(goal, held) - std::min(goal, held);
    return isWithinLimit && difference <= held * steadyPercent / 100 ? held : goal;
}

// What may be committed, as far as this leader knows of what was granted before it.
uint64_t QuotaDivider::knownLimit(const Tenant& tenant, TimePoint now)
{
    if (tenant.isNew || !isWaitingForHosts(now))
        return tenant.limit;
    uint64_t known = tenant.firstReported;
    if (now < m_options.startedAt + m_options.window)
        known += tenant.reserve;
    else
        known = std::max(known, limitWithoutAwaited(tenant));
    return std::min<uint64_t>(tenant.limit, known);
}

// In a large mesh a host that has gone holds about as much as any other, and the reserve covers some more. Otherwise
// the loss of one host together with the leader would stop all tenants until the lease of that host has ended.
uint64_t QuotaDivider::limitWithoutAwaited(const Tenant& tenant) const
{
    constexpr size_t largeMesh = 20;
    size_t hosts = m_hosts.size() + m_awaited.size();
    if (hosts < largeMesh)
        return 0;
    uint64_t awaitedShare = tenant.limit * m_awaited.size() / hosts;
    return tenant.limit - awaitedShare;
}

uint64_t QuotaDivider::available(const Tenant& tenant, TimePoint now)
{
    uint64_t used = tenant.committed + tenant.expiringTotal;
    uint64_t limit = knownLimit(tenant, now);
    return limit > used ? limit - used : 0;
}

// What the daemon should get at present, of which `unused` is not committed to anyone.
uint32_t QuotaDivider::wishedAllowance(const Tenant& tenant, const Holding& holding, uint64_t unused) const
{
    const QuotaDemand& reported = holding.reported;
    uint32_t wished = steadyTarget(tenant, holding);
    uint32_t withWaiting = reported.spent + reported.waiting;
    // Few requests: what one daemon holds for its next request is missing where a request waits.
    if (tenant.isOverLimit() && wished < minShare) {
        wished = reported.waiting > 0 ? std::min(wished, withWaiting) : 0;
    } else if (reported.wanted > wished) {
        // The shares of daemons whose demand has ended are unused until the figures of all have followed.
        uint64_t raised = wished + unused / unusedDivisor;
        wished = static_cast<uint32_t>(std::min<uint64_t>(reported.wanted, raised));
    }
    // Rounding leaves some of the limit to those whose requests wait.
    bool mayRaise = unused > 0 && reported.waiting > 0;
    return mayRaise ? std::max(wished, withWaiting) : wished;
}

QuotaAllowance QuotaDivider::grant(const TenantName& name, Tenant& tenant, Holding& holding, TimePoint now)
{
    uint64_t unused = available(tenant, now);
    uint32_t wished = wishedAllowance(tenant, holding, unused);
    uint64_t growth = unused;
    // What comes back is spread, so that it is used at once.
    if (tenant.isOverLimit())
        growth = std::min(unused, holding.reported.waiting + unused / unusedDivisor);
    uint64_t affordable = holding.committed() + growth;
    auto allowance = static_cast<uint32_t>(std::min<uint64_t>({ wished, affordable, tenant.limit }));
    tenant.committed -= holding.committed();
    holding.granted = std::max(allowance, holding.granted);
    tenant.committed += holding.committed();
    Duration retryAfter = allowance < wished ? Duration(returnTime) : Duration::zero();
    if (tenant.isOverLimit() && available(tenant, now) == 0)
        retryAfter = excessTime(tenant);
    return { .tenant = name, .allowance = allowance, .retryAfter = retryAfter };
}

// How long the excess of the demand over the limit lasts if it comes in one burst.
Duration QuotaDivider::excessTime(const Tenant& tenant) const
{
    double excess = static_cast<double>(tenant.wanted - tenant.limit) / static_cast<double>(tenant.wanted);
    return std::max<Duration>(std::chrono::duration_cast<Duration>(m_options.window * excess), minRetryAfter);
}

// Lowers allowances that others need more, or that exceed a lowered limit.
void QuotaDivider::appendReductions(const HostId& host, QuotaGrant& grant, TimePoint now)
{
    std::unordered_set<TenantName> named;
    for (const QuotaAllowance& allowance : grant.allowances)
        named.insert(allowance.tenant);
    for (auto& [name, tenant] : m_tenants) {
        auto it = tenant.holdings.find(host);
        if (it == tenant.holdings.end() || named.contains(name))
            continue;
        uint32_t goal = target(tenant, it->second);
        if (it->second.committed() > goal + goal * reductionPercent / 100)
            grant.allowances.push_back(this->grant(name, tenant, it->second, now));
    }
}

} // namespace dragonflylane
