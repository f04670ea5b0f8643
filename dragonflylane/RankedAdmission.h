#pragma once

// Admission control that orders calls by rank, for upstreams that call one another and run near their capacity.
//
// Order of service: priority of the tenant, priority of the route, nested calls before others, tickets (see CallTicket)
// that can still meet their target before late ones, then the tenant that is owed the most service (TenantFairness),
// and at last the earliest target. A nested call has the priorities of the call that its upstream is running.
//
// This avoids the following failure mode. Under load a parent call holds its slot while its nested calls are queued
// behind new calls at the next service, so the slots of every service fill with parents that wait for one another.
// Nested calls are short and have tight targets, so serving them first lets their parents finish.
//
// Routes are ranked by priority and, at equal priority, by the time that their calls have until the target: a route
// with much more time ranks lower, since its callers have more time to retry.
//
// Without tenants and nested calls, the order is thus priority, lateness and target.
//
// A ticket of the lowest rank is queued only if it is expected to finish by its target, with a margin for the variation
// of service times. Under overload this keeps the queue as short as the targets allow: a call that cannot be served in
// time is refused at once instead of taking a slot from one that can. A nested call waits only until a slot is freed,
// and may finish after its target, since the parent call that waits for it has a target of its own. While no nested
// calls are seen, that holds for tickets of a higher rank, which are then likely to be nested.
//
// A ticket that can no longer meet its target is queued behind those that can, and is refused soon if they take all
// slots.
//
// Costs O(queue + routes) per call, and O(slots log slots) for the estimate of the wait; all are bounded.

#include "dragonflylane/DrainWindow.h"
#include "dragonflylane/ServiceTimeEstimate.h"
#include "dragonflylane/TenantFairness.h"
#include "dragonflylane/UpstreamRateLimiter.h"

#include <unordered_map>

namespace dragonflylane {

struct RankedAdmissionOptions {
    uint32_t slots { 0 };
    /// Queue capacity as a multiple of the slots.
    double queuePerSlot { 4 };
    /// Weight of a new sample in the service time estimates.
    double estimateWeight { 0.1 };
    /// Without new samples an estimate halves in this time. Otherwise one slow period could cause all calls to be
    /// refused, and no sample would ever lower the estimate again.
    Duration estimateHalfLife { std::chrono::seconds(1) };

    /// Routes count as in use for this long after their last call.
    Duration routeIdleAfter { std::chrono::seconds(2) };
    /// See Admission::setDraining().
    Duration drainWindow { std::chrono::seconds(1) };

    // Switches that disable a mechanism for a test.
    bool orderByRank { true };
    bool refuseLate { true };
    bool reportsRateWait { true };
    bool sharesBetweenTenants { true };
};

class RankedAdmission final : public Admission {
public:
    explicit RankedAdmission(RankedAdmissionOptions);

    AdmitDecision offer(const CallTicket& offered, TimePoint now) override;
    AdmissionChanges finished(uint64_t id, CallOutcome, TimePoint now) override;
    bool cancel(uint64_t id) override;
    AdmissionChanges setSlots(uint32_t slots, TimePoint now) override;
    AdmissionChanges setRateLimit(std::optional<RequestRate>, TimePoint now) override;
    AdmissionChanges setDraining(bool, TimePoint now) override;
    bool isDraining() const override { return m_drain.isDraining(); }
    void setLeaving() override { m_isLeaving = true; }
    std::vector<RefusedTicket> refuseQueued(ResultCode) override;
    AdmissionChanges tick(TimePoint now) override;
    std::optional<TimePoint> nextWakeup() const override;
    LoadReport load(TimePoint now) const override;

    Duration serviceTime(const CallTicket&, TimePoint now) const override;

private:
    struct RunningCall {
        CallTicket ticket;
        TimePoint startedAt;
    };

    /// Statistics of the calls of one route.
    struct Route {
        uint32_t priority { 0 };
        /// Time from the offer to the target, for first attempts.
        Duration timeToTarget { 0 };
        TimePoint offeredAt;
        ServiceTimeEstimate serviceTime;
    };

    bool precedes(const CallTicket&, const CallTicket&) const;
    size_t freeSlots() const { return m_running.size() < m_options.slots ? m_options.slots - m_running.size() : 0; }
    bool mayStart(TimePoint now) const { return freeSlots() > 0 && m_rateLimiter.maySend(now); }
    bool isHigherRank(const Route&, const Route& than) const;
    bool isSuspectAdmitted() const;
    size_t capacity() const;
    Duration meanServiceTime(TimePoint now) const;
    Duration expectedWait(const CallTicket&, TimePoint now) const;
    Duration expectedSlotWait(size_t ahead, TimePoint now) const;
    /// Latest start with which a ticket like this one may be queued.
    TimePoint latestStart(const CallTicket&, TimePoint now) const;
    void recordOffer(const CallTicket&, TimePoint now);
    /// True if some route in use has a lower rank than the route of the ticket.
    bool outranksActiveRoute(const CallTicket&, TimePoint now) const;
    /// True if another call is likely to wait for this one, so that it is useful even after its target. Where no nested
    /// calls are seen, as in meshes whose request ids don't show them, the rank of the route decides.
    bool isAwaited(const CallTicket&, TimePoint now) const;
    /// Sets the tags of a ticket that is about to be queued or started.
    void charge(CallTicket&);
    void enqueue(const CallTicket&);
    void start(const CallTicket&, TimePoint now);
    void refuseTicket(AdmissionChanges&, const CallTicket&, ResultCode, Duration expectedWait = {});
    void dispatchQueued(AdmissionChanges&, TimePoint now);
    void refuseAfterDrain(AdmissionChanges&, TimePoint now);
    void recordOutcome(const RunningCall&, CallOutcome, TimePoint now);

    RankedAdmissionOptions m_options;
    ServiceTimeOptions m_estimateOptions;
    /// In order of service.
    std::vector<CallTicket> m_queue;
    std::unordered_map<uint64_t, RunningCall> m_running;
    UpstreamRateLimiter m_rateLimiter;
    /// By route key.
    std::unordered_map<uint64_t, Route> m_routes;
    /// When a nested call was offered last.
    TimePoint m_nestedOfferedAt;
    TenantFairness m_fairness;
    DrainWindow m_drain;
    bool m_isLeaving { false };
};

} // namespace dragonflylane
