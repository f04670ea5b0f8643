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
    , m_estimate { .weight = options.estimateWeight, .halfLife = options.estimateHalfLife }
    , m_limit(options.slots)
{
}

AdmitDecision OwnerAdmission::offer(const CallTicket& ticket, TimePoint now)
{
    auto refuse = [](ResultCode code) { return AdmitDecision { AdmitAction::Refuse, code }; };
    if (m_isLeaving)
        return refuse(ResultCode::DaemonLeaving);
    if (m_isDraining)
        return refuse(ResultCode::UpstreamDraining);
    if (m_options.slots == 0)
        return refuse(ResultCode::NoUpstream);
    if (ticket.deadline <= now)
        return refuse(ResultCode::DeadlineExceeded);
    if (m_options.limitSuspects && ticket.isSuspect && (suspectRuns() || suspectQueued()))
        return refuse(ResultCode::SuspectAlreadyRunning);

    CallClass& callClass = classOf(ticket.isOrder);
    callClass.lastOfferAt = now;
    bool mustQueue = !mayRun(ticket.isOrder, now) || nextIndex(ticket.isOrder);
    Duration wait = mustQueue ? expectedWait(ticket, now) : Duration::zero();
    if (ResultCode code = lateness(ticket, wait, now); code != ResultCode::Ok)
        return refuse(code);
    if (!mustQueue) {
        start(ticket, now);
        return { AdmitAction::Admit, ResultCode::Ok };
    }

    uint32_t capacity = queueCapacity();
    uint32_t classCapacity = capacity - reserved(!ticket.isOrder, capacity, now);
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
    --classOf(call.isOrder).running;
    if (call.isSuspect)
        --m_suspectsRunning;
    learn(call, outcome, now);
    handOver(changes, now);
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
    handOver(changes, now);
    return changes;
}

AdmissionChanges OwnerAdmission::setSlots(uint32_t slots, TimePoint now)
{
    bool isUnlimited = m_limit >= m_options.slots;
    m_options.slots = slots;
    m_limit = isUnlimited ? slots : std::min<double>(m_limit, slots);
    AdmissionChanges changes;
    handOver(changes, now);
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
    handOver(changes, now);
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
    // A reservation that lapses frees slots for the other class without any call finishing.
    for (size_t i = 0; i < m_classes.size(); ++i) {
        const CallClass& other = m_classes[1 - i];
        if (!m_classes[i].queue.empty() && m_running.size() < limit() && other.lastOfferAt)
            consider(*other.lastOfferAt + m_options.classIdleAfter);
    }
    return wakeup;
}

LoadReport OwnerAdmission::load(TimePoint now) const
{
    LoadReport report;
    report.running = static_cast<uint32_t>(m_running.size());
    report.queued = queuedCount();
    report.limit = limit();
    Duration lookups = serviceTime(false, now);
    Duration orders = serviceTime(true, now);
    if (lookups == Duration::zero() || orders == Duration::zero())
        report.serviceTime = std::max(lookups, orders);
    else
        report.serviceTime = (lookups + orders) / 2;
    return report;
}

Duration OwnerAdmission::serviceTime(bool isOrder, TimePoint now) const
{
    return classOf(isOrder).estimate.mean(now, m_estimate);
}

