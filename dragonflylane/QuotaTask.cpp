#include "dragonflylane/QuotaTask.h"

#include "dragonflylane/Event.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/QuotaWire.h"
#include "dragonflylane/RoutingTable.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    constexpr std::chrono::milliseconds leadershipInterval { 500 };

} // namespace

QuotaTask::QuotaTask(
    boost::asio::io_context& context, QuotaTaskOptions options, PeerHub& hub, Metrics& metrics, Hooks hooks)
    : m_options(std::move(options))
    , m_hub(hub)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_share({ .self = m_options.self,
          .life = m_options.life,
          .startedAt = BootClock::now(),
          .window = m_options.window,
          .tolerance = m_options.tolerance })
    , m_divider({ .window = m_options.window, .tolerance = m_options.tolerance, .startedAt = BootClock::now() })
    , m_timer(context, [this] { work(); })
{
}

void QuotaTask::start()
{
    m_hub.subscribe(FrameKind::Quota, [this](const PeerFrame& frame) { handleFrame(frame); });
    armTimer();
}

void QuotaTask::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void QuotaTask::setRoutingTable(const RoutingTable& routingTable)
{
    if (routingTable.revision() == m_revision)
        return;
    m_revision = routingTable.revision();
    followLeadership();
    m_share.setTenants(routingTable.tenants());
    m_divider.setLimits(routingTable.tenants(), BootClock::now());
    work();
}

void QuotaTask::setHost(const HostId& host, bool isPresent)
{
    m_divider.setHost(host, isPresent, BootClock::now());
}

void QuotaTask::setControlHosts(std::vector<HostId> hosts)
{
    m_leader.setControlHosts(std::move(hosts));
}

void QuotaTask::admit(const TenantName& tenant, Duration maxWait, Answer answer)
{
    if (!m_share.isLimited(tenant))
        return answer(QuotaVerdict::Admitted, Duration::zero());
    TimePoint now = BootClock::now();
    m_share.recordDemand(tenant, now);
    QuotaVerdict verdict = m_share.trySpend(tenant, now);
    if (verdict != QuotaVerdict::Pending)
        return finish(tenant, verdict, answer);
    m_metrics.add("quota_requests_waited");
    TimePoint until = now + std::clamp(maxWait, Duration::zero(), m_options.maxWait);
    m_waiters.push_back({ .tenant = tenant, .until = until, .answer = std::move(answer) });
    work();
}

void QuotaTask::exportMetrics() const
{
    m_metrics.set("quota_allowances", m_share.allowanceTotal());
    m_metrics.set("quota_requests_waiting", m_waiters.size());
}

void QuotaTask::handleFrame(const PeerFrame& frame)
{
    if (m_isStopped)
        return;
    m_metrics.add("control_bytes_received_quota", frame.payload.size());
    QuotaMessage message;
    if (decode(frame.payload, message))
        return m_metrics.add("quota_malformed");
    if (const auto* report = std::get_if<QuotaReport>(&message))
        handleReport(frame, *report);
    else
        handleGrant(frame.from, std::get<QuotaGrant>(message));
}

void QuotaTask::handleReport(const PeerFrame& frame, const QuotaReport& report)
{
    if (auto grant = divide(report))
        return send(report.host, encode(*grant));
    // Forwarded once only, so that hosts that take each other for the leader cannot pass a report to and fro.
    HostId leader = m_hooks.knownLeader();
    bool isForwarded = frame.from != report.host;
    if (!isForwarded && !leader.isEmpty() && leader != m_options.self)
        send(leader, std::string(frame.payload));
}

void QuotaTask::handleGrant(const HostId& from, const QuotaGrant& grant)
{
    TimePoint now = BootClock::now();
    if (!m_share.accept(grant, now))
        return m_metrics.add("quota_grants_outdated");
    m_leader.answered(from, now);
    answerWaiters();
    work();
}

std::optional<QuotaGrant> QuotaTask::divide(const QuotaReport& report)
{
    return followLeadership() ? m_divider.receive(report, BootClock::now()) : std::nullopt;
}

// Returns true if this host leads now. What was granted in the present term stays known while its lease is interrupted.
bool QuotaTask::followLeadership()
{
    auto term = m_hooks.leadingTerm();
    if (term)
        m_divider.lead(*term, BootClock::now());
    return term.has_value();
}

void QuotaTask::sendReport()
{
    TimePoint now = BootClock::now();
    auto report = m_share.takeReport(now);
    if (!report)
        return;
    m_metrics.add("quota_reports");
    if (auto grant = divide(*report))
        return handleGrant(m_options.self, *grant);
    HostId target = m_leader.target(now);
    if (target == m_options.self)
        target = m_hooks.knownLeader();
    if (!target.isEmpty() && target != m_options.self)
        send(target, encode(*report));
}

void QuotaTask::send(const HostId& host, std::string payload)
{
    m_metrics.add("control_bytes_sent_quota", payload.size());
    m_hub.sendToHost(host, FrameKind::Quota, std::move(payload));
}

// Requests that were waiting, oldest first, and then those whose wait has ended.
void QuotaTask::answerWaiters()
{
    TimePoint now = BootClock::now();
    std::deque<Waiter> waiters = std::exchange(m_waiters, {});
    for (Waiter& waiter : waiters) {
        QuotaVerdict verdict = m_share.trySpend(waiter.tenant, now);
        if (verdict == QuotaVerdict::Pending && now >= waiter.until)
            verdict = m_share.finalVerdict(waiter.tenant, now);
        if (verdict == QuotaVerdict::Pending)
            m_waiters.push_back(std::move(waiter));
        else
            finish(waiter.tenant, verdict, waiter.answer);
    }
}

void QuotaTask::finish(const TenantName& tenant, QuotaVerdict verdict, const Answer& answer)
{
    if (verdict == QuotaVerdict::Admitted) {
        m_metrics.add("quota_admitted");
        return answer(verdict, Duration::zero());
    }
    TimePoint now = BootClock::now();
    Duration retryAfter = m_share.retryAfter(tenant, now);
    m_metrics.add(verdict == QuotaVerdict::Exceeded ? "quota_exceeded" : "quota_unavailable");
    logRefusal(tenant, verdict, retryAfter, now);
    answer(verdict, retryAfter);
}

void QuotaTask::logRefusal(const TenantName& tenant, QuotaVerdict verdict, Duration retryAfter, TimePoint now)
{
    auto admitted = m_refusalLog.admit(now);
    if (!admitted)
        return;
    QuotaDemand figures = m_share.figures(tenant, now);
    Event("allotment_refused")
        .with("tenant", tenant)
        .with("reason", verdict == QuotaVerdict::Exceeded ? "exceeded" : "no_leader")
        .with("held", figures.held)
        .with("spent", figures.spent)
        .with("wanted", figures.wanted)
        .with("retry_after_ms", std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count())
        .with("left_out", admitted->suppressed);
}

void QuotaTask::work()
{
    if (m_isStopped)
        return;
    TimePoint now = BootClock::now();
    bool isOverdue
        = std::any_of(m_waiters.begin(), m_waiters.end(), [now](const Waiter& waiter) { return waiter.until <= now; });
    if (isOverdue)
        answerWaiters();
    followLeadership();
    sendReport();
    armTimer();
}

void QuotaTask::armTimer()
{
    // The divider has to know since when this host leads, also while no tenant has a limit.
    TimePoint next = std::min<TimePoint>(m_share.nextReport(), BootClock::now() + leadershipInterval);
    for (const Waiter& waiter : m_waiters)
        next = std::min(next, waiter.until);
    m_timer.arm(next);
}

} // namespace dragonflylane
