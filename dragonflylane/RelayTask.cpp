#include "dragonflylane/RelayTask.h"

#include "dragonflylane/ConfigWire.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/PlanStateMachine.h"
#include "dragonflylane/RelayWire.h"

namespace dragonflylane {

namespace {

    std::string_view eventName(RelayEvent::Kind kind)
    {
        switch (kind) {
        case RelayEvent::Kind::ParentSelected:
            return "parent_selected";
        case RelayEvent::Kind::ParentLost:
            return "parent_lost";
        case RelayEvent::Kind::AttemptFailed:
            return "parent_attempt_failed";
        case RelayEvent::Kind::ChildAttached:
            return "child_attached";
        case RelayEvent::Kind::ChildRefused:
            return "child_refused";
        case RelayEvent::Kind::ChildLost:
            return "child_lost";
        case RelayEvent::Kind::MessageRefused:
            return "relay_message_refused";
        case RelayEvent::Kind::RevisionApplied:
            return "revision_applied";
        case RelayEvent::Kind::RevisionRefused:
            return "revision_refused";
        case RelayEvent::Kind::DigestMismatch:
            return "digest_mismatch";
        case RelayEvent::Kind::Resumed:
            return "relay_resumed";
        case RelayEvent::Kind::Leaving:
            return "relay_leaving";
        }
        return "invalid";
    }

