#include "dragonflylane/OwnerTask.h"

#include "dragonflylane/CrashTask.h"
#include "dragonflylane/Digest.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/ForwardWire.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/MemberRecord.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/OwnerAdmission.h"
#include "dragonflylane/RankedAdmission.h"
#include "dragonflylane/UpstreamStatement.h"
#include "gen-cpp/peer_types.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

namespace dragonflylane {

namespace asio = boost::asio;

namespace {

    // An hour; bounds what a malformed request can state.
    constexpr int64_t maxTypicalServiceMicroseconds = 3'600'000'000;

} // namespace

struct OwnerTask::Call {
    CallId id { 0 };
    wire::ForwardRequest request;
    Responder respond;
    TimePoint deadline;
    TimePoint receivedAt { BootClock::now() };
    TimePoint sentAt;
    Incarnation incarnation;
    CallSource source { CallSource::ThisDaemon };
    UpstreamClient::Cancel cancel;
    bool isSuspect { false };

    bool isRunning() const { return sentAt != TimePoint(); }
    ParentCall asParent() const
    {
        return { .tenant = TenantName(request.tenant),
            .tenantPriority = static_cast<uint32_t>(std::max(request.tenantPriority, 0)),
            .routeKey = static_cast<uint64_t>(request.routeKey),
            .priority = static_cast<uint32_t>(request.priority),
            .target = receivedAt + std::chrono::microseconds(request.targetMicroseconds),
            .deadline = deadline,
            .startedAt = sentAt };
    }
    Fingerprint fingerprint() const { return Fingerprint(static_cast<uint64_t>(request.fingerprint)); }
    /// Service time of the route at the peers of the upstream; zero if unknown.
    Duration typicalServiceTime() const
    {
        int64_t microseconds = request.__isset.typicalServiceMicroseconds ? request.typicalServiceMicroseconds : 0;
        return std::chrono::microseconds(std::clamp<int64_t>(microseconds, 0, maxTypicalServiceMicroseconds));
    }
};

namespace {

    constexpr unsigned statusServiceUnavailable = 503;
    constexpr unsigned firstServerError = 500;
    constexpr std::chrono::milliseconds probeTimeout { 200 };
    // An announcement shows that the upstream was alive this long ago, since it may have been delayed on its way.
    constexpr std::chrono::milliseconds maxAnnouncementDelay { 500 };
    // If the end of a lease is noticed later than this, the daemon itself was paused, and announcements may be waiting.
    constexpr std::chrono::milliseconds maxTimerDelay { 500 };

    // An upstream signals that it sheds load by status 503 with Retry-After or X-Load-Shed.
    bool isShedAnswer(const HttpResponse& response)
    {
        bool isMarked = !response.header("Retry-After").empty() || !response.header("X-Load-Shed").empty();
        return response.status == statusServiceUnavailable && isMarked;
    }

    CallOutcome outcomeOf(ResultCode code)
    {
        switch (code) {
        case ResultCode::Ok:
            return CallOutcome::Success;
        case ResultCode::UpstreamShed:
        case ResultCode::UpstreamRefused:
            return CallOutcome::Shed;
        case ResultCode::UpstreamTimeout:
            return CallOutcome::Timeout;
        default:
            return CallOutcome::Failure;
        }
    }

    // A call that is sent may first have to wait for a connection.
    Duration drainWindow(const OwnerTaskOptions& options)
    {
        Duration connectTimeout = UpstreamClientOptions().connectTimeout;
        return std::max(options.upstreamDrainTime - connectTimeout, Duration::zero());
    }

