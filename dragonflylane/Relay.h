#pragma once

// One daemon's part in the distribution tree: a session with a parent, sessions with children, and the freshness proof.
//
//     Relay relay(options, now);
//     relay.setCandidates(index.position().candidates, index.position().level, now);
//     relay.connected(host, now);               // after a RelayConnect output
//     relay.receive(host, message, now);
//     for (RelayOutput& output : relay.takeOutputs()) ...
//
// Contract with the task that owns the connections: the child opens one connection per session, messages on it keep
// their order, and a new connection from a host replaces its previous one without a call of `disconnected`. `now`
// never decreases. Every call may produce outputs. `nextWakeup()` may change with every call.
//
// Freshness. A child's timestamps count from the start of its session. A parent echoes the newest one and states the
// age of its own proof and the state it held. The message was made after the echoed time, so the child's proof time is
// at least the echoed time minus the age, provided that the child holds at least the stated revision. Old messages and
// loops of parents therefore prove nothing. The age is rounded up and the timestamps down to milliseconds. The rates of
// two clocks may differ by 500 ppm, which is 1 ms over the freshness limit; nothing depends on so small a difference.
//
// Data. A change is sent on within the call that learns of it. At most one payload per child is in flight; changes
// meanwhile are merged into the next one. A relay without a proof still serves data.

#include "dragonflylane/RelayOptions.h"
#include "dragonflylane/TreePosition.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace dragonflylane {

class Relay {
public:
    Relay(RelayOptions, TimePoint now);

    /// Candidates in order of preference and the own level (see TreePosition). The current parent is kept while a
    /// replacement is sought if it is no longer among them.
    void setCandidates(std::vector<ParentCandidate>, unsigned level, TimePoint now);

    /// At control hosts: the committed state and the term it is derived from. A lower revision is refused.
    void setLocal(Revision, Digest, Term, TimePoint now);
    /// At control hosts: a time at which no committed revision was newer than the one given to `setLocal`, from an
    /// answer that a leader with a quorum gave to a question asked then. None adds nothing; the earlier proof ages.
    void setProof(std::optional<TimePoint>, TimePoint now);

    void connected(const HostId&, TimePoint now);
    void disconnected(const HostId&, RelayLink, TimePoint now);
    void receive(const HostId& from, const RelayMessage&, TimePoint now);
    void tick(TimePoint now);
    /// Time of the next `tick`.
    TimePoint nextWakeup() const;

    /// Orderly shutdown: children are told to move; `hasLeft()` once they have or the timeout has passed.
    void leave(TimePoint now);
    bool hasLeft() const;

    std::vector<RelayOutput> takeOutputs();

    /// True once the proof is later than the start of this process.
    bool hasFloor() const;
    /// At this time no revision newer than the one held was in force at the leader. None before the first proof.
    std::optional<TimePoint> provenAt() const { return m_provenAt; }
    const HeldState& held() const { return m_held; }
    Term term() const { return m_term; }
    /// The parent whose session is established.
    std::optional<HostId> parent() const;
    size_t childCount() const { return m_children.size(); }
    size_t snapshotsInFlight() const;
    /// Acknowledgements of the subtree, this host included.
    AckSummary acks() const;
    const RelayCounters& counters() const { return m_counters; }

private:
    /// Session with a parent or with a candidate that may become one.
    struct Upstream {
        HostId host;
        uint32_t session { 0 };
        TimePoint startedAt;
        bool isConnected { false };
        bool isLeaving { false };
        /// The attempt was not needed; a preferred candidate was tried.
        bool isImprovement { false };
        uint64_t lastTimestamp { 0 };
        TimePoint heardAt;
        TimePoint heartbeatAt;
        /// Freshness is demanded from this time on: adoption, or the end of a pause of this process.
        TimePoint freshSince;
        /// Newest proof time that the parent has shown, whether or not the own state qualifies for it.
        std::optional<TimePoint> proof;
        /// Values that the parent stated last; it leaves them out while they do not change.
        Term term;
        HeldState stated;
        /// What this host reported last.
        HeldState reported;
        AckSummary reportedSummary;
        bool staleTermReported { false };
        std::optional<HeldState> mismatchReported;
        std::optional<TimePoint> snapshotRequestedAt;
        std::string reason;
        std::string cause;
    };
    /// Session with a child.
    struct Child {
        uint32_t session { 0 };
        uint64_t timestamp { 0 };
        TimePoint heardAt;
        HeldState held;
        AckSummary summary;
        RelayPayload::Kind inFlight { RelayPayload::Kind::None };
        HeldState inFlightTo;
        bool wantsSnapshot { false };
        /// State that the child refused last; it is offered again at `retryAt`, or never if it is invalid.
        std::optional<HeldState> refused;
        TimePoint retryAt;
        /// Values sent last in this session, left out until they change.
        std::optional<Term> sentTerm;
        std::optional<HeldState> sentHeld;
    };

