#include "dragonflylane/Relay.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;

    /// Session numbers are non-negative 32-bit numbers on the wire. A random start separates the sessions of two runs
    /// of a daemon; a small one has a short encoding.
    constexpr uint32_t firstSessionRange = 4096;
    constexpr uint32_t sessionMask = 0x7fffffff;
    /// A heartbeat that follows an advance of the parent's proof within this time needs no alignment.
    constexpr Duration alignmentTolerance = milliseconds(50);
    /// Alignment schedules the heartbeat this long after the advance of the parent's proof, so that jitter does not put
    /// it before the advance.
    constexpr Duration alignmentMargin = milliseconds(10);
    /// Largest exponent of the factor for `backoffBase`.
    constexpr unsigned maxBackoffShift = 16;
    /// A relay at its limit of children usually stays full for long, so its retry hint is this many times
    /// `retryAfter`.
    constexpr int fullRelayRetryFactor = 10;

    uint64_t floorMilliseconds(Duration duration)
    {
        return static_cast<uint64_t>(std::max<int64_t>(std::chrono::floor<milliseconds>(duration).count(), 0));
    }

    uint64_t ceilMilliseconds(Duration duration)
    {
        return static_cast<uint64_t>(std::max<int64_t>(std::chrono::ceil<milliseconds>(duration).count(), 0));
    }

    /// Limits a duration received from a peer, so that arithmetic with it cannot overflow.
    Duration durationFromWire(uint64_t value)
    {
        constexpr uint64_t longest = uint64_t { 365 } * 24 * 3600 * 1000;
        return milliseconds(std::min(value, longest));
    }

    std::string revisionCause(std::string_view verb, Revision revision)
    {
        return std::string(verb) + " revision " + std::to_string(revision.value());
    }

} // namespace

Relay::Relay(RelayOptions options, TimePoint now)
    : m_options(std::move(options))
    , m_startedAt(now)
    , m_now(now)
    , m_random(m_options.seed)
    , m_nextSession(static_cast<uint32_t>(m_random() % firstSessionRange) + 1)
    , m_heldSince(now)
    , m_proofAdvancedAt(now - m_options.freshnessLimit)
    , m_nextImprovementAt(now)
    , m_lastSummaryAt(now - m_options.ackInterval)
{
}

// Candidates and attempts

void Relay::setCandidates(std::vector<ParentCandidate> candidates, unsigned level, TimePoint now)
{
    detectPause(now);
    if (m_options.isControl)
        return;
    m_candidates.set(std::move(candidates), now);
    m_level = std::max(level, 1U);
    if (m_attempt && !m_candidates.indexOf(m_attempt->host))
        failAttempt(ResultCode::Ok, "no longer a candidate", {}, now);
    checkParent(now);
}

TimePoint Relay::staleAt(const ParentSession& session) const
{
    unsigned graceLevels = std::min(m_level - 1, m_options.maxGraceLevels);
    Duration limit = m_options.freshnessLimit + m_options.freshnessGracePerLevel * graceLevels;
    return std::max(session.proof.value_or(session.freshnessBaseline), session.freshnessBaseline) + limit;
}

bool Relay::isFresh(const ParentSession& session, TimePoint now) const
{
    return session.proof && now - *session.proof <= m_options.freshnessLimit;
}

std::string_view Relay::reasonForNewParent(TimePoint now) const
{
    if (m_options.isControl)
        return {};
    if (!m_parent)
        return "no parent";
    if (m_parent->isLeaving)
        return "the parent is leaving";
    if (now >= staleAt(*m_parent))
        return "the parent's proof is older than the freshness limit";
    if (!m_candidates.indexOf(m_parent->host))
        return "the parent is no longer a candidate";
    return {};
}

Duration Relay::backoffCeiling() const
{
    if (!m_options.mechanisms.backoff)
        return {};
    return std::min(m_options.backoffCap, m_options.backoffBase * (1 << std::min(m_failures, maxBackoffShift)));
}

Duration Relay::backoffDelay()
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, backoffCeiling().count())(m_random));
}

void Relay::scheduleAttempt(std::string_view reason, std::string_view cause, TimePoint now)
{
    if (m_attempt || m_candidates.isEmpty())
        return;
    TimePoint at = now + backoffDelay();
    m_nextAttemptAt = m_nextAttemptAt ? std::min(*m_nextAttemptAt, at) : at;
    m_attemptReason = reason;
    m_attemptCause = cause;
}

void Relay::runScheduledAttempt(TimePoint now)
{
    m_nextAttemptAt.reset();
    if (reasonForNewParent(now).empty())
        return;
    if (std::optional<size_t> candidate = m_candidates.next(m_options.self, parent(), now)) {
        startAttempt(*candidate, m_attemptReason, m_attemptCause, now);
        return;
    }
    // All candidates are blocked: wait until the first one is not, with jitter.
    ++m_failures;
    if (std::optional<TimePoint> earliest = m_candidates.firstUnblocked(now))
        m_nextAttemptAt = *earliest + backoffDelay();
}

