#pragma once

// Interface of admission control at the owner daemon, the only process that sends requests to its upstream.
//
//     AdmitDecision decision = admission.offer(ticket, now);  // admit now, queue, or refuse with a code
//     ...
//     AdmissionChanges changes = admission.finished(ticket.id, CallOutcome::Success, now);
//     // changes.dispatched: forward these to the upstream now; changes.refused: answer these callers with the code
//
// Invariants of every implementation:
//   * The number of running calls never exceeds the number of slots of the upstream.
//   * While a rate limit is set, calls are forwarded no faster than UpstreamRateLimiter allows.
//   * No call is forwarded at or after its deadline.
//   * No call is forwarded later than the drain window after the beginning of a drain.
//   * Every admitted or queued ticket is removed exactly once: by finished(), by cancel() or by a refusal.
//   * Every refusal has a code that means "not run".

#include "dragonflylane/BootClock.h"
#include "dragonflylane/RequestRate.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/SpeedReport.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dragonflylane {

/// A request for one slot (concurrent call) of the upstream, on behalf of one call.
struct CallTicket {
    /// Unique among the tickets that are queued or running.
    uint64_t id { 0 };
    /// True for non-idempotent calls; the wire field `order` of ForwardRequest. OwnerAdmission treats idempotent and
    /// non-idempotent calls as two classes.
    bool isNonIdempotent { false };
    /// An equal request was in flight when an upstream died, so this one may crash its upstream (5.5).
    bool isSuspect { false };
    TimePoint deadline;
    /// Identifies the route. Service times are estimated per route.
    uint64_t routeKey { 0 };
    /// Priority of the route; 0 is served first.
    uint32_t priority { 0 };
    /// Identifies the tenant; zero for calls without one.
    uint64_t tenantKey { 0 };
    /// Priority of the tenant, which goes before that of the route; 0 is served first.
    uint32_t tenantPriority { 0 };
    /// Made by an upstream for a call that it is running. Its priorities are those of that parent call.
    bool isNested { false };
    /// Latency objective: the time by which the response should be ready. Not set: the deadline.
    TimePoint target {};
    /// Refuse the ticket if its expected wait is longer than this, so that the caller can try another upstream.
    Duration maxWait { Duration::max() };
    /// Set by RankedAdmission::offer(): the call cannot finish by its target even if it starts at once.
    bool isLate { false };
    /// Set by RankedAdmission::offer(): the ticket is refused if it is still queued after this time.
    TimePoint queueDeadline { TimePoint::max() };
    /// Set by RankedAdmission::offer(): see TenantFairness.
    Duration startTag { 0 };
    /// Set by RankedAdmission::offer(): service time that is charged to the tenant.
    Duration chargedServiceTime { 0 };
    /// Expected queueing delay of the response at the network link of this host. OwnerAdmission does not use it.
    Duration answerDelay { 0 };
};

enum class AdmitAction : uint8_t {
    Admit,
    Queue,
    Refuse,
};

/// Result of offer(); the code is Ok unless the ticket is refused.
struct AdmitDecision {
    AdmitAction action { AdmitAction::Refuse };
    ResultCode code { ResultCode::Ok };
    /// After a refusal for lack of capacity: expected time until such a ticket could start; zero if unknown.
    Duration expectedWait { 0 };
};

/// How a forwarded call ended.
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

/// Tickets that an event removed from the queue.
struct AdmissionChanges {
    /// These now hold a slot and must be forwarded to the upstream.
    std::vector<CallTicket> dispatched;
    std::vector<RefusedTicket> refused;
};

/// Load of one upstream, attached to responses as input for the load balancing of the entry daemons.
struct LoadReport {
    uint32_t running { 0 };
    uint32_t queued { 0 };
    uint32_t limit { 0 };
    /// Mean over recent calls; zero before the first response.
    Duration serviceTime { 0 };
    /// Empty if the upstream states no load.
    std::optional<SpeedReport> speed {};
    /// Concurrent calls that the owner allows (WarmupPace). Empty if the owner does not pace its upstream.
    std::optional<uint32_t> paceLimit {};

    /// Counts a wait that is not for a slot as load: as the number of calls that the upstream can run in that time. If
    /// the service time is unknown, all slots count as busy for that time.
    void addWait(Duration);
};

class Admission {
public:
    virtual ~Admission() = default;

    /// Refusals: DeadlineExceeded, WouldMissDeadline, QueueFull, SuspectAlreadyRunning, UpstreamDraining,
    /// DaemonLeaving, NoUpstream (no slots).
    virtual AdmitDecision offer(const CallTicket&, TimePoint now) = 0;
    /// Ends a running call and frees its slot. Unknown ids are ignored.
    virtual AdmissionChanges finished(uint64_t id, CallOutcome, TimePoint now) = 0;
    /// Removes a queued ticket; true if it was queued. To cancel a running call, cancel it at the upstream and then
    /// call finished().
    virtual bool cancel(uint64_t id) = 0;
    /// Sets the number of slots that the upstream announced. With zero slots no call is forwarded.
    virtual AdmissionChanges setSlots(uint32_t slots, TimePoint now) = 0;
    /// Sets the rate that the upstream states that it accepts; empty: no limit.
    virtual AdmissionChanges setRateLimit(std::optional<RequestRate>, TimePoint now) = 0;
    /// While draining, new tickets are refused and running ones finish. Queued ones are forwarded for the length of the
    /// drain window (DrainWindow); those that are not expected to start by then are refused at once.
    virtual AdmissionChanges setDraining(bool, TimePoint now) = 0;
    virtual bool isDraining() const = 0;
    /// The daemon is shutting down: new tickets are refused as while draining, with the code DaemonLeaving.
    virtual void setLeaving() = 0;
    /// Refuses all queued tickets with this code; called after the upstream died or was replaced.
    virtual std::vector<RefusedTicket> refuseQueued(ResultCode) = 0;
    /// Refuses queued tickets that have expired and forwards those that can start.
    virtual AdmissionChanges tick(TimePoint now) = 0;
    /// When tick() must be called next, if at all.
    virtual std::optional<TimePoint> nextWakeup() const = 0;
    virtual LoadReport load(TimePoint now) const = 0;
    /// Expected service time of calls like this ticket; zero before the first response.
    virtual Duration serviceTime(const CallTicket&, TimePoint now) const = 0;
};

} // namespace dragonflylane
