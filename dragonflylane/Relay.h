#pragma once

// One daemon's node of the distribution tree: its session with a parent, its sessions with children, and the freshness
// proof, which is the time at which the held revision was known to be the newest committed one.
//
//     Relay relay(options, now);
//     const TreePosition& position = treeIndex.position();
//     relay.setCandidates(position.candidates, position.level, now);
//     relay.connected(host, now);               // after a RelayConnect output
//     relay.receive(host, message, now);
//     for (RelayOutput& output : relay.takeOutputs()) ...
//
// Requirements on the caller, which owns the connections: the child opens one connection per session. Messages on a
// connection stay in order. A new connection from a host replaces its previous one without a call of `disconnected`.
// `now` never decreases. After every call, take the outputs and read `nextWakeup()` again.
//
// Freshness. A child's timestamps count from the start of its session. A parent echoes the newest one and sends the
// age of its own proof and the state it holds. The message was created after the echoed time, so the child's proof time
// is at least the echoed time minus the age, provided that the child holds at least the parent's revision. Delayed
// messages and loops of parents therefore can't make stale state look fresh. Ages are rounded up and timestamps down to
// milliseconds. The rates of two clocks may differ by 500 ppm, which is 1 ms over the freshness limit and negligible.
//
// Data. A change is forwarded within the call that receives it. At most one payload per child is in flight; further
// changes are merged into the next one. A relay without a fresh proof still serves data.

#include "dragonflylane/ParentCandidates.h"
#include "dragonflylane/RelayOptions.h"

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

    /// Sets the candidates in order of preference and this daemon's level (see TreePosition). A current parent that is
    /// not among them is kept until a replacement has been found.
    void setCandidates(std::vector<ParentCandidate>, unsigned level, TimePoint now);

    /// On control hosts: sets the committed state and the term that it comes from. A lower revision is rejected.
    void setLocal(Revision, Digest, Term, TimePoint now);
    /// On control hosts: sets a time at which no committed revision was newer than the one given to `setLocal`. It is
    /// the time at which a request was sent that a leader with a quorum has answered. None leaves the proof unchanged.
    void setProof(std::optional<TimePoint>, TimePoint now);

    void connected(const HostId&, TimePoint now);
    void disconnected(const HostId&, RelayLink, TimePoint now);
    void receive(const HostId& from, const RelayMessage&, TimePoint now);
    void tick(TimePoint now);
    /// Returns the time at which `tick` is due next.
    TimePoint nextWakeup() const;

    /// Starts a graceful shutdown and asks the children to move. `hasLeft()` becomes true when they have, or at
    /// `leaveTimeout`. The daemon itself keeps a parent, because it serves requests until its process ends.
    void leave(TimePoint now);
    bool hasLeft() const;

    std::vector<RelayOutput> takeOutputs();

    /// True once the proof is later than the start of this process.
    bool isProvenCurrent() const;
    /// Latest time at which the leader is known to have had no newer revision than the one held. None before the first
    /// proof.
    std::optional<TimePoint> provenAt() const { return m_provenAt; }
    const HeldState& held() const { return m_held; }
    Term term() const { return m_term; }
    /// The current parent, if any; not a candidate that is still being tried.
    std::optional<HostId> parent() const;
    size_t childCount() const { return m_children.size(); }
    size_t snapshotsInFlight() const;
    /// Acknowledgements of the subtree, including this host.
    AckSummary acks() const;
    const RelayCounters& counters() const { return m_counters; }