void Relay::startAttempt(size_t candidate, std::string_view reason, std::string_view cause, TimePoint now)
{
    m_attempt = std::make_unique<ParentSession>();
    m_attempt->host = m_candidates.host(candidate);
    m_attempt->session = m_nextSession;
    m_attempt->startedAt = now;
    m_attempt->reason = reason;
    m_attempt->cause = cause;
    m_nextSession = (m_nextSession + 1) & sessionMask;
    m_candidates.setTried(candidate);
    ++m_counters.attempts;
    m_outputs.emplace_back(RelayConnect { m_attempt->host });
}

void Relay::connected(const HostId& host, TimePoint now)
{
    detectPause(now);
    if (!m_attempt || m_attempt->host != host || m_attempt->isConnected)
        return;
    m_attempt->isConnected = true;
    m_attempt->reported = m_held;
    m_attempt->reportedSummary = acks();
    RelayAttach attach { m_attempt->session, timestamp(*m_attempt, now), m_held, m_term, m_attempt->reportedSummary };
    send(host, RelayLink::ToParent, std::move(attach));
}

void Relay::disconnected(const HostId& host, RelayLink link, TimePoint now)
{
    detectPause(now);
    if (link == RelayLink::ToChild) {
        dropChild(host, ResultCode::PeerClosed, "the connection closed", now);
        finishLeaving(now);
    } else if (m_attempt && m_attempt->host == host) {
        failAttempt(ResultCode::PeerClosed, "the connection closed", {}, now);
    } else if (m_parent && m_parent->host == host) {
        dropParent(ResultCode::PeerClosed, "the connection closed", m_options.retryAfter, now);
    }
}

void Relay::closeParentSession(const ParentSession& session)
{
    if (session.isConnected)
        send(session.host, RelayLink::ToParent, RelayDetach { session.session });
    m_outputs.emplace_back(RelayDisconnect { session.host, RelayLink::ToParent });
}

void Relay::failAttempt(ResultCode code, std::string_view reason, Duration retryAfter, TimePoint now)
{
    std::unique_ptr<ParentSession> attempt = std::move(m_attempt);
    closeParentSession(*attempt);
    ++m_counters.attemptsFailed;
    ++m_failures;
    emit(RelayEvent::Kind::AttemptFailed, attempt->host, code, reason, attempt->reason);
    if (m_options.mechanisms.backoff)
        m_candidates.block(attempt->host, now + std::max(retryAfter, backoffCeiling()));
    std::string_view newParentReason = reasonForNewParent(now);
    if (!newParentReason.empty())
        scheduleAttempt(newParentReason, "a candidate failed: " + std::string(reason), now);
}

void Relay::dropParent(ResultCode code, std::string_view reason, Duration retryAfter, TimePoint now)
{
    std::unique_ptr<ParentSession> lost = std::move(m_parent);
    closeParentSession(*lost);
    ++m_counters.parentsLost;
    emit(RelayEvent::Kind::ParentLost, lost->host, code, reason, lost->reason);
    if (m_options.mechanisms.backoff)
        m_candidates.block(lost->host, now + retryAfter);
    m_candidates.startOver();
    scheduleAttempt(reason, "lost parent " + lost->host.value(), now);
}

void Relay::failSession(
    ParentSession& session, ResultCode code, std::string_view reason, Duration retryAfter, TimePoint now)
{
    if (&session == m_attempt.get())
        failAttempt(code, reason, retryAfter, now);
    else
        dropParent(code, reason, retryAfter, now);
}

bool Relay::shouldAdopt(const ParentSession& attempt, TimePoint now) const
{
    if (!m_parent || m_parent->isLeaving)
        return true;
    if (!attempt.isImprovement && reasonForNewParent(now).empty())
        return false;
    if (isFresh(attempt, now))
        return true;
    if (isFresh(*m_parent, now))
        return false;
    // Neither is fresh, as during an outage of the control hosts: move only to a proof newer by more than a heartbeat
    // interval or to newer data.
    if (attempt.proof && (!m_parent->proof || *attempt.proof > *m_parent->proof + m_options.heartbeatInterval))
        return true;
    return attempt.advertised.revision > m_parent->advertised.revision;
}

