#include "dragonflylane/DepartureTask.h"

#include "dragonflylane/DepartureWire.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/LogTask.h"
#include "dragonflylane/Metrics.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    // Bounds the memory for passing answers back. An owner whose link was forgotten asks again.
    constexpr size_t maxLinks = 4096;

} // namespace

DepartureTask::DepartureTask(boost::asio::io_context& context, HostId self, BootId bootId, PeerHub& hub, LogTask* log,
    Metrics& metrics, Hooks hooks)
    : m_self(std::move(self))
    , m_hub(hub)
    , m_log(log)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_recorder({ .self = m_self, .bootId = bootId, .startedAt = BootClock::now() })
    , m_timer(context, [this] { work(); })
{
}

void DepartureTask::start()
{
    m_hub.subscribe(FrameKind::Departure, [this](const PeerFrame& frame) { handleFrame(frame); });
    work();
}

void DepartureTask::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void DepartureTask::record(const DepartedProcess& departed, DepartureRecorder::Callback callback)
{
    if (m_recorder.recorded().covers(departed))
        return callback(ResultCode::Ok);
    TimePoint now = BootClock::now();
    m_recorder.record(departed, now, [this, departed, now, callback = std::move(callback)](ResultCode code) {
        if (code == ResultCode::Ok)
            m_metrics.observe("departure_record", BootClock::now() - now);
        else
            logDeparture("departure_not_recorded", departed);
        callback(code);
    });
    work();
}

void DepartureTask::logDeparture(std::string_view event, const DepartedProcess& departed)
{
    m_metrics.add(event);
    auto entry = m_logLimiter.admit(BootClock::now());
    if (!entry)
        return;
    Event(event)
        .with("upstream", departed.upstream)
        .with("final", static_cast<int>(departed.departure.isFinal))
        .with("sequence", departed.departure.sequence)
        .with("left_out", entry->suppressed);
}

void DepartureTask::handleFrame(const PeerFrame& frame)
{
    if (m_isStopped)
        return;
    DepartureMessage message;
    if (decode(frame.payload, message))
        return m_metrics.add("departures_malformed");
    if (const auto* request = std::get_if<DepartureRequest>(&message))
        handleRequest(*request, { .link = frame.link, .host = frame.from });
    else
        handleAnswer(std::get<DepartureAnswer>(message));
}

void DepartureTask::handleRequest(const DepartureRequest& request, const Requester& requester)
{
    if (!m_log)
        return;
    if (!m_log->isLeading(BootClock::now()))
        return passOn(request, requester);
    const DepartureList& known = m_log->stateMachine().departures().at(request.host);
    std::vector<DepartedProcess> missing;
    for (const DepartedProcess& departed : request.departures) {
        if (!known.covers(departed))
            missing.push_back(departed);
    }
    if (missing.empty())
        return answer(request, requester);
    submit(request, std::move(missing), requester);
}

// Passed on once only, so that hosts that take each other for the leader can't pass a request to and fro.
void DepartureTask::passOn(const DepartureRequest& request, const Requester& requester)
{
    HostId leader = m_log->replica().leader().host;
    bool isPassedOn = requester.host != request.host;
    if (isPassedOn || leader.isEmpty() || leader == m_self)
        return;
    if (m_links.size() >= maxLinks)
        m_links.clear();
    if (requester.link != LinkId())
        m_links[request.host] = requester.link;
    m_hub.sendToHost(leader, FrameKind::Departure, encode(request));
}

// While the log can't store it, the requester gets no answer and asks again.
void DepartureTask::submit(
    const DepartureRequest& request, std::vector<DepartedProcess> missing, const Requester& requester)
{
    if (!m_submitted.insert(request.host).second)
        return;
    RecordDeparturesCommand command { .host = request.host, .departures = std::move(missing) };
    m_log->submit(command, [this, request, requester](std::error_code error, const ApplyOutcome& outcome) {
        m_submitted.erase(request.host);
        if (!error && outcome.code == ResultCode::Ok)
            return answer(request, requester);
        m_metrics.add("departures_not_committed");
        auto entry = m_logLimiter.admit(BootClock::now());
        if (!entry)
            return;
        Event("departure_not_committed", EventLevel::Warning)
            .with("host", request.host)
            .with("reason", error ? error : make_error_code(outcome.code))
            .with("left_out", entry->suppressed);
    });
}

void DepartureTask::answer(const DepartureRequest& request, const Requester& requester)
{
    DepartureAnswer result { .host = request.host,
        .bootId = request.bootId,
        .departures = m_log->stateMachine().departures().at(request.host).all(),
        .quarantine = m_hooks.quarantined() };
    if (requester.link == LinkId())
        return handleAnswer(result);
    m_hub.send(requester.link, FrameKind::Departure, encode(result));
}

void DepartureTask::handleAnswer(const DepartureAnswer& answer)
{
    if (answer.host != m_self) {
        auto link = m_links.find(answer.host);
        if (link != m_links.end())
            m_hub.send(link->second, FrameKind::Departure, encode(answer));
        return;
    }
    m_askedSince.reset();
    bool isFirst = !m_recorder.hasAnswer();
    DepartureList before = m_recorder.recorded();
    if (!m_recorder.accept(answer, BootClock::now()))
        return m_metrics.add("departure_answers_outdated");
    if (isFirst)
        Event("departures_known").with("departures", answer.departures.size());
    for (const DepartedProcess& departed : answer.departures) {
        if (!isFirst && !before.covers(departed))
            logDeparture("departure_recorded", departed);
    }
    m_hooks.quarantineKnown(answer.quarantine);
    m_hooks.recorded(m_recorder.recorded().all());
    work();
}

void DepartureTask::sendRequest(const DepartureRequest& request)
{
    if (m_log)
        return handleRequest(request, { .link = LinkId(), .host = m_self });
    HostId host = selectControlHost();
    if (host.isEmpty())
        return;
    m_hub.withLink(host, [this, payload = encode(request)](std::error_code error, LinkId link) {
        if (error || !m_hub.send(link, FrameKind::Departure, payload))
            m_askedSince = TimePoint();
    });
}

// Each link that is opened stays open, so another host is asked only if this one can't be reached or doesn't answer.
HostId DepartureTask::selectControlHost()
{
    constexpr std::chrono::milliseconds answerTimeout { 1500 };
    std::vector<HostId> hosts = m_hooks.controlHosts();
    if (hosts.empty())
        return {};
    TimePoint now = BootClock::now();
    auto current = std::find(hosts.begin(), hosts.end(), m_controlHost);
    if (!m_askedSince)
        m_askedSince = now;
    if (current != hosts.end() && now - *m_askedSince < answerTimeout)
        return m_controlHost;
    bool hasNext = current != hosts.end() && std::next(current) != hosts.end();
    m_controlHost = hasNext ? *std::next(current) : hosts.front();
    m_askedSince = now;
    return m_controlHost;
}

void DepartureTask::work()
{
    if (m_isStopped)
        return;
    TimePoint now = BootClock::now();
    m_recorder.tick(now);
    if (auto request = m_recorder.takeRequest(now))
        sendRequest(*request);
    bool isWithoutAnswer = !m_recorder.hasAnswer() && m_recorder.isInformed(now);
    if (isWithoutAnswer && !std::exchange(m_hasTimedOut, true)) {
        Event("departures_unknown", EventLevel::Warning).with("leader", "unreachable");
        m_hooks.answerTimedOut();
    }
    TimePoint next = m_recorder.nextWakeup();
    if (next != TimePoint::max())
        m_timer.arm(next);
}

} // namespace dragonflylane