    // The own session with a parent.
    std::string_view reasonForNewParent(TimePoint now) const;
    TimePoint staleAt(const Upstream&) const;
    bool isFresh(const Upstream&, TimePoint now) const;
    Upstream* upstream(const HostId&, uint32_t session);
    std::optional<size_t> candidateIndex(const HostId&) const;
    std::optional<size_t> nextCandidate(TimePoint now) const;
    Duration backoffDelay();
    Duration backoffCeiling() const;
    void scheduleAttempt(std::string_view reason, std::string_view cause, TimePoint now);
    void runScheduledAttempt(TimePoint now);
    void startAttempt(size_t candidate, std::string_view reason, std::string_view cause, TimePoint now);
    void failSession(Upstream&, ResultCode, std::string_view reason, Duration retryAfter, TimePoint now);
    void failAttempt(ResultCode, std::string_view reason, Duration retryAfter, TimePoint now);
    void loseParent(ResultCode, std::string_view reason, Duration retryAfter, TimePoint now);
    bool shouldAdopt(const Upstream&, TimePoint now) const;
    void adoptAttempt(TimePoint now);
    void closeUpstream(const Upstream&);
    void checkParent(TimePoint now);
    void tryBetterCandidate(TimePoint now);
    uint64_t timestamp(Upstream&, TimePoint now);
    void sendQuestion(Upstream&, TimePoint now);
    void sendReport(Upstream&, RelayChildHeartbeat, TimePoint now);
    TimePoint reportDueAt() const;
    void considerReport(TimePoint now);

    void handle(const HostId& from, const RelayAttach&, TimePoint now);
    void handle(const HostId& from, const RelayChildHeartbeat&, TimePoint now);
    void handle(const HostId& from, const RelayDetach&, TimePoint now);
    void handle(const HostId& from, const RelayParentHeartbeat&, TimePoint now);
    void handle(const HostId& from, const RelayRefusal&, TimePoint now);
    void handle(const HostId& from, const RelayLeaving&, TimePoint now);

    bool refusesTerm(Upstream&, const RelayParentHeartbeat&, TimePoint now);
    void applyPayload(Upstream&, const RelayPayload&, TimePoint now);
    void refuseRevision(Upstream&, const RelayPayload&, const std::error_code&, TimePoint now);
    void checkDigest(Upstream&, TimePoint now);
    void requestSnapshot(Upstream&, std::optional<RevisionRefusal>, TimePoint now);
    void alignHeartbeat(Upstream&, const RelayParentHeartbeat&, TimePoint now);
    void learnProof(const Upstream&, TimePoint now);
    void advanceProof(TimePoint proof, TimePoint now);

    // Children.
    void refuseChild(const HostId&, uint32_t session, ResultCode, Duration retryAfter);
    void dropChild(const HostId&, ResultCode, std::string_view reason, TimePoint now);
    bool needsPayload(const Child&, TimePoint now) const;
    bool mayHaveSnapshot() const;
    /// Sends a payload if the child needs one and may have it; otherwise answers if `isQuestion`.
    void serveChild(const HostId&, Child&, bool isQuestion, TimePoint now);
    RelayParentHeartbeat heartbeatFor(Child&, TimePoint now);
    const RelayPayload& payloadFor(const HeldState&);
    void pushToChildren(TimePoint now);
    Revision lowestHeld() const;

    void noteActivity(TimePoint now);
    void finishLeaving(TimePoint now);
    void emit(RelayEvent::Kind, const HostId& peer, ResultCode, std::string_view reason, std::string_view cause,
        Revision = {});
    void send(const HostId&, RelayLink, RelayMessage);

    RelayOptions m_options;
    RelayCounters m_counters;
    TimePoint m_startedAt;
    /// Time of the last input.
    TimePoint m_now;
    std::mt19937_64 m_random;
    uint32_t m_nextSession;

    HeldState m_held;
    TimePoint m_heldSince;
    Term m_term;
    std::optional<TimePoint> m_provenAt;
    /// When the proof last advanced by a good part of an interval; children time their heartbeats by it.
    TimePoint m_provenSince;

    std::vector<ParentCandidate> m_candidates;
    unsigned m_level { 1 };
    std::map<HostId, TimePoint> m_notBefore;
    size_t m_cursor { 0 };
    std::unique_ptr<Upstream> m_parent;
    std::unique_ptr<Upstream> m_attempt;
    std::optional<TimePoint> m_attemptAt;
    std::string m_attemptReason;
    std::string m_attemptCause;
    unsigned m_failures { 0 };
    TimePoint m_improveAt;

    std::map<HostId, Child> m_children;
    std::optional<RevisionRefusal> m_refusal;
    bool m_summaryChanged { false };
    TimePoint m_reportedAt;

    /// The payload made last and the pair (child's state, own state) that it is for.
    std::optional<std::pair<HeldState, HeldState>> m_cachedFor;
    RelayPayload m_cached;

    std::optional<TimePoint> m_leaveBy;
    bool m_hasLeft { false };
    std::vector<RelayOutput> m_outputs;
};

} // namespace dragonflylane