void Relay::adoptAttempt(TimePoint now)
{
    if (m_parent) {
        ++m_counters.parentsLost;
        emit(RelayEvent::Kind::ParentLost, m_parent->host, ResultCode::Ok, m_attempt->reason, m_attempt->cause);
        closeParentSession(*m_parent);
    }
    m_parent = std::move(m_attempt);
    // A fresh proof continues to age after the adoption. If no proof is fresh, as during an outage, the new parent has
    // one heartbeat interval to provide a newer one. The backoff of attempts limits how often the tree is rearranged.
    m_parent->freshnessBaseline
        = isFresh(*m_parent, now) ? *m_parent->proof : now - m_options.freshnessLimit + m_options.heartbeatInterval;
    m_parent->nextHeartbeatAt = now + m_options.heartbeatInterval;
    m_nextAttemptAt.reset();
    m_candidates.startOver();
    if (isFresh(*m_parent, now))
        m_failures = 0;
    m_summaryChanged = true;
    ++m_counters.parentsSelected;
    emit(RelayEvent::Kind::ParentSelected, m_parent->host, ResultCode::Ok, m_parent->reason, m_parent->cause);
    std::uniform_int_distribution<Duration::rep> jitter(0, m_options.improvementInterval.count());
    m_nextImprovementAt = now + m_options.improvementInterval / 2 + Duration(jitter(m_random));
}

void Relay::checkParent(TimePoint now)
{
    if (m_parent && now >= m_parent->lastReceivedAt + m_options.parentTimeout)
        dropParent(
            ResultCode::PeerTimeout, "no message from the parent within the timeout", m_options.freshnessLimit, now);
    if (m_attempt && now >= m_attempt->startedAt + m_options.attemptTimeout)
        failAttempt(ResultCode::PeerTimeout, "no answer from the candidate within the timeout", {}, now);
    if (m_nextAttemptAt && now >= *m_nextAttemptAt)
        runScheduledAttempt(now);
    std::string_view newParentReason = reasonForNewParent(now);
    if (!newParentReason.empty() && !m_attempt && !m_nextAttemptAt)
        scheduleAttempt(newParentReason, "timer", now);
    tryBetterCandidate(now);
}

void Relay::tryBetterCandidate(TimePoint now)
{
    if (!m_parent || m_attempt || m_nextAttemptAt || m_leaveDeadline || now < m_nextImprovementAt)
        return;
    m_nextImprovementAt = now + m_options.improvementInterval;
    size_t current = m_candidates.indexOf(m_parent->host).value_or(0);
    for (size_t i = 0; i < current; ++i) {
        if (m_candidates.isBlocked(m_candidates.host(i), now))
            continue;
        startAttempt(i, "retrying a preferred candidate", "timer", now);
        m_attempt->isImprovement = true;
        return;
    }
}

Relay::ParentSession* Relay::findParentSession(const HostId& host, uint32_t session)
{
    for (ParentSession* candidate : { m_parent.get(), m_attempt.get() })
        if (candidate && candidate->isConnected && candidate->host == host && candidate->session == session)
            return candidate;
    ++m_counters.staleSession;
    return nullptr;
}

// Messages to the parent

uint64_t Relay::timestamp(ParentSession& session, TimePoint now)
{
    session.lastTimestamp = std::max(session.lastTimestamp, floorMilliseconds(now - session.startedAt));
    return session.lastTimestamp;
}

void Relay::sendHeartbeat(ParentSession& session, TimePoint now)
{
    RelayChildHeartbeat heartbeat;
    heartbeat.session = session.session;
    heartbeat.timestamp = timestamp(session, now);
    session.nextHeartbeatAt = now + m_options.heartbeatInterval;
    send(session.host, RelayLink::ToParent, std::move(heartbeat));
}

void Relay::sendReport(ParentSession& session, RelayChildHeartbeat report, TimePoint now)
{
    report.session = session.session;
    report.timestamp = timestamp(session, now);
    if (m_held != session.reported)
        report.held = m_held;
    session.reported = m_held;
    // For a daemon without children, the parent derives the summary from the reported state.
    if (report.held && m_children.empty() && !m_lastRefusal && !report.summary)
        session.reportedSummary = acks();
    send(session.host, RelayLink::ToParent, std::move(report));
}

TimePoint Relay::summaryDueAt() const
{
    // Delay a summary that names stragglers, since most of them report within a few hops.
    if (lowestHeldRevision() == m_held.revision)
        return m_lastSummaryAt + m_options.ackInterval;
    return std::max(m_lastSummaryAt, m_heldSince) + m_options.ackInterval;
}

void Relay::sendSummaryIfDue(TimePoint now)
{
    if (!m_summaryChanged || !m_parent || now < summaryDueAt())
        return;
    m_summaryChanged = false;
    AckSummary summary = acks();
    if (summary == m_parent->reportedSummary)
        return;
    m_parent->reportedSummary = summary;
    m_lastSummaryAt = now;
    RelayChildHeartbeat report;
    report.summary = std::move(summary);
    sendReport(*m_parent, std::move(report), now);
}

// Messages from the parent