double OwnerAdmission::shareOf(bool isOrder) const
{
    return isOrder ? m_options.orderShare : m_options.lookupShare;
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

bool OwnerAdmission::isInUse(bool isOrder, TimePoint now) const
{
    const auto& lastOfferAt = classOf(isOrder).lastOfferAt;
    return lastOfferAt && now < *lastOfferAt + m_options.classIdleAfter;
}

uint32_t OwnerAdmission::reserved(bool isOrder, uint32_t total, TimePoint now) const
{
    if (!m_options.reserveShares || total < 2 || !isInUse(isOrder, now))
        return 0;
    return std::max(1U, static_cast<uint32_t>(total * shareOf(isOrder)));
}

bool OwnerAdmission::mayRun(bool isOrder, TimePoint now) const
{
    uint32_t total = limit();
    if (m_running.size() >= total)
        return false;
    return classOf(isOrder).running < total - reserved(!isOrder, total, now);
}

bool OwnerAdmission::suspectQueued() const
{
    return std::any_of(m_classes.begin(), m_classes.end(), [](const CallClass& callClass) {
        return std::any_of(
            callClass.queue.begin(), callClass.queue.end(), [](const CallTicket& ticket) { return ticket.isSuspect; });
    });
}

// With n slots busy, one call ends each service time / n. The ticket starts after one end more than there are tickets
// ahead of it, and its class gets only its part of the ends while the other class waits too.
Duration OwnerAdmission::expectedWait(const CallTicket& ticket, TimePoint now) const
{
    const CallClass& callClass = classOf(ticket.isOrder);
    auto isAhead
        = [&](const CallTicket& other) { return !m_options.orderByDeadline || other.deadline <= ticket.deadline; };
    auto ahead = std::count_if(callClass.queue.begin(), callClass.queue.end(), isAhead);
    double busy = nanosecondsOf(serviceTime(false, now)) * m_classes[0].running
        + nanosecondsOf(serviceTime(true, now)) * m_classes[1].running;
    double running = std::max<double>(1, static_cast<double>(m_running.size()));
    double part = 1;
    if (m_options.reserveShares && !classOf(!ticket.isOrder).queue.empty())
        part = shareOf(ticket.isOrder) / (shareOf(true) + shareOf(false));
    return durationOf(busy / running * static_cast<double>(ahead + 1) / (std::max(1U, limit()) * part));
}

ResultCode OwnerAdmission::lateness(const CallTicket& ticket, Duration wait, TimePoint now) const
{
    if (ticket.deadline <= now)
        return ResultCode::DeadlineExceeded;
    if (m_options.refuseLate && now + wait + serviceTime(ticket.isOrder, now) > ticket.deadline)
        return ResultCode::WouldMissDeadline;
    return ResultCode::Ok;
}

void OwnerAdmission::enqueue(const CallTicket& ticket)
{
    CallClass& callClass = classOf(ticket.isOrder);
    // A class that was idle must not make up for the time in which it had nothing to run.
    if (callClass.queue.empty())
        callClass.virtualTime = std::max(callClass.virtualTime, classOf(!ticket.isOrder).virtualTime);
    auto position = callClass.queue.end();
    if (m_options.orderByDeadline) {
        position = std::upper_bound(callClass.queue.begin(), callClass.queue.end(), ticket,
            [](const CallTicket& a, const CallTicket& b) { return a.deadline < b.deadline; });
    }
    callClass.queue.insert(position, ticket);
}

void OwnerAdmission::start(const CallTicket& ticket, TimePoint now)
{
    m_running[ticket.id] = { now, ticket.isOrder, ticket.isSuspect };
    CallClass& callClass = classOf(ticket.isOrder);
    ++callClass.running;
    callClass.virtualTime += 1 / shareOf(ticket.isOrder);
    if (ticket.isSuspect)
        ++m_suspectsRunning;
}

std::optional<size_t> OwnerAdmission::nextIndex(bool isOrder) const
{
    const auto& queue = classOf(isOrder).queue;
    bool skipSuspects = m_options.limitSuspects && suspectRuns();
    for (size_t i = 0; i < queue.size(); ++i) {
        if (!skipSuspects || !queue[i].isSuspect)
            return i;
    }
    return std::nullopt;
}

std::optional<bool> OwnerAdmission::nextClass(TimePoint now) const
{
    bool orderCanRun = mayRun(true, now) && nextIndex(true);
    bool lookupCanRun = mayRun(false, now) && nextIndex(false);
    if (!orderCanRun && !lookupCanRun)
        return std::nullopt;
    if (orderCanRun != lookupCanRun)
        return orderCanRun;
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

void OwnerAdmission::handOver(AdmissionChanges& changes, TimePoint now)
{
    expire(changes, now);
    while (std::optional<bool> isOrder = nextClass(now)) {
        auto& queue = classOf(*isOrder).queue;
        auto position = queue.begin() + static_cast<std::ptrdiff_t>(*nextIndex(*isOrder));
        CallTicket ticket = *position;
        queue.erase(position);
        // A call that would miss its deadline would only take the slot from one that can still meet it.
        if (ResultCode code = lateness(ticket, Duration::zero(), now); code != ResultCode::Ok) {
            changes.refused.push_back({ ticket, code });
            continue;
        }
        start(ticket, now);
        changes.handOver.push_back(ticket);
    }
}

void OwnerAdmission::learn(const RunningCall& call, CallOutcome outcome, TimePoint now)
{
    if (outcome == CallOutcome::Shed)
        lowerLimit(call, now);
    if (outcome == CallOutcome::Success)
        raiseLimit();

    classOf(call.isOrder).estimate.learn(now - call.startedAt, outcome, now, m_estimate);
}

// Calls that started before the last decrease were sent under the old limit; their shed answers are the same event.
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