    std::unique_ptr<Admission> makeAdmission(const OwnerTaskOptions& options)
    {
        Duration window = drainWindow(options);
        if (options.usesRankedAdmission)
            return std::make_unique<RankedAdmission>(RankedAdmissionOptions { .slots = 0, .drainWindow = window });
        return std::make_unique<OwnerAdmission>(OwnerAdmissionOptions { .slots = 0, .drainWindow = window });
    }

} // namespace

ProcessId Announcement::process() const
{
    return ProcessId(stableHash(instance, startedAt));
}

ProcessId LeavingProcess::process() const
{
    return ProcessId(stableHash(instance, startedAt));
}

OwnerTask::OwnerTask(asio::io_context& context, OwnerTaskOptions options, const LinkPacer& pacer, CrashTask& crash,
    Metrics& metrics, Journal& journal, Hooks hooks)
    : m_context(context)
    , m_options(std::move(options))
    , m_crash(crash)
    , m_metrics(metrics)
    , m_journal(journal)
    , m_hooks(std::move(hooks))
    , m_admission(makeAdmission(m_options))
    , m_responseDelay(pacer)
    , m_unanswered({ .window = m_options.crashWindow })
    , m_performance(metrics, { .isPaced = m_options.pacesUpstream, .reportsSpeed = m_options.reportsSpeed })
    , m_timer(context, [this] {
        checkLease();
        applyChanges(m_admission->tick(BootClock::now()));
    })
{
}

OwnerTask::~OwnerTask() = default;

bool OwnerTask::isAnnouncedDrain() const
{
    return m_announcement && (m_announcement->phase == UpstreamPhase::Draining || m_statements.isLeaving());
}

const UpstreamDeparture* OwnerTask::departureBefore(const Announcement& announcement) const
{
    return m_departures.find(announcement.id, announcement.process(), announcement.sequence);
}

bool OwnerTask::isOutdated(const Announcement& announcement) const
{
    if (departureBefore(announcement))
        return true;
    if (!m_announcement)
        return false;
    if (announcement.startedAt != m_announcement->startedAt)
        return announcement.startedAt < m_announcement->startedAt;
    return announcement.id == m_announcement->id && announcement.sequence < m_announcement->sequence;
}

void OwnerTask::withdraw(const LeavingProcess& leaving, const Acknowledge& acknowledge)
{
    auto isLeaving = [&](const Announcement& announcement) {
        bool isSameStart = leaving.startedAt == 0 || leaving.startedAt == announcement.startedAt;
        return announcement.id == leaving.id && isSameStart;
    };
    DepartedProcess departed { .upstream = leaving.id, .departure = { .process = leaving.process(), .isFinal = true } };
    if (m_held && isLeaving(m_held->announcement)) {
        departed.departure.process = m_held->announcement.process();
        m_held.reset();
    }
    bool isCurrent = m_announcement && isLeaving(*m_announcement);
    if (isCurrent)
        departed.departure.process = m_announcement->process();
    m_departures.add(departed);
    if (isCurrent) {
        m_announcement->phase = UpstreamPhase::Draining;
        applyStatements(m_statements.withdraw(), BootClock::now());
        departed = drainOf(*m_announcement);
    }
    m_hooks.recordDeparture(departed, acknowledge);
}

// An announcement may have been accepted before its departure was known. It was outdated then, so the process drains.
void OwnerTask::drainIfDeparted()
{
    const UpstreamDeparture* departure = m_announcement ? departureBefore(*m_announcement) : nullptr;
    if (!departure || isAnnouncedDrain())
        return;
    m_announcement->phase = UpstreamPhase::Draining;
    m_departure = *departure;
    if (departure->isFinal)
        applyStatements(m_statements.withdraw(), BootClock::now());
    applyDrain();
    publish();
}

void OwnerTask::adoptDepartures(const std::vector<DepartedProcess>& departures)
{
    for (const DepartedProcess& departed : departures)
        m_departures.add(departed);
    drainIfDeparted();
    applyHeldAnnouncement();
}

void OwnerTask::hold(const Announcement& announcement)
{
    bool isOlder = m_held && m_held->announcement.startedAt == announcement.startedAt
        && announcement.sequence < m_held->announcement.sequence;
    if (!isOlder)
        m_held = HeldAnnouncement { .announcement = announcement, .arrivedAt = BootClock::now() };
}

void OwnerTask::applyHeldAnnouncement()
{
    std::optional<HeldAnnouncement> held = std::exchange(m_held, std::nullopt);
    if (held && BootClock::now() - held->arrivedAt < m_options.lease)
        apply(held->announcement);
}

void OwnerTask::adoptEarlierRecord(const UpstreamRecord& record)
{
    if (!record.departure || m_earlierRecord == record)
        return;
    m_earlierRecord = record;
    m_departures.add({ .upstream = record.id, .departure = *record.departure });
    Event("upstream_departure_adopted")
        .with("upstream", record.id)
        .with("final", static_cast<int>(record.departure->isFinal))
        .with("sequence", record.departure->sequence);
    if (!m_announcement)
        return publish();
    drainIfDeparted();
}

void OwnerTask::announce(const Announcement& announcement, const Acknowledge& acknowledge)
{
    if (m_hooks.areDeparturesKnown())
        apply(announcement);
    else
        hold(announcement);
    if (announcement.phase != UpstreamPhase::Draining)
        return acknowledge(ResultCode::Ok);
    m_hooks.recordDeparture(drainOf(announcement), acknowledge);
}

// The departure of the current process stays as it was when its drain began, so it is recorded only once. A withdrawal
// adds nothing to it, since a process that drains announces no other phase later. Without a sequence, only the
// withdrawal tells which announcements are older.
DepartedProcess OwnerTask::drainOf(const Announcement& announcement) const
{
    DepartedProcess drain { .upstream = announcement.id,
        .departure = { .process = announcement.process(), .sequence = announcement.sequence } };
    bool isCurrent = m_departure && m_announcement && m_announcement->id == announcement.id
        && m_departure->process == announcement.process();
    if (isCurrent)
        drain.departure = *m_departure;
    drain.departure.isFinal |= m_statements.isLeaving() && isCurrent && drain.departure.sequence == Sequence();
    return drain;
}

void OwnerTask::apply(const Announcement& announcement)
{
    if (isOutdated(announcement)) {
        m_metrics.add("announcements_outdated");
        return;
    }
    m_leaseEnd = BootClock::now() + m_options.lease;
    recordSignOfLife(BootClock::now() - maxAnnouncementDelay);
    bool isOtherProcess = !m_announcement || m_announcement->id != announcement.id
        || m_announcement->instance != announcement.instance || m_announcement->address != announcement.address
        || m_announcement->service != announcement.service;
    if (isOtherProcess && m_announcement && !m_isStopped)
        declareDead("announced another instance");
    if (isOtherProcess || m_isStopped)
        startIncarnation(announcement);
    bool mayBeCold = m_announcement || announcement.phase == UpstreamPhase::Cold;
    if (isOtherProcess || m_isStopped)
        m_performance.startProcess(announcement.id, mayBeCold ? WarmupNeed::Needed : WarmupNeed::Unneeded);
    raiseIncarnation();
    m_announcement = announcement;
    TimePoint now = BootClock::now();
    applyStatements(m_statements.startProcess(announcement.id, announcement.process(), now), now);
    m_isStopped = announcement.phase == UpstreamPhase::Stopped;
    applyDrain();
    m_performance.setSlots(announcement.slots);
    applySlots();
    publish();
}

void OwnerTask::startIncarnation(const Announcement& announcement)
{
    Incarnation known = std::max(m_hooks.knownIncarnation(announcement.id), minIncarnation());
    m_incarnation = std::max(m_incarnation, known).next();
    m_completions.clear();
    UpstreamClientOptions options { .upstream = announcement.address,
        .maxBodyBytes = m_options.maxBodyBytes,
        .echoedHeader = m_options.headerNames.upstreamsEchoRequestId ? m_options.headerNames.requestId : "",
        .acceptsCloseDelimited = m_options.acceptsCloseDelimitedResponses,
        .bodies = m_options.bodies };
    m_client = std::make_shared<UpstreamClient>(m_context, options, m_metrics);
    Event("upstream_announced")
        .with("upstream", announcement.id)
        .with("service", announcement.service)
        .with("address", announcement.address.toString())
        .with("incarnation", m_incarnation);
    m_journal.record({ .event = "upstream_announced",
        .subjects = { announcement.id.value(), m_options.self.value() },
        .cause = announcement.instance });
}

// The lowest 20 bits of an incarnation count the processes of the upstream, and the bits above them hold the host
// generation, so each generation starts above all incarnations of the previous one.
Incarnation OwnerTask::minIncarnation() const
{
    constexpr unsigned generationShift = 20;
    return Incarnation(m_hooks.hostGeneration() << generationShift);
}

// Crash reports are identified by upstream and incarnation, so an incarnation from before a restart of this daemon must
// not be used again.
void OwnerTask::raiseIncarnation()
{
    if (m_incarnation <= minIncarnation())
        m_incarnation = minIncarnation().next();
}

// A departure stays as it was when the drain began, since each change of the record is sent to every daemon. A process
// that has begun to drain announces no other phase later, so its withdrawal adds nothing.
void OwnerTask::updateDeparture()
{
    if (!isAnnouncedDrain())
        return m_departure.reset();
    ProcessId process = m_announcement->process();
    if (!m_departure || m_departure->process != process)
        m_departure = UpstreamDeparture {
            .process = process, .sequence = m_announcement->sequence, .isFinal = m_statements.isLeaving()
        };
}

std::optional<UpstreamRecord> OwnerTask::makeRecord() const
{
    if (!m_announcement) {
        std::optional<UpstreamRecord> earlier = m_earlierRecord;
        if (earlier)
            earlier->phase = UpstreamPhase::Stopped;
        return earlier;
    }
    UpstreamPhase phase = m_announcement->phase;
    if (m_isStopped)
        phase = UpstreamPhase::Stopped;
    else if (isAnnouncedDrain())
        phase = UpstreamPhase::Draining;
    return UpstreamRecord { .id = m_announcement->id,
        .service = m_announcement->service,
        .phase = phase,
        .slots = m_announcement->slots,
        .incarnation = m_incarnation,
        .departure = m_departure,
        .version = m_announcement->version };
}

// A departure stays in the membership records while this daemon shuts down, for its next process.
void OwnerTask::publish()
{
    updateDeparture();
    std::optional<UpstreamRecord> record = makeRecord();
    if (m_isUnpublished && record)
        record->phase = UpstreamPhase::Stopped;
    if (m_isUnpublished && record && !record->departure)
        record.reset();
    m_hooks.publishUpstream(std::move(record));
}

void OwnerTask::setPlannedDrain(const std::function<bool(const UpstreamId&)>& isDrained)
{
    bool isPlanned = m_announcement && isDrained(m_announcement->id);
    if (isPlanned == m_isPlannedDrain)
        return;
    m_isPlannedDrain = isPlanned;
    applyDrain();
}

void OwnerTask::applySlots()
{
    uint32_t slots = m_isStopped ? 0 : m_performance.limit();
    if (std::exchange(m_appliedSlots, slots) != slots)
        applyChanges(m_admission->setSlots(slots, BootClock::now()));
}

std::string OwnerTask::drainCause() const
{
    if (m_isPlannedDrain)
        return "configuration";
    return m_statements.isLeaving() ? "leaving" : "announcement";
}

void OwnerTask::applyDrain()
{
    if (m_admission->isDraining() == isDraining())
        return;
    LoadReport before = m_admission->load(BootClock::now());
    AdmissionChanges changes = m_admission->setDraining(isDraining(), BootClock::now());
    Event("upstream_drain")
        .with("upstream", m_announcement->id)
        .with("draining", static_cast<int>(isDraining()))
        .with("running", before.running)
        .with("queued", before.queued)
        .with("refused", changes.refused.size());
    m_journal.record({ .event = isDraining() ? "upstream_draining" : "upstream_undrained",
        .subjects = { m_announcement->id.value(), m_options.self.value() },
        .cause = drainCause() });
    if (!isDraining())
        m_performance.resume();
    applyChanges(changes);
}

void OwnerTask::checkLease()
{
    TimePoint now = BootClock::now();
    if (!m_announcement || m_isStopped || now < m_leaseEnd)
        return;
    bool wasPaused = now - m_leaseEnd > maxTimerDelay;
    declareDead("lease ended", wasPaused ? RunningRequests::Unsuspected : RunningRequests::Suspected);
}

ResultCode OwnerTask::checkRequest(const wire::ForwardRequest& request) const
{
    if (m_refusesNewCalls)
        return ResultCode::DaemonLeaving;
    if (!m_announcement || m_isStopped)
        return ResultCode::UpstreamUnreachable;
    bool isSame = m_announcement->id.value() == request.upstreamId
        && m_announcement->service.value() == request.serviceName
        && m_incarnation.value() == static_cast<uint64_t>(request.upstreamIncarnation);
    if (!isSame)
        return ResultCode::UpstreamChanged;
    if (request.remainingMicroseconds <= 0)
        return ResultCode::DeadlineExceeded;
    return ResultCode::Ok;
}

CallTicket OwnerTask::makeTicket(const Call& call, TimePoint now) const
{
    CallTicket ticket { .id = call.id,
        .isNonIdempotent = call.request.order,
        .isSuspect = call.isSuspect,
        .deadline = call.deadline,
        .routeKey = static_cast<uint64_t>(call.request.routeKey),
        .priority = static_cast<uint32_t>(call.request.priority),
        .target = now + std::chrono::microseconds(call.request.targetMicroseconds) };
    if (call.request.__isset.tenant) {
        ticket.tenantKey = stableHash(call.request.tenant);
        ticket.tenantPriority = static_cast<uint32_t>(std::max(call.request.tenantPriority, 0));
    }
    if (call.request.__isset.parent && m_options.ordersNestedCalls) {
        ticket.isNested = true;
        ticket.priority = static_cast<uint32_t>(std::max(call.request.parent.priority, 0));
        ticket.tenantPriority = static_cast<uint32_t>(std::max(call.request.parent.tenantPriority, 0));
    }
    if (call.request.maxWaitMicroseconds > 0)
        ticket.maxWait = std::chrono::microseconds(call.request.maxWaitMicroseconds);
    if (call.source == CallSource::Peer)
        ticket.answerDelay = m_responseDelay.expectedDelay(ticket.routeKey, m_admission->serviceTime(ticket, now), now);
    return ticket;
}

// Called when a call arrives and once more when it has waited, since its request may be suspected meanwhile. Admission
// knows only of those that were suspects when they arrived.
ResultCode OwnerTask::checkCrashState(Call& call) const
{
    CrashState state = m_crash.stateOf(call.fingerprint());
    if (state == CrashState::Quarantined)
        return ResultCode::RequestQuarantined;
    call.isSuspect = state == CrashState::Suspect;
    return call.isSuspect && isSuspectRunning() ? ResultCode::SuspectAlreadyRunning : ResultCode::Ok;
}

bool OwnerTask::isSuspectRunning() const
{
    return std::any_of(m_calls.begin(), m_calls.end(),
        [](const auto& entry) { return entry.second->isSuspect && entry.second->isRunning(); });
}

OwnerTask::CallId OwnerTask::handle(wire::ForwardRequest request, Responder respond, CallSource source)
{
    auto call = std::make_shared<Call>();
    call->id = m_nextCall++;
    call->request = std::move(request);
    call->respond = std::move(respond);
    call->source = source;
    call->deadline = BootClock::now() + std::chrono::microseconds(call->request.remainingMicroseconds);
    m_calls.emplace(call->id, call);

    if (call->request.__isset.known)
        applyStatements(m_statements.adopt(fromWire(call->request.known), call->receivedAt), call->receivedAt);
    ResultCode refusal = checkRequest(call->request);
    if (refusal == ResultCode::Ok)
        refusal = checkCrashState(*call);
    if (refusal == ResultCode::Ok && !passesThrottle(*call))
        refusal = ResultCode::NestedCallsRefused;
    if (refusal != ResultCode::Ok) {
        answer(call, refusal, {});
        return call->id;
    }
    uint32_t running = m_admission->load(call->receivedAt).running;
    m_performance.recordRequest(call->typicalServiceTime(), running, call->receivedAt);
    applySlots();
    CallTicket ticket = makeTicket(*call, BootClock::now());
    AdmitDecision decision = m_admission->offer(ticket, BootClock::now());
    if (decision.action == AdmitAction::Admit)
        sendToUpstream(call);
    else if (decision.action == AdmitAction::Refuse)
        answer(call, decision.code, {}, decision.expectedWait);
    else
        m_metrics.add("owner_calls_queued");
    armTimer();
    return call->id;
}

void OwnerTask::cancel(CallId id)
{
    auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    CallPtr call = it->second;
    m_calls.erase(it);
    m_responseDelay.finished(id, 0);
    m_runningCalls.abandon(id, call->request.traceId, BootClock::now());
    m_metrics.add("owner_calls_cancelled");
    if (m_admission->cancel(id))
        return;
    if (call->isRunning() && call->incarnation == m_incarnation)
        m_unanswered.gaveUp(call->fingerprint(), call->sentAt, BootClock::now());
    if (call->cancel)
        call->cancel();
    applyChanges(m_admission->finished(id, CallOutcome::Cancelled, BootClock::now()));
}

std::optional<ParentCall> OwnerTask::findRunning(std::string_view requestId) const
{
    return m_runningCalls.find(requestId, BootClock::now());
}

void OwnerTask::nestedCallRefused(const ParentCall& parent)
{
    m_metrics.add("nested_calls_refused_at_entry");
    m_throttle.nestedCallRefused(parent.routeKey, parent.startedAt, BootClock::now());
}

// Nested calls are not throttled, since work that waits for them is running already.
bool OwnerTask::passesThrottle(const Call& call)
{
    bool isThrottled = m_options.usesRankedAdmission && m_options.throttlesNestedCalls;
    if (!isThrottled || call.request.__isset.parent)
        return true;
    auto earlierRefusals = static_cast<uint32_t>(std::max(call.request.earlierRefusals, 0));
    return m_throttle.admit(static_cast<uint64_t>(call.request.routeKey), earlierRefusals, call.receivedAt);
}

void OwnerTask::dispatch(const CallPtr& call)
{
    ResultCode refusal = checkCrashState(*call);
    if (refusal == ResultCode::Ok)
        return sendToUpstream(call);
    AdmissionChanges changes = m_admission->finished(call->id, CallOutcome::Cancelled, BootClock::now());
    answer(call, refusal, {});
    applyChanges(changes);
}

void OwnerTask::sendToUpstream(const CallPtr& call)
{
    call->sentAt = BootClock::now();
    call->incarnation = m_incarnation;
    m_runningCalls.add(call->id, call->request.traceId, call->asParent());
    m_statements.recordRequest();
    m_metrics.add("upstream_requests");
    if (call->isSuspect)
        logSuspect(*call);
    if (m_statements.rateLimit())
        m_metrics.add("upstream_requests_under_limit");
    if (call->source == CallSource::Peer) {
        CallTicket ticket { .isNonIdempotent = call->request.order,
            .routeKey = static_cast<uint64_t>(call->request.routeKey) };
        m_responseDelay.started(call->id, ticket.routeKey, m_admission->serviceTime(ticket, call->sentAt));
    }
    HttpRequest request = takeUpstreamRequest(call->request, m_options.headerNames, call->deadline - call->sentAt);
    std::weak_ptr<Call> weak = call;
    call->cancel = m_client->send(
        std::move(request), call->request.idempotent, call->deadline, [this, weak](UpstreamResult result) {
            if (auto pending = weak.lock())
                finish(pending, std::move(result));
        });
}

// An upstream states by status 421 or by the notRun header that it did not run the request. Ignored unless the
// configuration names that header.
bool OwnerTask::statesNotRun(const HttpResponse& response) const
{
    constexpr unsigned statusMisdirected = 421;
    const std::string& header = m_options.headerNames.notRun;
    return !header.empty() && (response.status == statusMisdirected || !response.header(header).empty());
}

void OwnerTask::recordStatements(const HttpResponse& response, TimePoint now)
{
    UpstreamStatement statement = parseUpstreamStatement(response, m_options.headerNames);
    if (statement.hasInvalidRateLimit)
        m_metrics.add("upstream_rate_limits_invalid");
    applyStatements(m_statements.observe(statement, now), now);
}

void OwnerTask::applyStatements(const StatementChange& change, TimePoint now)
{
    if (change.isRateLimitChanged)
        applyChanges(m_admission->setRateLimit(m_statements.rateLimit(), now));
    if (!change.hasBegunToLeave)
        return;
    applyDrain();
    publish();
    m_hooks.recordDeparture(drainOf(*m_announcement), [](ResultCode) {});
}

void OwnerTask::finish(const CallPtr& call, UpstreamResult result)
{
    TimePoint now = BootClock::now();
    bool isResponse = result.code == ResultCode::Ok;
    if (isResponse && call->incarnation == m_incarnation) {
        recordStatements(result.response, now);
        recordSignOfLife(now);
    }
    if (result.code == ResultCode::Ok && statesNotRun(result.response))
        result.code = ResultCode::UpstreamRefused;
    else if (result.code == ResultCode::Ok && isShedAnswer(result.response))
        result.code = ResultCode::UpstreamShed;
    if (result.code == ResultCode::Ok) {
        m_metrics.observe("upstream_latency", now - call->sentAt);
        m_crash.completed(call->fingerprint());
        if (result.response.status < firstServerError)
            m_throttle.parentServed(static_cast<uint64_t>(call->request.routeKey), now);
        if (call->incarnation == m_incarnation)
            m_completions.record(call->fingerprint(), now);
    } else {
        recordUnanswered(*call, result);
    }
    if (call->incarnation == m_incarnation)
        recordPerformance(*call, result, now);
    AdmissionChanges changes = m_admission->finished(call->id, outcomeOf(result.code), now);
    answer(call, result.code, std::move(result.response));
    applyChanges(changes);
}

// An upstream in trouble answers with an error or not at all. Its time for that says nothing about its speed.
void OwnerTask::recordPerformance(const Call& call, const UpstreamResult& result, TimePoint now)
{
    bool isSuccess = result.code == ResultCode::Ok && result.response.status < firstServerError;
    if (isSuccess) {
        AnsweredCall answered { .routeKey = static_cast<uint64_t>(call.request.routeKey),
            .serviceTime = now - call.sentAt,
            .typical = call.typicalServiceTime() };
        m_performance.recordResponse(answered, result.response.header(m_options.headerNames.upstreamLoad), now);
    } else if (result.code != ResultCode::Ok) {
        m_performance.recordTrouble(now);
    }
    applySlots();
}

void OwnerTask::answer(const CallPtr& call, ResultCode code, HttpResponse response, Duration retryAfter)
{
    m_calls.erase(call->id);
    m_responseDelay.finished(call->id, response.body.size());
    m_runningCalls.remove(call->id, call->request.traceId);
    m_metrics.add(std::string("owner_").append(name(code)));
    if (code != ResultCode::Ok) {
        m_journal.record({ .event = "owner_answered",
            .subjects = { call->request.traceId, call->request.upstreamId },
            .cause = call->request.traceId,
            .code = code });
        logRefusal(*call, code, retryAfter);
    }
    wire::ForwardResponse reply;
    reply.requestId = call->request.requestId;
    reply.code = static_cast<int32_t>(code);
    reply.status = static_cast<int32_t>(response.status);
    reply.headers = toAnswerHeaders(response, m_options.headerNames, call->request.traceId);
    reply.body = std::move(response.body);
    reply.retryAfterMicroseconds = toMicroseconds(retryAfter);
    reply.heldMicroseconds = toMicroseconds(BootClock::now() - call->receivedAt);
    if (call->isRunning())
        reply.__set_runMicroseconds(toMicroseconds(BootClock::now() - call->sentAt));
    LoadReport report = load();
    reply.running = static_cast<int32_t>(report.running);
    reply.queued = static_cast<int32_t>(report.queued);
    reply.limit = static_cast<int32_t>(report.limit);
    reply.serviceMicroseconds = toMicroseconds(report.serviceTime);
    m_performance.addTo(report, static_cast<uint64_t>(call->request.routeKey), BootClock::now());
    addSpeed(reply, report);
    bool isAboutUpstream = m_announcement && m_announcement->id.value() == call->request.upstreamId;
    if (auto statement = m_statements.current(); statement && isAboutUpstream)
        reply.__set_statement(toWire(*statement));
    call->respond(std::move(reply));
}

// Responses that wait for the network link are load, too.
LoadReport OwnerTask::load() const
{
    TimePoint now = BootClock::now();
    LoadReport report = m_admission->load(now);
    if (report.serviceTime > Duration::zero())
        report.addWait(m_responseDelay.backlog(now));
    return report;
}

void OwnerTask::logRefusal(const Call& call, ResultCode code, Duration expectedWait)
{
    TimePoint now = BootClock::now();
    auto entry = m_refusalLogLimiter.admit(now);
    if (!entry)
        return;
    LoadReport report = load();
    auto milliseconds
        = [](Duration duration) { return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count(); };
    Event("owner_refused")
        .with("request", call.request.traceId)
        .with("upstream", call.request.upstreamId)
        .with("code", name(code))
        .with("running", report.running)
        .with("queued", report.queued)
        .with("slots", report.limit)
        .with("rate_limit", toText(m_statements.rateLimit()))
        .with("service_ms", milliseconds(report.serviceTime))
        .with("slowness_percent", m_performance.slowness(now).value())
        .with("expected_wait_ms", milliseconds(expectedWait))
        .with("max_wait_ms", call.request.maxWaitMicroseconds / 1000)
        .with("left_ms", milliseconds(call.deadline - now))
        .with("held_ms", call.sentAt == TimePoint() ? 0 : milliseconds(now - call.sentAt))
        .with("left_out", entry->suppressed);
}

void OwnerTask::logSuspect(const Call& call)
{
    m_metrics.add("upstream_suspect_requests");
    auto entry = m_suspectLogLimiter.admit(call.sentAt);
    if (!entry)
        return;
    Event("suspect_sent")
        .with("request", call.request.traceId)
        .with("upstream", call.request.upstreamId)
        .with("incarnation", call.incarnation)
        .with("fingerprint", call.fingerprint())
        .with("left_out", entry->suppressed);
}

void OwnerTask::applyChanges(const AdmissionChanges& changes)
{
    for (const CallTicket& ticket : changes.dispatched) {
        auto it = m_calls.find(ticket.id);
        if (it != m_calls.end())
            dispatch(CallPtr(it->second));
    }
    for (const RefusedTicket& refused : changes.refused) {
        auto it = m_calls.find(refused.ticket.id);
        if (it != m_calls.end())
            answer(CallPtr(it->second), refused.code, {}, refused.expectedWait);
    }
    armTimer();
}

void OwnerTask::unpublishUpstream()
{
    if (std::exchange(m_isUnpublished, true))
        return;
    publish();
}

void OwnerTask::refuseNewCalls()
{
    if (std::exchange(m_refusesNewCalls, true))
        return;
    m_admission->setLeaving();
    unpublishUpstream();
}

// Only a request that was sent can have crashed the upstream. In either case the lost or refused connection is a reason
// to check whether the upstream is alive.
void OwnerTask::recordUnanswered(const Call& call, const UpstreamResult& result)
{
    if (call.incarnation != m_incarnation || m_isStopped)
        return;
    TimePoint now = BootClock::now();
    if (result.code == ResultCode::UpstreamTimeout)
        m_unanswered.gaveUp(call.fingerprint(), call.sentAt, now);
    if (!result.isConnectionLost)
        return;
    if (runState(result.code) != RunState::NotRun)
        m_unanswered.connectionLost(call.fingerprint(), now);
    probeUpstream();
}

void OwnerTask::recordSignOfLife(TimePoint at)
{
    m_unanswered.upstreamIsAlive(at);
}

// The requests that may have crashed the upstream: the unanswered ones and those that are still running.
std::vector<Fingerprint> OwnerTask::takeSuspects(TimePoint now)
{
    std::vector<Fingerprint> suspects = m_unanswered.takeSuspects(now);
    for (const auto& [id, call] : m_calls) {
        if (call->isRunning() && call->incarnation == m_incarnation)
            suspects.push_back(call->fingerprint());
    }
    return m_completions.excludeCompleted(suspects, now);
}

// The loss of a connection does not show whether the upstream crashed or only closed it, so a new connection is tried.
// Only if that is refused has the process ended. A process that has already been restarted accepts it, and is detected
// by its next announcement.
void OwnerTask::probeUpstream()
{
    if (m_isProbing)
        return;
    m_isProbing = true;
    auto timer = std::make_shared<asio::steady_timer>(m_context, m_options.crashProbeDelay);
    timer->async_wait([this, timer](boost::system::error_code) {
        auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
        const Endpoint& address = m_announcement->address;
        timer->expires_after(probeTimeout);
        timer->async_wait([socket](boost::system::error_code error) {
            boost::system::error_code ignored;
            if (!error)
                socket->close(ignored);
        });
        socket->async_connect({ asio::ip::make_address(address.address), address.port },
            [this, socket, timer, incarnation = m_incarnation](boost::system::error_code error) {
                timer->cancel();
                m_isProbing = false;
                if (error == asio::error::connection_refused && incarnation == m_incarnation && !m_isStopped)
                    declareDead("connection refused");
            });
    });
}

void OwnerTask::declareDead(std::string_view evidence, RunningRequests runningRequests)
{
    m_isStopped = true;
    TimePoint now = BootClock::now();
    std::vector<Fingerprint> fingerprints = takeSuspects(now);
    if (runningRequests == RunningRequests::Unsuspected)
        fingerprints.clear();
    m_journal.record({ .event = "upstream_stopped",
        .subjects = { m_announcement->id.value(), m_options.self.value() },
        .cause = std::string(evidence) });
    if (!fingerprints.empty())
        m_crash.upstreamDied(m_announcement->id, m_incarnation, fingerprints);
    Event("upstream_stopped")
        .with("upstream", m_announcement->id)
        .with("evidence", evidence)
        .with("suspected", fingerprints.size())
        .with("running", m_admission->load(now).running);
    refuseQueued(ResultCode::UpstreamUnreachable);
    publish();
}

void OwnerTask::refuseQueued(ResultCode code)
{
    for (const RefusedTicket& refused : m_admission->refuseQueued(code)) {
        auto it = m_calls.find(refused.ticket.id);
        if (it != m_calls.end())
            answer(CallPtr(it->second), refused.code, {});
    }
}

void OwnerTask::refuseQueuedCalls()
{
    refuseQueued(ResultCode::DaemonLeaving);
}

void OwnerTask::armTimer()
{
    if (!m_announcement)
        return;
    TimePoint next = m_isStopped ? TimePoint::max() : m_leaseEnd;
    if (auto wakeup = m_admission->nextWakeup())
        next = std::min(next, *wakeup);
    if (next != TimePoint::max())
        m_timer.arm(next);
}

} // namespace dragonflylane