bool Relay::rejectStaleTerm(ParentSession& session, const RelayParentHeartbeat& message, TimePoint now)
{
    if (session.term >= m_term || !m_options.mechanisms.termCheck) {
        m_term = std::max(m_term, session.term);
        return false;
    }
    ++m_counters.staleTerm;
    if (!session.staleTermReported)
        emit(RelayEvent::Kind::MessageRefused, session.host, ResultCode::StaleTerm, "the term is stale",
            "term " + std::to_string(session.term.value()) + " is below " + std::to_string(m_term.value()));
    session.staleTermReported = true;
    if (message.payload) {
        RelayChildHeartbeat report;
        report.refused = RevisionRefusal { m_options.self, message.payload->to.revision, ResultCode::StaleTerm };
        sendReport(session, std::move(report), now);
    }
    return true;
}

void Relay::handle(const HostId& from, const RelayParentHeartbeat& message, TimePoint now)
{
    ParentSession* session = findParentSession(from, message.session);
    if (!session)
        return;
    if (message.echo > session->lastTimestamp) {
        ++m_counters.invalidEcho;
        failSession(*session, ResultCode::MalformedFrame, "the echo is newer than the last timestamp",
            m_options.freshnessLimit, now);
        return;
    }
    const bool isAttempt = session == m_attempt.get();
    session->lastReceivedAt = now;
    session->term = message.term.value_or(session->term);
    session->advertised = message.held.value_or(session->advertised);
    bool isRefused = rejectStaleTerm(*session, message, now);
    if (!isRefused) {
        if (message.proofAge) {
            TimePoint echoedTime = session->startedAt + durationFromWire(message.echo);
            TimePoint proof = (m_options.mechanisms.echoes ? echoedTime : now) - durationFromWire(*message.proofAge);
            session->proof = std::max(session->proof.value_or(proof), proof);
        }
        if (message.payload)
            applyPayload(*session, *message.payload, now);
        checkDigest(*session, now);
        adoptProof(*session, now);
    }
    if (isAttempt) {
        if (isRefused)
            failAttempt(ResultCode::StaleTerm, "the candidate's term is stale", m_options.freshnessLimit, now);
        else if (shouldAdopt(*session, now))
            adoptAttempt(now);
        else
            failAttempt(ResultCode::Ok, "the candidate is no better than the parent", {}, now);
    }
    if (m_parent && m_parent->session == message.session) {
        alignHeartbeat(*m_parent, message, now);
        if (isFresh(*m_parent, now) && reasonForNewParent(now).empty())
            m_failures = 0;
    }
    sendSummaryIfDue(now);
}

void Relay::alignHeartbeat(ParentSession& session, const RelayParentHeartbeat& message, TimePoint now)
{
    // A heartbeat that arrives just after the parent's proof advanced is answered with the youngest proof. Without
    // alignment, each level adds up to one interval of age.
    if (!message.sinceProof || message.echo != session.lastTimestamp)
        return;
    Duration since = durationFromWire(*message.sinceProof);
    Duration untilNext = m_options.heartbeatInterval - since + alignmentMargin;
    // The parent's proof should have advanced by now, so our heartbeat arrived slightly too early. Heartbeats and
    // advances have the same period, so this would repeat every time; send the next heartbeat soon.
    if (since >= m_options.heartbeatInterval)
        untilNext = m_options.heartbeatInterval / 10;
    session.nextHeartbeatAt = now + untilNext;
}

void Relay::applyPayload(ParentSession& session, const RelayPayload& payload, TimePoint now)
{
    if (payload.kind == RelayPayload::Kind::None)
        return;
    if (payload.to.revision < m_held.revision) {
        ++m_counters.staleRevision;
        emit(RelayEvent::Kind::MessageRefused, session.host, ResultCode::StaleRevision,
            "a newer revision is already held", revisionCause("received", payload.to.revision), payload.to.revision);
        session.reported = {};
        sendReport(session, {}, now);
        return;
    }
    if (payload.to == m_held) {
        ++m_counters.duplicatePayloads;
        session.reported = {};
        sendReport(session, {}, now);
        return;
    }
    // If the revision is equal but the digest differs, only a snapshot can resolve the conflict.
    if (payload.to.revision == m_held.revision && payload.kind != RelayPayload::Kind::Snapshot) {
        refuseRevision(session, payload, ResultCode::DigestMismatch, now);
        return;
    }
    AcceptResult result = m_options.accept(payload);
    if (result.error) {
        refuseRevision(session, payload, result.error, now);
        return;
    }
    if (result.held.revision < m_held.revision) {
        refuseRevision(session, payload, ResultCode::StaleRevision, now);
        return;
    }
    m_held = result.held;
    m_heldSince = now;
    m_lastRefusal.reset();
    m_summaryChanged = true;
    ++m_counters.revisionsApplied;
    bool isDelta = payload.kind == RelayPayload::Kind::Delta;
    emit(RelayEvent::Kind::RevisionApplied, session.host, ResultCode::Ok, isDelta ? "delta" : "snapshot",
        revisionCause("received", payload.to.revision), m_held.revision);
    pushToChildren(now);
    sendReport(session, {}, now);
}

