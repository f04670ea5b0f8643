#include "dragonflylane/OwnerAdmission.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    double nanosecondsOf(Duration duration)
    {
        return static_cast<double>(duration.count());
    }

    Duration durationOf(double nanoseconds)
    {
        return Duration(static_cast<Duration::rep>(nanoseconds));
    }

} // namespace

OwnerAdmission::OwnerAdmission(OwnerAdmissionOptions options)
    : m_options(options)
    , m_estimateOptions { .weight = options.estimateWeight, .halfLife = options.estimateHalfLife }
    , m_limit(options.slots)
    , m_drain(options.drainWindow)
{
}

AdmitDecision OwnerAdmission::offer(const CallTicket& ticket, TimePoint now)
{
    auto refuse = [](ResultCode code) { return AdmitDecision { AdmitAction::Refuse, code }; };
    if (m_isLeaving)
        return refuse(ResultCode::DaemonLeaving);
    if (m_drain.isDraining())
        return refuse(ResultCode::UpstreamDraining);
    if (m_options.slots == 0)
        return refuse(ResultCode::NoUpstream);
    if (ticket.deadline <= now)
        return refuse(ResultCode::DeadlineExceeded);
    if (m_options.limitSuspects && ticket.isSuspect && (isSuspectRunning() || isSuspectQueued()))
        return refuse(ResultCode::SuspectAlreadyRunning);

    CallClass& callClass = classOf(ticket.isNonIdempotent);
    callClass.lastOfferAt = now;
    bool mustQueue = !mayStart(ticket.isNonIdempotent, now) || nextRunnable(ticket.isNonIdempotent);
    Duration wait = mustQueue ? expectedWait(ticket, now) : Duration::zero();
    if (ResultCode code = checkDeadline(ticket, wait, now); code != ResultCode::Ok)
        return refuse(code);
    if (!mustQueue) {
        start(ticket, now);
        return { AdmitAction::Admit, ResultCode::Ok };
    }

    uint32_t capacity = queueCapacity();
    uint32_t classCapacity = capacity - reservedFor(!ticket.isNonIdempotent, capacity, now);
    if (queuedCount() >= capacity || callClass.queue.size() >= classCapacity)
        return refuse(ResultCode::QueueFull);
    enqueue(ticket);
    return { AdmitAction::Queue, ResultCode::Ok };
}

AdmissionChanges OwnerAdmission::finished(uint64_t id, CallOutcome outcome, TimePoint now)
{
    AdmissionChanges changes;
    auto found = m_running.find(id);
    if (found == m_running.end())
        return changes;
    RunningCall call = found->second;
    m_running.erase(found);
    --classOf(call.isNonIdempotent).running;
    if (call.isSuspect)
        --m_suspectsRunning;
    recordOutcome(call, outcome, now);
    dispatchQueued(changes, now);
    return changes;
}

bool OwnerAdmission::cancel(uint64_t id)
{
    for (CallClass& callClass : m_classes) {
        if (std::erase_if(callClass.queue, [id](const CallTicket& ticket) { return ticket.id == id; }))
            return true;
    }
    return false;
}

AdmissionChanges OwnerAdmission::setSuspect(uint64_t id, bool isSuspect, TimePoint now)
{
    if (auto found = m_running.find(id); found != m_running.end() && found->second.isSuspect != isSuspect) {
        found->second.isSuspect = isSuspect;
        if (isSuspect)
            ++m_suspectsRunning;
        else
            --m_suspectsRunning;
    }
    for (CallClass& callClass : m_classes) {
        for (CallTicket& ticket : callClass.queue) {
            if (ticket.id == id)
                ticket.isSuspect = isSuspect;
        }
    }
    AdmissionChanges changes;
    dispatchQueued(changes, now);
    return changes;
}

AdmissionChanges OwnerAdmission::setSlots(uint32_t slots, TimePoint now)
{
    bool isLimitAtSlots = m_limit >= m_options.slots;
    m_options.slots = slots;
    m_limit = isLimitAtSlots ? slots : std::min<double>(m_limit, slots);
    AdmissionChanges changes;
    dispatchQueued(changes, now);
    return changes;
}

