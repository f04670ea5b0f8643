#include "dragonflylane/RankedAdmission.h"

#include <algorithm>
#include <tuple>

namespace dragonflylane {

namespace {

    constexpr size_t maxRoutes = 1024;
    // Safety margin of the expected service time, in mean deviations. Covers about 90 % of the calls of a route.
    constexpr double marginInDeviations = 2;
    // Of two routes with equal priority, one whose time to the target is longer by more than this factor ranks lower:
    // its callers have more time to retry.
    constexpr int longTargetRatio = 2;
    // Decay factor of a route's time to the target, applied at each call. The value follows the maximum over recent
    // calls, because only first attempts have the whole time; retries have a part of it left.
    constexpr double timeToTargetDecay = 0.98;

    // A tenant that is ahead of its share is queued only if its expected wait is this many times shorter than it may
    // be.
    constexpr int overtakenWaitDivisor = 2;

    double nanosecondsOf(Duration duration)
    {
        return static_cast<double>(duration.count());
    }

    Duration durationOf(double nanoseconds)
    {
        return Duration(static_cast<Duration::rep>(nanoseconds));
    }

    TimePoint targetOf(const CallTicket& ticket)
    {
        return ticket.target == TimePoint() ? ticket.deadline : std::min(ticket.target, ticket.deadline);
    }

} // namespace

RankedAdmission::RankedAdmission(RankedAdmissionOptions options)
    : m_options(options)
    , m_estimateOptions { .weight = options.estimateWeight, .halfLife = options.estimateHalfLife }
    , m_drain(options.drainWindow)
{
}

AdmitDecision RankedAdmission::offer(const CallTicket& offered, TimePoint now)
{
    CallTicket ticket = offered;
    auto refuse = [](ResultCode code, Duration wait = {}) { return AdmitDecision { AdmitAction::Refuse, code, wait }; };
    if (m_isLeaving)
        return refuse(ResultCode::DaemonLeaving);
    if (m_drain.isDraining())
        return refuse(ResultCode::UpstreamDraining);
    if (m_options.slots == 0)
        return refuse(ResultCode::NoUpstream);
    if (ticket.deadline <= now)
        return refuse(ResultCode::DeadlineExceeded);
    if (ticket.isSuspect && isSuspectAdmitted())
        return refuse(ResultCode::SuspectAlreadyRunning);
    recordOffer(ticket, now);
    // A call for which others wait is not marked late.
    ticket.isLate = now + serviceTime(ticket, now) > targetOf(ticket) && !isAwaited(ticket, now);
    if (m_options.sharesBetweenTenants)
        ticket.startTag = m_fairness.startTag(ticket.tenantKey);
    ticket.chargedServiceTime = serviceTime(ticket, now);
    TimePoint startBy = m_options.refuseLate ? latestStart(ticket, now) : ticket.deadline;
    bool isOvertakenByTenants = ticket.tenantKey != 0 && m_options.sharesBetweenTenants && !isAwaited(ticket, now);
    // Without a queue deadline, a ticket could wait until its deadline while newer tickets are served before it.
    ticket.queueDeadline = ticket.isLate || isOvertakenByTenants ? startBy : ticket.deadline;
    // The expected wait doesn't include calls of other tenants that are still to come.
    if (isOvertakenByTenants && m_fairness.isAheadOfShare(ticket.tenantKey) && startBy > now)
        startBy = now + (startBy - now) / overtakenWaitDivisor;
    bool isFirst = m_queue.empty() || precedes(ticket, m_queue.front());
    bool canStartNow = isFirst && mayStart(now);
    if (canStartNow && ticket.answerDelay == Duration::zero()) {
        charge(ticket);
        start(ticket, now);
        return { AdmitAction::Admit, ResultCode::Ok };
    }
    Duration wait = (canStartNow ? Duration::zero() : expectedWait(ticket, now)) + ticket.answerDelay;
    if (now + wait + serviceTime(ticket, now) > ticket.deadline)
        return refuse(ResultCode::WouldMissDeadline, wait);
    if (now + wait > startBy || wait > ticket.maxWait || m_queue.size() >= capacity())
        return refuse(ResultCode::QueueFull, wait);
    charge(ticket);
    if (canStartNow) {
        start(ticket, now);
        return { AdmitAction::Admit, ResultCode::Ok };
    }
    enqueue(ticket);
    return { AdmitAction::Queue, ResultCode::Ok };
}

AdmissionChanges RankedAdmission::finished(uint64_t id, CallOutcome outcome, TimePoint now)
{
    AdmissionChanges changes;
    auto found = m_running.find(id);
    if (found == m_running.end())
        return changes;
    recordOutcome(found->second, outcome, now);
    m_running.erase(found);
    dispatchQueued(changes, now);
    return changes;
}

bool RankedAdmission::cancel(uint64_t id)
{
    auto found
        = std::find_if(m_queue.begin(), m_queue.end(), [id](const CallTicket& ticket) { return ticket.id == id; });
    if (found == m_queue.end())
        return false;
    m_fairness.withdrawn(found->tenantKey, found->chargedServiceTime);
    m_queue.erase(found);
    return true;
}

AdmissionChanges RankedAdmission::setSlots(uint32_t slots, TimePoint now)
{
    m_options.slots = slots;
    return tick(now);
}

AdmissionChanges RankedAdmission::setRateLimit(std::optional<RequestRate> limit, TimePoint now)
{
    m_rateLimiter.setLimit(limit, now);
    return tick(now);
}

AdmissionChanges RankedAdmission::setDraining(bool isDraining, TimePoint now)
{
    AdmissionChanges changes;
    m_drain.setDraining(isDraining, now);
    refuseAfterDrain(changes, now);
    return changes;
}

std::vector<RefusedTicket> RankedAdmission::refuseQueued(ResultCode code)
{
    AdmissionChanges changes;
    for (const CallTicket& ticket : m_queue)
        refuseTicket(changes, ticket, code);
    m_queue.clear();
    return std::move(changes.refused);
}

AdmissionChanges RankedAdmission::tick(TimePoint now)
{
    AdmissionChanges changes;
    dispatchQueued(changes, now);
    return changes;
}

std::optional<TimePoint> RankedAdmission::nextWakeup() const
{
    if (m_queue.empty())
        return std::nullopt;
    bool waitsOnlyForRate = m_rateLimiter.isLimited() && freeSlots() > 0;
    TimePoint wakeup = waitsOnlyForRate ? m_rateLimiter.nextSend() : TimePoint::max();
    for (const CallTicket& ticket : m_queue)
        wakeup = std::min({ wakeup, ticket.deadline, ticket.queueDeadline });
    if (m_drain.end())
        wakeup = std::min(wakeup, *m_drain.end());
    return wakeup;
}

LoadReport RankedAdmission::load(TimePoint now) const
{
    LoadReport report { .running = static_cast<uint32_t>(m_running.size()),
        .queued = static_cast<uint32_t>(m_queue.size()),
        .limit = m_options.slots,
        .serviceTime = meanServiceTime(now) };
    if (m_options.reportsRateWait)
        report.addWait(m_rateLimiter.wait(m_queue.size(), now));
    return report;
}

Duration RankedAdmission::serviceTime(const CallTicket& ticket, TimePoint now) const
{
    auto found = m_routes.find(ticket.routeKey);
    if (found == m_routes.end())
        return Duration::zero();
    return found->second.serviceTime.mean(now, m_estimateOptions);
}

void RankedAdmission::recordOffer(const CallTicket& ticket, TimePoint now)
{
    // Bounds the memory when the routes of the configuration change; the statistics are soon collected again.
    if (m_routes.size() >= maxRoutes)
        m_routes.clear();
    Route& route = m_routes[ticket.routeKey];
    route.priority = ticket.priority;
    // A retry has only a part of the time left, so it must not lower the value at once.
    Duration decayed = durationOf(nanosecondsOf(route.timeToTarget) * timeToTargetDecay);
    route.timeToTarget = std::max(targetOf(ticket) - now, decayed);
    route.offeredAt = now;
    if (ticket.isNested)
        m_nestedOfferedAt = now;
}

bool RankedAdmission::outranksActiveRoute(const CallTicket& ticket, TimePoint now) const
{
    const Route& own = m_routes.at(ticket.routeKey);
    return std::any_of(m_routes.begin(), m_routes.end(), [&](const auto& item) {
        const Route& other = item.second;
        return isHigherRank(own, other) && now - other.offeredAt < m_options.routeIdleAfter;
    });
}

bool RankedAdmission::isHigherRank(const Route& route, const Route& than) const
{
    bool hasMoreTime = than.timeToTarget > longTargetRatio * route.timeToTarget;
    return route.priority < than.priority || (route.priority == than.priority && hasMoreTime);
}

bool RankedAdmission::precedes(const CallTicket& left, const CallTicket& right) const
{
    if (!m_options.orderByRank)
        return false;
    auto rankOf = [](const CallTicket& ticket) {
        return std::tuple(
            ticket.tenantPriority, ticket.priority, !ticket.isNested, ticket.isLate, ticket.startTag, targetOf(ticket));
    };
    return rankOf(left) < rankOf(right);
}

bool RankedAdmission::isSuspectAdmitted() const
{
    bool isQueued
        = std::any_of(m_queue.begin(), m_queue.end(), [](const CallTicket& ticket) { return ticket.isSuspect; });
    return isQueued || std::any_of(m_running.begin(), m_running.end(), [](const auto& item) {
        return item.second.ticket.isSuspect;
    });
}

size_t RankedAdmission::capacity() const
{
    return std::max<size_t>(1, static_cast<size_t>(m_options.slots * m_options.queuePerSlot));
}

Duration RankedAdmission::meanServiceTime(TimePoint now) const
{
    if (m_running.empty())
        return Duration::zero();
    double sum = 0;
    for (const auto& [id, call] : m_running)
        sum += nanosecondsOf(serviceTime(call.ticket, now));
    return durationOf(sum / static_cast<double>(m_running.size()));
}

// The ticket starts once it has a slot and the rate limit of the upstream allows another request.
Duration RankedAdmission::expectedWait(const CallTicket& ticket, TimePoint now) const
{
    auto ahead = static_cast<size_t>(std::count_if(
        m_queue.begin(), m_queue.end(), [&](const CallTicket& other) { return !precedes(ticket, other); }));
    return std::max(expectedSlotWait(ahead, now), m_rateLimiter.wait(ahead, now));
}

// Tickets for which no slot is free start one by one as calls finish. A call that has run longer than its expected
// service time is expected to finish within an eighth of that time.
Duration RankedAdmission::expectedSlotWait(size_t ahead, TimePoint now) const
{
    constexpr int overdueDivisor = 8;
    if (ahead < freeSlots() || m_running.empty())
        return Duration::zero();
    ahead -= freeSlots();
    std::vector<Duration> ends;
    for (const auto& [id, call] : m_running) {
        Duration service = serviceTime(call.ticket, now);
        ends.push_back(std::max(service - (now - call.startedAt), service / overdueDivisor));
    }
    std::sort(ends.begin(), ends.end());
    return ends[ahead % ends.size()] + meanServiceTime(now) * static_cast<Duration::rep>(ahead / ends.size());
}

TimePoint RankedAdmission::latestStart(const CallTicket& ticket, TimePoint now) const
{
    const Route& route = m_routes.at(ticket.routeKey);
    Duration service = serviceTime(ticket, now);
    Duration margin = route.serviceTime.margin(marginInDeviations, now, m_estimateOptions);
    TimePoint target = targetOf(ticket);
    // A call for which others wait may finish after its target, but no later than halfway from there to its deadline.
    if (isAwaited(ticket, now))
        return target + (ticket.deadline - target) / 2 - service;
    // A call that cannot meet its target even on an idle upstream is still useful until its deadline, so it may wait
    // for a short time.
    return ticket.isLate ? now + service / 4 : target - service - margin;
}

bool RankedAdmission::isAwaited(const CallTicket& ticket, TimePoint now) const
{
    bool hasNestedCalls = m_nestedOfferedAt != TimePoint() && now - m_nestedOfferedAt < m_options.routeIdleAfter;
    return ticket.isNested || (!hasNestedCalls && outranksActiveRoute(ticket, now));
}

void RankedAdmission::charge(CallTicket& ticket)
{
    if (m_options.sharesBetweenTenants)
        ticket.startTag = m_fairness.enqueue(ticket.tenantKey, ticket.chargedServiceTime);
}

void RankedAdmission::enqueue(const CallTicket& ticket)
{
    auto position = std::upper_bound(m_queue.begin(), m_queue.end(), ticket,
        [&](const CallTicket& a, const CallTicket& b) { return precedes(a, b); });
    m_queue.insert(position, ticket);
}

void RankedAdmission::start(const CallTicket& ticket, TimePoint now)
{
    m_running[ticket.id] = { ticket, now };
    m_rateLimiter.recordSent(now);
    m_fairness.started(ticket.startTag);
}

void RankedAdmission::refuseTicket(
    AdmissionChanges& changes, const CallTicket& ticket, ResultCode code, Duration expectedWait)
{
    m_fairness.withdrawn(ticket.tenantKey, ticket.chargedServiceTime);
    changes.refused.push_back({ ticket, code, expectedWait });
}

// Refuses the queued tickets that are not expected to start before the drain window ends, so that they can be served by
// another upstream. The queue is in order of service, so these are at its end.
void RankedAdmission::refuseAfterDrain(AdmissionChanges& changes, TimePoint now)
{
    if (!m_drain.isDraining())
        return;
    size_t kept = 0;
    while (kept < m_queue.size() && m_drain.maySend(now)
        && m_drain.maySend(now + std::max(expectedSlotWait(kept, now), m_rateLimiter.wait(kept, now))))
        ++kept;
    for (size_t i = kept; i < m_queue.size(); ++i)
        refuseTicket(changes, m_queue[i], ResultCode::UpstreamDraining);
    m_queue.resize(kept);
}

void RankedAdmission::dispatchQueued(AdmissionChanges& changes, TimePoint now)
{
    if (!m_drain.maySend(now))
        refuseAfterDrain(changes, now);
    std::vector<CallTicket> kept;
    for (const CallTicket& ticket : m_queue) {
        bool isExpired = ticket.deadline <= now;
        bool isPastQueueDeadline = !isExpired && !mayStart(now) && now > ticket.queueDeadline;
        if (isPastQueueDeadline) {
            refuseTicket(changes, ticket, ResultCode::QueueFull, expectedWait(ticket, now));
            continue;
        }
        if (!isExpired && !mayStart(now)) {
            kept.push_back(ticket);
            continue;
        }
        // Do not spend a slot on a call that would miss its deadline.
        bool wouldMissDeadline = !isExpired && now + serviceTime(ticket, now) > ticket.deadline;
        if (isExpired || wouldMissDeadline) {
            refuseTicket(changes, ticket, isExpired ? ResultCode::DeadlineExceeded : ResultCode::WouldMissDeadline);
            continue;
        }
        start(ticket, now);
        changes.dispatched.push_back(ticket);
    }
    m_queue = std::move(kept);
}

void RankedAdmission::recordOutcome(const RunningCall& call, CallOutcome outcome, TimePoint now)
{
    auto found = m_routes.find(call.ticket.routeKey);
    if (found != m_routes.end())
        found->second.serviceTime.addSample(now - call.startedAt, outcome, now, m_estimateOptions);
}

} // namespace dragonflylane