void Relay::refuseRevision(
    ParentSession& session, const RelayPayload& payload, const std::error_code& error, TimePoint now)
{
    ResultCode code = resultCode(error);
    RevisionRefusal refusal { m_options.self, payload.to.revision, code };
    m_lastRefusal = refusal;
    m_summaryChanged = true;
    ++m_counters.revisionsRefused;
    emit(RelayEvent::Kind::RevisionRefused, session.host, code, error.message(),
        revisionCause("received", payload.to.revision), payload.to.revision);
    bool isBaseMismatch = code == ResultCode::BaseMismatch || code == ResultCode::DigestMismatch;
    if (isBaseMismatch && payload.kind == RelayPayload::Kind::Delta) {
        requestSnapshot(session, refusal, now);
        return;
    }
    RelayChildHeartbeat report;
    report.refused = refusal;
    sendReport(session, std::move(report), now);
}

void Relay::checkDigest(ParentSession& session, TimePoint now)
{
    if (session.advertised.revision != m_held.revision || session.advertised.digest == m_held.digest) {
        session.mismatchReported.reset();
        return;
    }
    if (session.mismatchReported != session.advertised) {
        session.mismatchReported = session.advertised;
        ++m_counters.digestMismatch;
        emit(RelayEvent::Kind::DigestMismatch, session.host, ResultCode::DigestMismatch,
            "the parent holds " + session.advertised.digest.toString() + " and this host " + m_held.digest.toString(),
            revisionCause("compared", m_held.revision), m_held.revision);
    }
    requestSnapshot(session, std::nullopt, now);
}

void Relay::requestSnapshot(ParentSession& session, std::optional<RevisionRefusal> refused, TimePoint now)
{
    bool isDue
        = !session.snapshotRequestedAt || now - *session.snapshotRequestedAt >= m_options.snapshotRequestInterval;
    if (!isDue && !refused)
        return;
    RelayChildHeartbeat report;
    report.refused = std::move(refused);
    report.wantsSnapshot = isDue;
    if (isDue) {
        session.snapshotRequestedAt = now;
        ++m_counters.snapshotRequests;
    }
    sendReport(session, std::move(report), now);
}

void Relay::adoptProof(const ParentSession& session, TimePoint now)
{
    bool holdsAdvertisedState = m_held.revision > session.advertised.revision || m_held == session.advertised;
    if (session.proof && holdsAdvertisedState)
        advanceProof(*session.proof, now);
}

void Relay::advanceProof(TimePoint proof, TimePoint now)
{
    if (m_provenAt && proof <= *m_provenAt)
        return;
    // Small advances come from pushed changes, which echo older timestamps. They do not change the heartbeat alignment.
    bool isLarge = !m_provenAt || proof - *m_provenAt >= m_options.heartbeatInterval / 4;
    m_provenAt = proof;
    if (!isLarge)
        return;
    bool isOverdue = now - m_proofAdvancedAt > m_options.heartbeatInterval * 5 / 4;
    m_proofAdvancedAt = now;
    if (!isOverdue)
        return;
    // The proof had stopped advancing: update the children at once, so that they do not look for other parents.
    for (auto& [host, child] : m_children)
        send(host, RelayLink::ToChild, heartbeatFor(child, now));
}

void Relay::handle(const HostId& from, const RelayRefusal& message, TimePoint now)
{
    ParentSession* session = findParentSession(from, message.session);
    if (!session)
        return;
    Duration retryAfter = std::min(durationFromWire(message.retryAfter), m_options.leavingPenalty);
    failSession(*session, message.code, "the parent or candidate refused the session", retryAfter, now);
}

void Relay::handle(const HostId& from, const RelayLeaving& message, TimePoint now)
{
    ParentSession* session = findParentSession(from, message.session);
    if (!session)
        return;
    if (session == m_attempt.get()) {
        failAttempt(ResultCode::DaemonLeaving, "the candidate is leaving", m_options.leavingPenalty, now);
        return;
    }
    session->isLeaving = true;
    m_candidates.block(from, now + m_options.leavingPenalty);
    m_candidates.startOver();
    checkParent(now);
}

// Children

void Relay::refuseChild(const HostId& host, uint32_t session, ResultCode code, Duration retryAfter)
{
    ++m_counters.childrenRefused;
    emit(RelayEvent::Kind::ChildRefused, host, code, message(code), "attach");
    send(host, RelayLink::ToChild, RelayRefusal { session, code, floorMilliseconds(retryAfter) });
    m_outputs.emplace_back(RelayDisconnect { host, RelayLink::ToChild });
}