    // Changes of parent are rare and explain a late change. The other events are frequent in a large fleet.
    EventLevel levelOf(RelayEvent::Kind kind)
    {
        switch (kind) {
        case RelayEvent::Kind::DigestMismatch:
        case RelayEvent::Kind::RevisionRefused:
            return EventLevel::Error;
        case RelayEvent::Kind::ParentSelected:
        case RelayEvent::Kind::ParentLost:
        case RelayEvent::Kind::Resumed:
            return EventLevel::Info;
        default:
            return EventLevel::Debug;
        }
    }

} // namespace

RelayTask::RelayTask(boost::asio::io_context& context, RelayOptions options, const PlanStateMachine* stateMachine,
    PeerHub& hub, Metrics& metrics, Journal& journal, Hooks hooks)
    : m_stateMachine(stateMachine)
    , m_hub(hub)
    , m_metrics(metrics)
    , m_journal(journal)
    , m_hooks(std::move(hooks))
    , m_self(options.self.value())
    , m_relay(withCallbacks(std::move(options)), BootClock::now())
    , m_timer(context, [this] {
        m_relay.tick(BootClock::now());
        processOutputs();
    })
{
}

RelayOptions RelayTask::withCallbacks(RelayOptions options)
{
    options.payloadFor = [this](Revision revision, const Digest& digest) { return payloadFor(revision, digest); };
    options.accept = [this](const RelayPayload& payload) { return accept(payload); };
    return options;
}

void RelayTask::start()
{
    m_hub.subscribe(FrameKind::Relay, [this](const PeerFrame& frame) { handleFrame(frame); });
    m_hub.subscribeLinkDown([this](LinkId, const HostId& host) {
        if (m_isStopped)
            return;
        TimePoint now = BootClock::now();
        m_relay.disconnected(host, RelayLink::ToParent, now);
        m_relay.disconnected(host, RelayLink::ToChild, now);
        processOutputs();
    });
    processOutputs();
}

void RelayTask::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void RelayTask::setPosition(const TreePosition& position)
{
    m_relay.setCandidates(position.candidates, position.level, BootClock::now());
    processOutputs();
}

void RelayTask::setLocal(const ConfigState& state, Term term)
{
    m_relay.setLocal(state.revision(), state.digest(), term, BootClock::now());
    processOutputs();
}

void RelayTask::setProof(std::optional<TimePoint> proof)
{
    m_relay.setProof(proof, BootClock::now());
    processOutputs();
}

void RelayTask::leave()
{
    m_relay.leave(BootClock::now());
    processOutputs();
}

const ConfigHistory& RelayTask::history() const
{
    return m_stateMachine ? m_stateMachine->history() : m_receiver.history();
}

const ConfigState& RelayTask::state() const
{
    return history().state();
}

HeldState RelayTask::held() const
{
    return { state().revision(), state().digest() };
}

RelayPayload RelayTask::payloadFor(Revision revision, const Digest& digest) const
{
    ConfigPayload payload = history().payloadFor(revision, digest);
    if (payload.kind == ConfigPayload::Kind::UpToDate)
        return { .kind = RelayPayload::Kind::None, .bytes = {}, .to = held() };
    bool isDelta = payload.kind == ConfigPayload::Kind::Delta;
    return { .kind = isDelta ? RelayPayload::Kind::Delta : RelayPayload::Kind::Snapshot,
        .bytes = encodePayload(payload),
        .to = { payload.revision, payload.digest } };
}

AcceptResult RelayTask::accept(const RelayPayload& relayed)
{
    ConfigPayload payload;
    std::error_code error = decodePayload(relayed.bytes, &payload);
    std::string detail;
    bool isDivergent = payload.revision == state().revision() && payload.digest != state().digest();
    if (!error && isDivergent && payload.kind == ConfigPayload::Kind::Snapshot)
        error = m_receiver.replaceDivergent(payload, &detail);
    else if (!error)
        error = m_receiver.accept(payload, &detail);
    if (error)
        Event("revision_refused", EventLevel::Error).with("reason", error).with("detail", detail);
    else
        m_hooks.applied(state());
    return { error, held() };
}

void RelayTask::handleFrame(const PeerFrame& frame)
{
    if (m_isStopped)
        return;
    m_metrics.add("control_bytes_received_relay", frame.payload.size());
    RelayMessage message;
    if (decode(frame.payload, message))
        return m_metrics.add("relay_malformed");
    m_relay.receive(frame.from, message, BootClock::now());
    processOutputs();
}

void RelayTask::processOutputs()
{
    if (m_isStopped)
        return;
    for (const RelayOutput& output : m_relay.takeOutputs()) {
        if (const auto* send = std::get_if<RelaySend>(&output))
            handle(*send);
        else if (const auto* connect = std::get_if<RelayConnect>(&output))
            handle(*connect);
        else if (const auto* event = std::get_if<RelayEvent>(&output))
            handle(*event);
        // RelayDisconnect does not close the link, since other traffic shares it.
    }
    m_timer.arm(m_relay.nextWakeup());
}

void RelayTask::handle(const RelaySend& send)
{
    std::string bytes = encode(send.message);
    m_metrics.add("control_bytes_sent_relay", bytes.size());
    m_hub.sendToHost(send.to, FrameKind::Relay, std::move(bytes));
}

void RelayTask::handle(const RelayConnect& connect)
{
    m_hub.withLink(connect.to, [this, host = connect.to](std::error_code error, LinkId) {
        if (m_isStopped)
            return;
        if (error)
            m_relay.disconnected(host, RelayLink::ToParent, BootClock::now());
        else
            m_relay.connected(host, BootClock::now());
        processOutputs();
    });
}

void RelayTask::handle(const RelayEvent& event)
{
    const RelayCounters& counters = m_relay.counters();
    Event(eventName(event.kind), levelOf(event.kind))
        .with("peer", event.peer)
        .with("code", name(event.code))
        .with("revision", event.revision)
        .with("proof_age_ms", proofAge().count())
        .with("attempts", counters.attempts)
        .with("attempts_failed", counters.attemptsFailed)
        .with("reason", event.reason)
        .with("cause", event.cause);
    m_journal.record({ .event = std::string(eventName(event.kind)),
        .subjects = { m_self, event.peer.value(), "revision-" + std::to_string(event.revision.value()) },
        .cause = event.cause,
        .code = event.code,
        .detail = event.reason });
}

// Age of the proof that the held configuration is current; -1 before the first proof.
std::chrono::milliseconds RelayTask::proofAge() const
{
    constexpr std::chrono::milliseconds none { -1 };
    auto provenAt = m_relay.provenAt();
    return provenAt ? std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - *provenAt) : none;
}

void RelayTask::exportMetrics() const
{
    const RelayCounters& counters = m_relay.counters();
    m_metrics.set("relay_children", m_relay.childCount());
    m_metrics.set("relay_parents_selected", counters.parentsSelected);
    m_metrics.set("relay_parents_lost", counters.parentsLost);
    m_metrics.set("relay_attempts", counters.attempts);
    m_metrics.set("relay_attempts_failed", counters.attemptsFailed);
    m_metrics.set("relay_children_refused", counters.childrenRefused);
    m_metrics.set("relay_stale_term", counters.staleTerm);
    m_metrics.set("relay_stale_revision", counters.staleRevision);
    m_metrics.set("relay_digest_mismatch", counters.digestMismatch);
    m_metrics.set("relay_revisions_applied", counters.revisionsApplied);
    m_metrics.set("relay_revisions_refused", counters.revisionsRefused);
    m_metrics.set("relay_deltas_sent", counters.deltasSent);
    m_metrics.set("relay_snapshots_sent", counters.snapshotsSent);
    m_metrics.set("relay_has_floor", m_relay.isProvenCurrent() ? 1 : 0);
    m_metrics.set("config_revision", state().revision().value());
}

} // namespace dragonflylane
