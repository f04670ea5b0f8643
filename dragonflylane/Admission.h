#pragma once

// Interface of admission at the owner daemon, the only process that talks to its upstream.
//
//     AdmitDecision decision = admission.offer(ticket, now);  // admit now, queue, or refuse with a code
//     ...
//     AdmissionChanges changes = admission.finished(ticket.id, CallOutcome::Success, now);
//     // changes.handOver: forward these now; changes.refused: answer these callers with the code
//
// Invariants of every implementation: never more calls run than the upstream has slots; no call is handed over at or
// after its deadline; every ticket that was admitted or queued leaves exactly once, by finished(), cancel() or a
// refusal. All refusals carry codes that mean "not run".

#include "dragonflylane/BootClock.h"
#include "dragonflylane/ResultCode.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflylane {

/// One call that asks for a slot of the upstream.
struct CallTicket {
    /// Unique among the tickets that are queued or running.
    uint64_t id { 0 };
    /// Orders and renewals; all other calls are lookups.
    bool isOrder { false };
    /// The fingerprint was in flight when an upstream died (5.5).
    bool isSuspect { false };
    TimePoint deadline;
    /// Calls of one route take about the same time.
    uint64_t routeKey { 0 };
    /// Rank of the route; 0 is served first.
    uint32_t priority { 0 };
    /// Answers until then have their full value; not set: until the deadline.
    TimePoint target {};
    /// The caller would rather try another upstream than wait longer than this here.
    Duration maxWait { Duration::max() };
    /// Set by offer() of RankedAdmission: it cannot end by its target even if it starts at once.
    bool isLate { false };
    /// Set by offer() of RankedAdmission: it leaves the queue if it has not started by then.
    TimePoint giveUpAt { TimePoint::max() };
    /// Time that the answer is expected to wait for the link of this host. OwnerAdmission does not use it.
    Duration answerDelay { 0 };
};

enum class AdmitAction : uint8_t {
    Admit,
    Queue,
    Refuse,
};

/// Answer to an offered ticket; the code is Ok unless the ticket is refused.
struct AdmitDecision {
    AdmitAction action { AdmitAction::Refuse };
    ResultCode code { ResultCode::Ok };
    /// Refused for lack of room: when a slot is expected to be free for such a ticket; zero if unknown.
    Duration expectedWait { 0 };
};

/// How a call that was handed over ended.
enum class CallOutcome : uint8_t {
    Success,
    Failure,
    Shed,
    Timeout,
    Cancelled,
};

struct RefusedTicket {
    CallTicket ticket;
    ResultCode code { ResultCode::Ok };
    Duration expectedWait { 0 };
};

/// Queued tickets that leave the queue.
struct AdmissionChanges {
    std::vector<CallTicket> handOver;
    std::vector<RefusedTicket> refused;
};

/// Attached to answers so that entry daemons can correct their choices.
struct LoadReport {
    uint32_t running { 0 };
    uint32_t queued { 0 };
    uint32_t limit { 0 };
    /// Mean over the calls of late; zero before the first answer.
    Duration serviceTime { 0 };
};

class Admission {
public:
    virtual ~Admission() = default;

    /// Refusals: DeadlineExceeded, WouldMissDeadline, QueueFull, SuspectAlreadyRunning, UpstreamDraining,
    /// DaemonLeaving, NoUpstream (no slots).
    virtual AdmitDecision offer(const CallTicket&, TimePoint now) = 0;
    /// A call that was handed over has ended. Unknown ids are ignored.
    virtual AdmissionChanges finished(uint64_t id, CallOutcome, TimePoint now) = 0;
    /// Removes a queued ticket; true if it was queued. A running call is cancelled at the upstream and then finished().
    virtual bool cancel(uint64_t id) = 0;
    /// New number of slots, from the announcement of the upstream. Zero stops handing over.
    virtual AdmissionChanges setSlots(uint32_t slots, TimePoint now) = 0;
    /// While draining, new tickets are refused; queued and running ones finish.
    virtual void setDraining(bool) = 0;
    virtual bool isDraining() const = 0;
    /// The daemon shuts down: as draining, with the code DaemonLeaving.
    virtual void setLeaving() = 0;
    /// Refuses all queued tickets with this code, after the upstream died or was replaced.
    virtual std::vector<RefusedTicket> refuseQueued(ResultCode) = 0;
    /// Expires queued tickets.
    virtual AdmissionChanges tick(TimePoint now) = 0;
    /// When tick() is due.
    virtual std::optional<TimePoint> nextWakeup() const = 0;
    virtual LoadReport load(TimePoint now) const = 0;
    /// Expected service time of such a ticket; zero before the first answer.
    virtual Duration serviceTime(const CallTicket&, TimePoint now) const = 0;
};

} // namespace dragonflylane