AdmissionChanges OwnerAdmission::setRateLimit(std::optional<RequestRate> limit, TimePoint now)
{
    m_rateLimiter.setLimit(limit, now);
    return tick(now);
}

AdmissionChanges OwnerAdmission::setDraining(bool isDraining, TimePoint now)
{
    AdmissionChanges changes;
    m_drain.setDraining(isDraining, now);
    refuseAfterDrain(changes, now);
    return changes;
}

std::vector<RefusedTicket> OwnerAdmission::refuseQueued(ResultCode code)
{
    std::vector<RefusedTicket> refused;
    for (CallClass& callClass : m_classes) {
        for (const CallTicket& ticket : callClass.queue)
            refused.push_back({ ticket, code });
        callClass.queue.clear();
    }
    return refused;
}

AdmissionChanges OwnerAdmission::tick(TimePoint now)
{
    AdmissionChanges changes;
    dispatchQueued(changes, now);
    return changes;
}

std::optional<TimePoint> OwnerAdmission::nextWakeup() const
{
    std::optional<TimePoint> wakeup;
    auto consider = [&wakeup](TimePoint time) { wakeup = wakeup ? std::min(*wakeup, time) : time; };
    for (const CallClass& callClass : m_classes) {
        for (const CallTicket& ticket : callClass.queue)
            consider(ticket.deadline);
    }
    if (m_drain.end() && queuedCount() > 0)
        consider(*m_drain.end());
    // When a reservation lapses, the other class may use its slots although no call has finished.
    for (size_t i = 0; i < m_classes.size(); ++i) {
        const CallClass& other = m_classes[1 - i];
        if (!m_classes[i].queue.empty() && m_running.size() < limit() && other.lastOfferAt)
            consider(*other.lastOfferAt + m_options.classIdleAfter);
    }
    if (m_rateLimiter.isLimited() && queuedCount() > 0 && m_running.size() < limit())
        consider(m_rateLimiter.nextSend());
    return wakeup;
}

LoadReport OwnerAdmission::load(TimePoint now) const
{
    LoadReport report;
    report.running = static_cast<uint32_t>(m_running.size());
    report.queued = queuedCount();
    report.limit = limit();
    Duration idempotentTime = serviceTime(false, now);
    Duration nonIdempotentTime = serviceTime(true, now);
    if (idempotentTime == Duration::zero() || nonIdempotentTime == Duration::zero())
        report.serviceTime = std::max(idempotentTime, nonIdempotentTime);
    else
        report.serviceTime = (idempotentTime + nonIdempotentTime) / 2;
    report.addWait(m_rateLimiter.wait(queuedCount(), now));
    return report;
}

Duration OwnerAdmission::serviceTime(bool isNonIdempotent, TimePoint now) const
{
    return classOf(isNonIdempotent).estimate.mean(now, m_estimateOptions);
}

double OwnerAdmission::shareOf(bool isNonIdempotent) const
{
    return isNonIdempotent ? m_options.nonIdempotentShare : m_options.idempotentShare;
}

uint32_t OwnerAdmission::limit() const
{
    if (m_options.slots == 0 || !m_options.adaptLimit)
        return m_options.slots;
    return std::clamp(static_cast<uint32_t>(m_limit), 1U, m_options.slots);
}

uint32_t OwnerAdmission::queueCapacity() const
{
    return std::max(1U, static_cast<uint32_t>(m_options.slots * m_options.queuePerSlot));
}

uint32_t OwnerAdmission::queuedCount() const
{
    return static_cast<uint32_t>(m_classes[0].queue.size() + m_classes[1].queue.size());
}

bool OwnerAdmission::isInUse(bool isNonIdempotent, TimePoint now) const
{
    const auto& lastOfferAt = classOf(isNonIdempotent).lastOfferAt;
    return lastOfferAt && now < *lastOfferAt + m_options.classIdleAfter;
}

uint32_t OwnerAdmission::reservedFor(bool isNonIdempotent, uint32_t total, TimePoint now) const
{
    if (!m_options.reserveShares || total < 2 || !isInUse(isNonIdempotent, now))
        return 0;
    return std::max(1U, static_cast<uint32_t>(total * shareOf(isNonIdempotent)));
}