void Relay::dropChild(const HostId& host, ResultCode code, std::string_view reason, TimePoint now)
{
    if (m_children.erase(host) == 0)
        return;
    ++m_counters.childrenLost;
    m_summaryChanged = true;
    emit(RelayEvent::Kind::ChildLost, host, code, reason, "session");
    // The child may have held a snapshot slot.
    pushToChildren(now);
    sendSummaryIfDue(now);
}

void Relay::handle(const HostId& from, const RelayAttach& message, TimePoint now)
{
    m_children.erase(from);
    if (m_leaveDeadline) {
        refuseChild(from, message.session, ResultCode::DaemonLeaving, m_options.leavingPenalty);
        return;
    }
    if (m_children.size() >= m_options.maxChildren) {
        refuseChild(from, message.session, ResultCode::TooManyChildren, m_options.retryAfter * fullRelayRetryFactor);
        return;
    }
    Child child;
    child.session = message.session;
    child.timestamp = message.timestamp;
    child.lastReceivedAt = now;
    child.held = message.held;
    child.summary = message.summary;
    bool needsSnapshot = needsPayload(child, now) && payloadFor(child.held).kind == RelayPayload::Kind::Snapshot;
    if (needsSnapshot && !hasSnapshotCapacity()) {
        refuseChild(from, message.session, ResultCode::SnapshotLimit, m_options.retryAfter);
        return;
    }
    m_summaryChanged = true;
    emit(RelayEvent::Kind::ChildAttached, from, ResultCode::Ok, revisionCause("holds", child.held.revision), "attach",
        child.held.revision);
    serveChild(from, m_children[from] = std::move(child), true, now);
    sendSummaryIfDue(now);
}

void Relay::handle(const HostId& from, const RelayChildHeartbeat& message, TimePoint now)
{
    auto found = m_children.find(from);
    if (found == m_children.end() || found->second.session != message.session) {
        ++m_counters.staleSession;
        // The child was dropped while it was paused or unreachable, and may attach again at once.
        if (found == m_children.end())
            send(from, RelayLink::ToChild, RelayRefusal { message.session, ResultCode::PeerClosed, 0 });
        return;
    }
    Child& child = found->second;
    child.timestamp = std::max(child.timestamp, message.timestamp);
    child.lastReceivedAt = now;
    if (message.summary)
        child.summary = *message.summary;
    if (message.held) {
        child.held = *message.held;
        if (child.summary.count <= 1 && !message.summary)
            child.summary = { child.held.revision, 1, {}, {} };
    }
    m_summaryChanged = m_summaryChanged || message.summary || message.held;
    if (message.refused) {
        bool isFinal = message.refused->code == ResultCode::InvalidConfiguration;
        child.refused = child.inFlightTo;
        child.retryAt = isFinal ? TimePoint::max() : now + m_options.snapshotRequestInterval;
    }
    child.wantsSnapshot = child.wantsSnapshot || message.wantsSnapshot;
    bool isDone = message.refused || message.wantsSnapshot || child.held.revision >= child.inFlightTo.revision;
    bool freesSlot = isDone && child.inFlight == RelayPayload::Kind::Snapshot;
    if (isDone)
        child.inFlight = RelayPayload::Kind::None;
    bool expectsAnswer = !message.held && !message.summary && !message.refused && !message.wantsSnapshot;
    serveChild(from, child, expectsAnswer, now);
    if (freesSlot)
        pushToChildren(now);
    sendSummaryIfDue(now);
}

void Relay::handle(const HostId& from, const RelayDetach& message, TimePoint now)
{
    auto found = m_children.find(from);
    if (found == m_children.end() || found->second.session != message.session)
        return;
    m_outputs.emplace_back(RelayDisconnect { from, RelayLink::ToChild });
    dropChild(from, ResultCode::PeerClosed, "the child detached", now);
    finishLeaving(now);
}

bool Relay::needsPayload(const Child& child, TimePoint now) const
{
    if (child.held == m_held || child.held.revision > m_held.revision)
        return false;
    if (child.wantsSnapshot)
        return true;
    if (child.held.revision == m_held.revision)
        return false;
    return child.refused != m_held || now >= child.retryAt;
}

size_t Relay::snapshotsInFlight() const
{
    return static_cast<size_t>(std::count_if(m_children.begin(), m_children.end(),
        [](const auto& entry) { return entry.second.inFlight == RelayPayload::Kind::Snapshot; }));
}

bool Relay::hasSnapshotCapacity() const
{
    return !m_options.mechanisms.snapshotLimit || snapshotsInFlight() < m_options.maxSnapshotsInFlight;
}

