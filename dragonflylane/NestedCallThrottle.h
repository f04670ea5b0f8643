#pragma once

// Throttle for calls whose nested calls find no capacity, at the daemon that owns the upstream of the parent calls.
//
//     NestedCallThrottle throttle(options);
//     if (!throttle.admit(route, earlierRefusals, now)) ...    // refuse a new parent call
//     throttle.parentServed(route, now);                       // a parent call was served
//     throttle.nestedCallRefused(route, startedAt, now);       // one of its nested calls was not
//
// Prevents the following failure mode. A parent call runs for some time and then calls a service that is full. Its
// nested call is refused, so the parent fails after it has used its slot. The more parents are admitted, the more of
// them fail, and the nested calls that were served for the failed ones are lost, too.
//
// Keeps the share of the parents to admit for each route. The share is reduced in proportion to the failure rate of the
// parents, at most once for the parents that were admitted before the previous reduction (as congestion control does
// once in a round trip). It grows with time, slowly at first and twice as fast after each further period without a
// reduction, so that it is one again a few seconds after the last failure, with or without samples.
//
// Callers that were refused earlier go before new ones: they are admitted at the expense of the next first attempts.
//
// Bounded: at most `maxRoutes` routes. All operations are O(1).

#include "dragonflylane/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace dragonflylane {

struct NestedCallThrottleOptions {
    /// Weight of the latest parent in the failure rate of its route.
    double weight { 0.1 };
    /// Without samples, the failure rate halves in this time.
    Duration failureHalfLife { std::chrono::seconds(1) };
    /// Failure rate up to which the share is not reduced, since single refusals are normal.
    double toleratedFailureRate { 0.12 };
    /// Lower bound of the factor of one reduction.
    double minReductionFactor { 0.5 };
    /// Lower bound of the share, so that some parents show when there is capacity again.
    double minShare { 0.05 };
    /// Growth of the share right after a reduction.
    double growthPerSecond { 0.1 };
    /// The growth doubles in each further period of this length without a reduction.
    Duration growthDoublingTime { std::chrono::milliseconds(500) };
    /// Retries that may be admitted beyond the share before the next first attempts pay for them.
    double maxDebt { 1 };
    size_t maxRoutes { 1024 };
};

class NestedCallThrottle {
public:
    explicit NestedCallThrottle(NestedCallThrottleOptions options = {});

    /// False if this parent call should be refused. A caller that was refused twice is always admitted.
    bool admit(uint64_t routeKey, uint32_t earlierRefusals, TimePoint now);
    /// A parent call of the route was served, with or without nested calls.
    void parentServed(uint64_t routeKey, TimePoint now);
    /// A nested call of a parent of the route was refused for lack of capacity or not served in time.
    void nestedCallRefused(uint64_t routeKey, TimePoint parentStartedAt, TimePoint now);
    /// Share of the route's parent calls that are admitted at this moment; 1 unless nested calls were refused recently.
    double admittedShare(uint64_t routeKey, TimePoint now) const;

private:
    struct Route {
        /// Share right after the latest reduction.
        double reducedShare { 1 };
        TimePoint reducedAt;
        double failureRate { 0 };
        TimePoint failureRateUpdatedAt;
        /// Parents that may be admitted; negative while retries were admitted in advance.
        double credit { 0 };
    };

    double share(const Route&, TimePoint now) const;
    void recordFailureRate(Route&, bool isFailure, TimePoint now) const;

    NestedCallThrottleOptions m_options;
    /// Routes with a nested call that was refused, by route key.
    std::unordered_map<uint64_t, Route> m_routes;
};

} // namespace dragonflylane