private:
    /// Session with the parent, or with a candidate during an attempt to attach to it.
    struct ParentSession {
        HostId host;
        uint32_t session { 0 };
        TimePoint startedAt;
        bool isConnected { false };
        bool isLeaving { false };
        /// The current parent is fine; the attempt is made to move to a preferred candidate.
        bool isImprovement { false };
        uint64_t lastTimestamp { 0 };
        TimePoint lastReceivedAt;
        TimePoint nextHeartbeatAt;
        /// The age of the parent's proof is measured from here while there is no newer proof. Set when the session is
        /// adopted as that of the parent, and at the end of a pause of this process.
        TimePoint freshnessBaseline;
        /// Newest proof time derived from the parent's messages, whether or not our state is recent enough to adopt it.
        std::optional<TimePoint> proof;
        /// Values that the parent sent last; it omits them while they do not change.
        Term term;
        HeldState advertised;
        /// State and summary that this host sent last.
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
        TimePoint lastReceivedAt;
        HeldState held;
        AckSummary summary;
        RelayPayload::Kind inFlight { RelayPayload::Kind::None };
        HeldState inFlightTo;
        bool wantsSnapshot { false };
        /// State that the child refused last. It is sent again at `retryAt`, or never if the child found it invalid.
        std::optional<HeldState> refused;
        TimePoint retryAt;
        /// Values sent last in this session; omitted until they change.
        std::optional<Term> sentTerm;
        std::optional<HeldState> sentHeld;
    };

    // Session with the parent, and attempts to attach to candidates.
    std::string_view reasonForNewParent(TimePoint now) const;
    TimePoint staleAt(const ParentSession&) const;
    bool isFresh(const ParentSession&, TimePoint now) const;
    ParentSession* findParentSession(const HostId&, uint32_t session);
    Duration backoffDelay();
    Duration backoffCeiling() const;
    void scheduleAttempt(std::string_view reason, std::string_view cause, TimePoint now);
    void runScheduledAttempt(TimePoint now);
    void startAttempt(size_t candidate, std::string_view reason, std::string_view cause, TimePoint now);
    void failSession(ParentSession&, ResultCode, std::string_view reason, Duration retryAfter, TimePoint now);
    void failAttempt(ResultCode, std::string_view reason, Duration retryAfter, TimePoint now);
    void dropParent(ResultCode, std::string_view reason, Duration retryAfter, TimePoint now);
    bool shouldAdopt(const ParentSession&, TimePoint now) const;
    void adoptAttempt(TimePoint now);
    void closeParentSession(const ParentSession&);
    void checkParent(TimePoint now);
    void tryBetterCandidate(TimePoint now);
    uint64_t timestamp(ParentSession&, TimePoint now);
    void sendHeartbeat(ParentSession&, TimePoint now);
    void sendReport(ParentSession&, RelayChildHeartbeat, TimePoint now);
    TimePoint summaryDueAt() const;
    void sendSummaryIfDue(TimePoint now);

    void handle(const HostId& from, const RelayAttach&, TimePoint now);
    void handle(const HostId& from, const RelayChildHeartbeat&, TimePoint now);
    void handle(const HostId& from, const RelayDetach&, TimePoint now);
    void handle(const HostId& from, const RelayParentHeartbeat&, TimePoint now);
    void handle(const HostId& from, const RelayRefusal&, TimePoint now);
    void handle(const HostId& from, const RelayLeaving&, TimePoint now);

    bool rejectStaleTerm(ParentSession&, const RelayParentHeartbeat&, TimePoint now);
    void applyPayload(ParentSession&, const RelayPayload&, TimePoint now);
    void refuseRevision(ParentSession&, const RelayPayload&, const std::error_code&, TimePoint now);
    void checkDigest(ParentSession&, TimePoint now);
    void requestSnapshot(ParentSession&, std::optional<RevisionRefusal>, TimePoint now);
    void alignHeartbeat(ParentSession&, const RelayParentHeartbeat&, TimePoint now);
    void adoptProof(const ParentSession&, TimePoint now);
    void advanceProof(TimePoint proof, TimePoint now);

    // Children.
    void refuseChild(const HostId&, uint32_t session, ResultCode, Duration retryAfter);
    void dropChild(const HostId&, ResultCode, std::string_view reason, TimePoint now);
    bool needsPayload(const Child&, TimePoint now) const;
    bool hasSnapshotCapacity() const;
    /// Sends a payload if the child needs one and the limits allow it; otherwise answers if `expectsAnswer`.
    void serveChild(const HostId&, Child&, bool expectsAnswer, TimePoint now);
    RelayParentHeartbeat heartbeatFor(Child&, TimePoint now);
    const RelayPayload& payloadFor(const HeldState&);
    void pushToChildren(TimePoint now);
    Revision lowestHeldRevision() const;

    void detectPause(TimePoint now);
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
    /// When the proof last advanced by at least a quarter of a heartbeat interval. Children align their heartbeats with
    /// it.
    TimePoint m_proofAdvancedAt;

    ParentCandidates m_candidates;
    unsigned m_level { 1 };
    std::unique_ptr<ParentSession> m_parent;
    std::unique_ptr<ParentSession> m_attempt;
    std::optional<TimePoint> m_nextAttemptAt;
    std::string m_attemptReason;
    std::string m_attemptCause;
    unsigned m_failures { 0 };
    TimePoint m_nextImprovementAt;

    std::map<HostId, Child> m_children;
    std::optional<RevisionRefusal> m_lastRefusal;
    bool m_summaryChanged { false };
    TimePoint m_lastSummaryAt;

    /// The payload created last and the pair (child's state, own state) that it belongs to.
    std::optional<std::pair<HeldState, HeldState>> m_cachedPayloadKey;
    RelayPayload m_cachedPayload;

    std::optional<TimePoint> m_leaveDeadline;
    bool m_hasLeft { false };
    std::vector<RelayOutput> m_outputs;
};

} // namespace dragonflylane