const RelayPayload& Relay::payloadFor(const HeldState& held)
{
    std::pair<HeldState, HeldState> key(held, m_held);
    if (m_cachedPayloadKey != key) {
        m_cachedPayload = m_options.payloadFor(held.revision, held.digest);
        m_cachedPayloadKey = key;
    }
    return m_cachedPayload;
}

RelayParentHeartbeat Relay::heartbeatFor(Child& child, TimePoint now)
{
    RelayParentHeartbeat message;
    message.session = child.session;
    message.echo = child.timestamp;
    if (m_provenAt)
        message.proofAge = ceilMilliseconds(now - *m_provenAt);
    if (child.sentTerm != m_term)
        message.term = child.sentTerm = m_term;
    if (child.sentHeld != m_held)
        message.held = child.sentHeld = m_held;
    return message;
}

void Relay::serveChild(const HostId& host, Child& child, bool expectsAnswer, TimePoint now)
{
    if (child.inFlight == RelayPayload::Kind::None && needsPayload(child, now)) {
        const RelayPayload& payload = payloadFor(child.wantsSnapshot ? HeldState {} : child.held);
        bool isSnapshot = payload.kind == RelayPayload::Kind::Snapshot;
        if (payload.kind != RelayPayload::Kind::None && (!isSnapshot || hasSnapshotCapacity())) {
            RelayParentHeartbeat message = heartbeatFor(child, now);
            message.payload = payload;
            child.inFlight = payload.kind;
            child.inFlightTo = payload.to;
            child.wantsSnapshot = false;
            child.refused.reset();
            ++(isSnapshot ? m_counters.snapshotsSent : m_counters.deltasSent);
            send(host, RelayLink::ToChild, std::move(message));
            return;
        }
    }
    if (!expectsAnswer)
        return;
    RelayParentHeartbeat answer = heartbeatFor(child, now);
    Duration since = now - m_proofAdvancedAt;
    // The proof of a control host advances continuously, so its children need no alignment.
    if (!m_options.isControl && since > alignmentTolerance && since < m_options.heartbeatInterval * 5 / 4)
        answer.sinceProof = floorMilliseconds(since);
    send(host, RelayLink::ToChild, std::move(answer));
}

void Relay::pushToChildren(TimePoint now)
{
    for (auto& [host, child] : m_children)
        serveChild(host, child, false, now);
}

Revision Relay::lowestHeldRevision() const
{
    Revision lowest = m_held.revision;
    for (const auto& [host, child] : m_children)
        lowest = std::min({ lowest, child.held.revision, child.summary.lowest });
    return lowest;
}

AckSummary Relay::acks() const
{
    AckSummary result;
    result.lowest = lowestHeldRevision();
    result.count = 1;
    if (m_lastRefusal)
        result.refusals.push_back(*m_lastRefusal);
    for (const auto& [host, child] : m_children) {
        result.count += child.summary.count;
        if (child.held.revision < m_held.revision)
            result.stragglers.push_back({ host, child.held.revision });
        for (const Straggler& straggler : child.summary.stragglers)
            if (straggler.held < m_held.revision)
                result.stragglers.push_back(straggler);
        for (const RevisionRefusal& refusal : child.summary.refusals)
            if (result.refusals.size() < maxNamedHosts)
                result.refusals.push_back(refusal);
    }
    std::sort(result.stragglers.begin(), result.stragglers.end(), [](const Straggler& left, const Straggler& right) {
        return std::tie(left.held, left.host) < std::tie(right.held, right.host);
    });
    if (result.stragglers.size() > maxNamedHosts)
        result.stragglers.resize(maxNamedHosts);
    return result;
}

// Control hosts

void Relay::setLocal(Revision revision, Digest digest, Term term, TimePoint now)
{
    detectPause(now);
    m_term = std::max(m_term, term);
    HeldState state { revision, digest };
    if (state == m_held)
        return;
    if (revision < m_held.revision) {
        ++m_counters.staleRevision;
        emit(RelayEvent::Kind::MessageRefused, m_options.self, ResultCode::StaleRevision,
            "a newer revision is already held", revisionCause("log applied", revision), revision);
        return;
    }
    if (revision == m_held.revision && m_held.revision != Revision()) {
        ++m_counters.digestMismatch;
        emit(RelayEvent::Kind::DigestMismatch, m_options.self, ResultCode::DigestMismatch,
            "the log replaced " + m_held.digest.toString() + " with " + digest.toString(),
            revisionCause("log applied", revision), revision);
    }
    m_held = state;
    m_heldSince = now;
    m_summaryChanged = true;
    ++m_counters.revisionsApplied;
    emit(RelayEvent::Kind::RevisionApplied, m_options.self, ResultCode::Ok, "log",
        revisionCause("log applied", revision), revision);
    pushToChildren(now);
}

void Relay::setProof(std::optional<TimePoint> proof, TimePoint now)
{
    detectPause(now);
    if (proof)
        advanceProof(std::min(*proof, now), now);
}

