#pragma once

// Admission by rank, for upstreams that call one another and are loaded near their limit.
//
// Order of service: routes by priority, then calls that can still meet their target, then the earliest target time.
// Pattern: under load a parent holds its slot while its own calls queue behind new work of the next service, so every
// service fills with parents that wait for one another. Calls that running work waits for are short and have tight
// targets, so they go first and the chain ends.
//
// A ticket of the lowest rank is queued only if it is expected to end by its target time, with a margin for the spread
// of service times. Under overload this keeps the queue as short as the targets allow: callers who cannot be served in
// time learn so at once, instead of taking slots from those who can. Higher ranks wait only for slots to turn over, and
// may end later, since the work that waits for them has its own target.
//
// A ticket that cannot meet its target any more goes behind those that can, and leaves the queue soon if they take the
// slots.
//
// Costs O(queue + routes) per call; both are bounded.

#include "dragonflylane/ServiceTimeEstimate.h"

#include <unordered_map>

namespace dragonflylane {

struct RankedAdmissionOptions {
    uint32_t slots { 0 };
    /// Queue capacity as a multiple of the slots.
    double queuePerSlot { 4 };
    /// Weight of a new sample in the service time estimates.
    double estimateWeight { 0.1 };
    /// Without new samples an estimate halves in this time, so that one slow period cannot refuse all calls for ever.
    Duration estimateHalfLife { std::chrono::seconds(1) };

    /// Routes count as in use for this long after their last call.
    Duration routeIdleAfter { std::chrono::seconds(2) };

    // Switches that disable a mechanism for a test.
    bool orderByRank { true };
    bool refuseLate { true };
};

class RankedAdmission final : public Admission {
public:
    explicit RankedAdmission(RankedAdmissionOptions);

    AdmitDecision offer(const CallTicket& offered, TimePoint now) override;
    AdmissionChanges finished(uint64_t id, CallOutcome, TimePoint now) override;
    bool cancel(uint64_t id) override;
    AdmissionChanges setSlots(uint32_t slots, TimePoint now) override;
    void setDraining(bool isDraining) override { m_isDraining = isDraining; }
    bool isDraining() const override { return m_isDraining; }
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

    /// What is known of the calls of one route.
    struct Route {
        uint32_t priority { 0 };
        /// Time from the offer to the target, of first tries.
        Duration span { 0 };
        TimePoint offeredAt;
        ServiceTimeEstimate serviceTime;
    };

    bool goesBefore(const CallTicket&, const CallTicket&) const;
    bool hasFreeSlot() const { return m_running.size() < m_options.slots; }
    bool isHigherRank(const Route&, const Route& than) const;
    bool isSuspectBusy() const;
    size_t capacity() const;
    Duration meanHold(TimePoint now) const;
    Duration expectedWait(const CallTicket&, TimePoint now) const;
    /// When such a ticket must start at the latest to be worth a place in the queue.
    TimePoint latestStart(const CallTicket&, TimePoint now) const;
    void noteOffer(const CallTicket&, TimePoint now);
    bool hasLowerRank(const CallTicket&, TimePoint now) const;
    void enqueue(const CallTicket&);
    void start(const CallTicket&, TimePoint now);
    void handOver(AdmissionChanges&, TimePoint now);
    void learn(const RunningCall&, CallOutcome, TimePoint now);

    RankedAdmissionOptions m_options;
    ServiceTimeOptions m_estimate;
    /// Best first.
    std::vector<CallTicket> m_queue;
    std::unordered_map<uint64_t, RunningCall> m_running;
    /// By route key.
    std::unordered_map<uint64_t, Route> m_routes;
    bool m_isDraining { false };
    bool m_isLeaving { false };
};

} // namespace dragonflylane
