#pragma once

// Admission control with two classes, idempotent and non-idempotent calls. Each class has a guaranteed share of the
// slots and of the queue, and the concurrency limit adapts to shed responses of the upstream (additive increase,
// multiplicative decrease).
//
//     OwnerAdmission admission({ .slots = 12 });
//     AdmitDecision decision = admission.offer(ticket, now);  // admit now, queue, or refuse with a code
//     ...
//     AdmissionChanges changes = admission.finished(ticket.id, CallOutcome::Success, now);
//     // changes.dispatched: forward these to the upstream now; changes.refused: answer these callers with the code
//
// Keeps the invariants listed in Admission.h. Costs O(queue) per call; by default the queue holds at most one ticket
// per slot.

#include "dragonflylane/DrainWindow.h"
#include "dragonflylane/ServiceTimeEstimate.h"
#include "dragonflylane/UpstreamRateLimiter.h"

#include <array>
#include <unordered_map>

namespace dragonflylane {

struct OwnerAdmissionOptions {
    uint32_t slots { 12 };
    /// Queue capacity as a multiple of the slots.
    double queuePerSlot { 1.0 };
    /// Shares of the slots and of the queue that are reserved for each class. A reservation is rounded down, but is
    /// at least one, and applies only while its class is in use.
    double nonIdempotentShare { 0.25 };
    double idempotentShare { 0.25 };
    /// A class counts as in use for this long after its last offer.
    Duration classIdleAfter { std::chrono::seconds(10) };
    /// The limit is multiplied by this after a shed response.
    double decreaseFactor { 0.7 };
    /// The limit grows by this over one limit's worth of successes.
    double increaseStep { 1.0 };
    /// Weight of a new sample in the service time estimate.
    double estimateWeight { 0.1 };
    /// Without new samples the estimate halves in this time. Otherwise one slow period could cause all calls to be
    /// refused, and no sample would ever lower the estimate again.
    Duration estimateHalfLife { std::chrono::seconds(1) };
    /// See Admission::setDraining().
    Duration drainWindow { std::chrono::seconds(1) };

    // Switches that disable a mechanism for a test.
    bool adaptLimit { true };
    bool refuseLate { true };
    bool reserveShares { true };
    bool limitSuspects { true };
    bool orderByDeadline { true };
};

class OwnerAdmission final : public Admission {
public:
    explicit OwnerAdmission(OwnerAdmissionOptions);

    AdmitDecision offer(const CallTicket&, TimePoint now) override;
    AdmissionChanges finished(uint64_t id, CallOutcome, TimePoint now) override;
    bool cancel(uint64_t id) override;
    /// Updates isSuspect of a queued or running ticket, after its fingerprint was reported as crashing upstreams or was
    /// cleared of that.
    AdmissionChanges setSuspect(uint64_t id, bool isSuspect, TimePoint now);
    AdmissionChanges setSlots(uint32_t slots, TimePoint now) override;
    AdmissionChanges setRateLimit(std::optional<RequestRate>, TimePoint now) override;
    AdmissionChanges setDraining(bool, TimePoint now) override;
    bool isDraining() const override { return m_drain.isDraining(); }
    void setLeaving() override { m_isLeaving = true; }
    std::vector<RefusedTicket> refuseQueued(ResultCode) override;
    AdmissionChanges tick(TimePoint now) override;
    std::optional<TimePoint> nextWakeup() const override;
    LoadReport load(TimePoint now) const override;

    bool isIdle() const { return m_running.empty() && queuedCount() == 0; }
    /// Estimate for one class; zero before its first response.
    Duration serviceTime(bool isNonIdempotent, TimePoint now) const;
    Duration serviceTime(const CallTicket& ticket, TimePoint now) const override
    {
        return serviceTime(ticket.isNonIdempotent, now);
    }

private:
    struct RunningCall {
        TimePoint startedAt;
        bool isNonIdempotent { false };
        bool isSuspect { false };
    };

    /// State of the idempotent (index 0) or non-idempotent (index 1) calls.
    struct CallClass {
        std::vector<CallTicket> queue;
        uint32_t running { 0 };
        /// Number of forwarded calls divided by the share of the class (weighted fair queueing). The class with the
        /// lower value is served next.
        double virtualTime { 0 };
        std::optional<TimePoint> lastOfferAt;
        ServiceTimeEstimate estimate;
    };

    static size_t classIndex(bool isNonIdempotent) { return isNonIdempotent ? 1 : 0; }
    CallClass& classOf(bool isNonIdempotent) { return m_classes[classIndex(isNonIdempotent)]; }
    const CallClass& classOf(bool isNonIdempotent) const { return m_classes[classIndex(isNonIdempotent)]; }
    double shareOf(bool isNonIdempotent) const;
    uint32_t limit() const;
    uint32_t queueCapacity() const;
    uint32_t queuedCount() const;
    bool isInUse(bool isNonIdempotent, TimePoint now) const;
    uint32_t reservedFor(bool isNonIdempotent, uint32_t total, TimePoint now) const;
    /// True if a call of this class may start: it has a slot, and the rate limit of the upstream allows a request.
    bool mayStart(bool isNonIdempotent, TimePoint now) const;
    bool hasSlotFor(bool isNonIdempotent, TimePoint now) const;
    bool isSuspectRunning() const { return m_suspectsRunning > 0; }
    bool isSuspectQueued() const;
    Duration expectedWait(const CallTicket&, TimePoint now) const;
    Duration expectedSlotWait(const CallTicket&, TimePoint now) const;
    ResultCode checkDeadline(const CallTicket&, Duration wait, TimePoint now) const;
    void enqueue(const CallTicket&);
    void start(const CallTicket&, TimePoint now);
    std::optional<size_t> nextRunnable(bool isNonIdempotent) const;
    std::optional<bool> nextClass(TimePoint now) const;
    void expire(AdmissionChanges&, TimePoint now);
    void dispatchQueued(AdmissionChanges&, TimePoint now);
    void refuseAfterDrain(AdmissionChanges&, TimePoint now);
    void recordOutcome(const RunningCall&, CallOutcome, TimePoint now);
    void lowerLimit(const RunningCall&, TimePoint now);
    void raiseLimit();

    OwnerAdmissionOptions m_options;
    ServiceTimeOptions m_estimateOptions;
    double m_limit { 0 };
    std::optional<TimePoint> m_limitLoweredAt;
    std::array<CallClass, 2> m_classes;
    UpstreamRateLimiter m_rateLimiter;
    std::unordered_map<uint64_t, RunningCall> m_running;
    uint32_t m_suspectsRunning { 0 };
    DrainWindow m_drain;
    bool m_isLeaving { false };
};

} // namespace dragonflylane