// Timers and pauses

void Relay::detectPause(TimePoint now)
{
    TimePoint expected = std::max(nextWakeup(), m_now);
    if (expected < TimePoint::max() - m_options.pauseLimit && now > expected + m_options.pauseLimit) {
        // The parent and the children were not unresponsive; this process was paused. Messages queued during the pause
        // echo old timestamps, so they can't advance the proof.
        ++m_counters.pauses;
        emit(RelayEvent::Kind::Resumed, m_options.self, ResultCode::Ok, "the process was paused",
            "no input for " + std::to_string(floorMilliseconds(now - m_now)) + " ms");
        if (m_parent) {
            m_parent->lastReceivedAt = now;
            m_parent->freshnessBaseline = now;
        }
        for (auto& [host, child] : m_children)
            child.lastReceivedAt = now;
    }
    m_now = std::max(m_now, now);
}

void Relay::receive(const HostId& from, const RelayMessage& message, TimePoint now)
{
    detectPause(now);
    std::visit([&](const auto& content) { handle(from, content, now); }, message);
}

void Relay::tick(TimePoint now)
{
    detectPause(now);
    std::vector<HostId> unresponsive;
    for (const auto& [host, child] : m_children)
        if (now >= child.lastReceivedAt + m_options.childTimeout)
            unresponsive.push_back(host);
    for (const HostId& host : unresponsive) {
        m_outputs.emplace_back(RelayDisconnect { host, RelayLink::ToChild });
        dropChild(host, ResultCode::PeerTimeout, "no message from the child within the timeout", now);
    }
    checkParent(now);
    if (m_parent && now >= m_parent->nextHeartbeatAt)
        sendHeartbeat(*m_parent, now);
    sendSummaryIfDue(now);
    finishLeaving(now);
}

TimePoint Relay::nextWakeup() const
{
    TimePoint next = TimePoint::max();
    const auto wakeAt = [&](TimePoint time) { next = std::min(next, time); };
    if (m_parent) {
        wakeAt(m_parent->nextHeartbeatAt);
        wakeAt(m_parent->lastReceivedAt + m_options.parentTimeout);
        if (staleAt(*m_parent) > m_now)
            wakeAt(staleAt(*m_parent));
        if (m_nextImprovementAt > m_now)
            wakeAt(m_nextImprovementAt);
        if (m_summaryChanged)
            wakeAt(std::max(summaryDueAt(), m_now));
    }
    if (m_attempt)
        wakeAt(m_attempt->startedAt + m_options.attemptTimeout);
    if (m_nextAttemptAt)
        wakeAt(*m_nextAttemptAt);
    for (const auto& [host, child] : m_children)
        wakeAt(child.lastReceivedAt + m_options.childTimeout);
    if (m_leaveDeadline && !m_hasLeft)
        wakeAt(*m_leaveDeadline);
    return next;
}

void Relay::leave(TimePoint now)
{
    detectPause(now);
    if (m_leaveDeadline)
        return;
    m_leaveDeadline = now + m_options.leaveTimeout;
    emit(RelayEvent::Kind::Leaving, m_options.self, ResultCode::DaemonLeaving, "graceful shutdown",
        std::to_string(m_children.size()) + " children asked to move");
    for (const auto& [host, child] : m_children)
        send(host, RelayLink::ToChild, RelayLeaving { child.session });
    finishLeaving(now);
}

void Relay::finishLeaving(TimePoint now)
{
    if (!m_leaveDeadline || m_hasLeft || (!m_children.empty() && now < *m_leaveDeadline))
        return;
    m_hasLeft = true;
    for (const auto& [host, child] : m_children)
        m_outputs.emplace_back(RelayDisconnect { host, RelayLink::ToChild });
    m_children.clear();
}

// Outputs

bool Relay::hasLeft() const
{
    return m_hasLeft;
}

bool Relay::isProvenCurrent() const
{
    if (!m_options.mechanisms.proofSinceStart)
        return m_held.revision > Revision();
    return m_provenAt && *m_provenAt > m_startedAt;
}

std::optional<HostId> Relay::parent() const
{
    return m_parent ? std::optional(m_parent->host) : std::nullopt;
}

std::vector<RelayOutput> Relay::takeOutputs()
{
    return std::exchange(m_outputs, {});
}

void Relay::emit(RelayEvent::Kind kind, const HostId& peer, ResultCode code, std::string_view reason,
    std::string_view cause, Revision revision)
{
    m_outputs.emplace_back(RelayEvent { kind, peer, code, revision, std::string(reason), std::string(cause) });
}

void Relay::send(const HostId& host, RelayLink link, RelayMessage message)
{
    m_outputs.emplace_back(RelaySend { host, link, std::move(message) });
}

} // namespace dragonflylane