bool OwnerAdmission::mayStart(bool isNonIdempotent, TimePoint now) const
{
    return m_rateLimiter.maySend(now) && hasSlotFor(isNonIdempotent, now);
}

bool OwnerAdmission::hasSlotFor(bool isNonIdempotent, TimePoint now) const
{
    uint32_t total = limit();
    if (m_running.size() >= total)
        return false;
    return classOf(isNonIdempotent).running < total - reservedFor(!isNonIdempotent, total, now);
}

bool OwnerAdmission::isSuspectQueued() const
{
    return std::any_of(m_classes.begin(), m_classes.end(), [](const CallClass& callClass) {
        return std::any_of(
            callClass.queue.begin(), callClass.queue.end(), [](const CallTicket& ticket) { return ticket.isSuspect; });
    });
}

// The ticket starts once it has a slot and the rate limit of the upstream allows another request.
Duration OwnerAdmission::expectedWait(const CallTicket& ticket, TimePoint now) const
{
    bool waitsOnlyForRate = !m_rateLimiter.maySend(now) && hasSlotFor(ticket.isNonIdempotent, now);
    Duration slotWait = waitsOnlyForRate ? Duration::zero() : expectedSlotWait(ticket, now);
    return std::max(slotWait, m_rateLimiter.wait(queuedCount(), now));
}

// With n busy slots, one call finishes every (service time / n). The ticket starts once (tickets ahead of it + 1) calls
// have finished. While the other class has queued tickets too, only this class's share of the freed slots counts.
Duration OwnerAdmission::expectedSlotWait(const CallTicket& ticket, TimePoint now) const
{
    const CallClass& callClass = classOf(ticket.isNonIdempotent);
    auto isAhead
        = [&](const CallTicket& other) { return !m_options.orderByDeadline || other.deadline <= ticket.deadline; };
    auto ahead = std::count_if(callClass.queue.begin(), callClass.queue.end(), isAhead);
    double totalServiceTime = nanosecondsOf(serviceTime(false, now)) * m_classes[0].running
        + nanosecondsOf(serviceTime(true, now)) * m_classes[1].running;
    double running = std::max<double>(1, static_cast<double>(m_running.size()));
    double classShare = 1;
    if (m_options.reserveShares && !classOf(!ticket.isNonIdempotent).queue.empty())
        classShare = shareOf(ticket.isNonIdempotent) / (shareOf(true) + shareOf(false));
    return durationOf(
        totalServiceTime / running * static_cast<double>(ahead + 1) / (std::max(1U, limit()) * classShare));
}

ResultCode OwnerAdmission::checkDeadline(const CallTicket& ticket, Duration wait, TimePoint now) const
{
    if (ticket.deadline <= now)
        return ResultCode::DeadlineExceeded;
    if (m_options.refuseLate && now + wait + serviceTime(ticket.isNonIdempotent, now) > ticket.deadline)
        return ResultCode::WouldMissDeadline;
    return ResultCode::Ok;
}

void OwnerAdmission::enqueue(const CallTicket& ticket)
{
    CallClass& callClass = classOf(ticket.isNonIdempotent);
    // A class must not accumulate credit while its queue is empty.
    if (callClass.queue.empty())
        callClass.virtualTime = std::max(callClass.virtualTime, classOf(!ticket.isNonIdempotent).virtualTime);
    auto position = callClass.queue.end();
    if (m_options.orderByDeadline) {
        position = std::upper_bound(callClass.queue.begin(), callClass.queue.end(), ticket,
            [](const CallTicket& a, const CallTicket& b) { return a.deadline < b.deadline; });
    }
    callClass.queue.insert(position, ticket);
}

void OwnerAdmission::start(const CallTicket& ticket, TimePoint now)
{
    m_running[ticket.id] = { now, ticket.isNonIdempotent, ticket.isSuspect };
    m_rateLimiter.recordSent(now);
    CallClass& callClass = classOf(ticket.isNonIdempotent);
    ++callClass.running;
    callClass.virtualTime += 1 / shareOf(ticket.isNonIdempotent);
    if (ticket.isSuspect)
        ++m_suspectsRunning;
}

std::optional<size_t> OwnerAdmission::nextRunnable(bool isNonIdempotent) const
{
    const auto& queue = classOf(isNonIdempotent).queue;
    bool skipSuspects = m_options.limitSuspects && isSuspectRunning();
    for (size_t i = 0; i < queue.size(); ++i) {
        if (!skipSuspects || !queue[i].isSuspect)
            return i;
    }
    return std::nullopt;
}

std::optional<bool> OwnerAdmission::nextClass(TimePoint now) const
{
    bool nonIdempotentCanRun = mayStart(true, now) && nextRunnable(true);
    bool idempotentCanRun = mayStart(false, now) && nextRunnable(false);
    if (!nonIdempotentCanRun && !idempotentCanRun)
        return std::nullopt;
    if (nonIdempotentCanRun != idempotentCanRun)
        return nonIdempotentCanRun;
    if (!m_options.reserveShares)
        return classOf(true).queue.front().deadline < classOf(false).queue.front().deadline;
    return classOf(true).virtualTime <= classOf(false).virtualTime;
}

void OwnerAdmission::expire(AdmissionChanges& changes, TimePoint now)
{
    for (CallClass& callClass : m_classes) {
        std::erase_if(callClass.queue, [&](const CallTicket& ticket) {
            if (ticket.deadline > now)
                return false;
            changes.refused.push_back({ ticket, ResultCode::DeadlineExceeded });
            return true;
        });
    }
}

// Refuses the queued tickets that are not expected to start before the drain window ends, so that they can be served by
// another upstream.
void OwnerAdmission::refuseAfterDrain(AdmissionChanges& changes, TimePoint now)
{
    if (!m_drain.isDraining())
        return;
    bool mayWait = m_drain.maySend(now);
    for (CallClass& callClass : m_classes) {
        std::vector<CallTicket> kept;
        for (const CallTicket& ticket : callClass.queue) {
            if (mayWait && m_drain.maySend(now + expectedWait(ticket, now)))
                kept.push_back(ticket);
            else
                changes.refused.push_back({ ticket, ResultCode::UpstreamDraining });
        }
        callClass.queue = std::move(kept);
    }
}

void OwnerAdmission::dispatchQueued(AdmissionChanges& changes, TimePoint now)
{
    expire(changes, now);
    if (!m_drain.maySend(now))
        refuseAfterDrain(changes, now);
    while (std::optional<bool> isNonIdempotent = nextClass(now)) {
        auto& queue = classOf(*isNonIdempotent).queue;
        auto position = queue.begin() + static_cast<std::ptrdiff_t>(*nextRunnable(*isNonIdempotent));
        CallTicket ticket = *position;
        queue.erase(position);
        // Do not spend a slot on a call that would miss its deadline.
        if (ResultCode code = checkDeadline(ticket, Duration::zero(), now); code != ResultCode::Ok) {
            changes.refused.push_back({ ticket, code });
            continue;
        }
        start(ticket, now);
        changes.dispatched.push_back(ticket);
    }
}

void OwnerAdmission::recordOutcome(const RunningCall& call, CallOutcome outcome, TimePoint now)
{
    if (outcome == CallOutcome::Shed)
        lowerLimit(call, now);
    if (outcome == CallOutcome::Success)
        raiseLimit();

    classOf(call.isNonIdempotent).estimate.addSample(now - call.startedAt, outcome, now, m_estimateOptions);
}

// Shed responses of calls that started before the last decrease belong to the same overload event, so they do not lower
// the limit again.
void OwnerAdmission::lowerLimit(const RunningCall& call, TimePoint now)
{
    if (m_limitLoweredAt && call.startedAt <= *m_limitLoweredAt)
        return;
    m_limit = std::max(1.0, m_limit * m_options.decreaseFactor);
    m_limitLoweredAt = now;
}

void OwnerAdmission::raiseLimit()
{
    m_limit = std::min<double>(m_options.slots, m_limit + m_options.increaseStep / std::max(1.0, m_limit));
}

} // namespace dragonflylane
