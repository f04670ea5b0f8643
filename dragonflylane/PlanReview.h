#pragma once

// Decides whether a list of changes can be applied to a configuration, and describes the result. Only the final state
// is validated, so a plan may remove a route's only service and add another. The decision depends on state and changes
// alone; the fleet only adds warnings and estimates, so every replica decides alike.

#include "dragonflylane/ConfigState.h"
#include "dragonflylane/Plan.h"
#include "dragonflylane/UpstreamEntry.h"

namespace dragonflylane {

/// The fleet as one control host sees it.
struct FleetView {
    std::vector<UpstreamEntry> upstreams;
    uint64_t daemons { 0 };
};

/// Reviews changes against a base state.
class PlanReview {
public:
    /// The state must outlive the review.
    explicit PlanReview(const ConfigState& base);
    explicit PlanReview(ConfigState&&) = delete;

    /// Refusals, with a sentence in `detail`: EmptyPlan (no change, or the final state equals the base), PlanTooLarge,
    /// InvalidName, InvalidValue, ZeroWeights, UnknownItem (removes what does not exist), UnknownService (names a
    /// service that is in neither state), ServiceInUse (a removed service still has a route or call rule that the plan
    /// does not set), DanglingRoute (a route that the plan sets names a service that it removes), DuplicatePrefix,
    /// CallCycle.
    std::error_code review(const std::vector<PlanChange>&, Plan*, std::string* detail = nullptr) const;

    /// Adds warnings and estimates to a reviewed plan, replacing earlier ones.
    void describe(Plan*, const FleetView&) const;

private:
    std::error_code applyChanges(const std::vector<PlanChange>&, ConfigState*, std::string* detail) const;
    std::error_code checkServices(const std::vector<PlanChange>&, const ConfigState&, std::string* detail) const;

    const ConfigState& m_base;
};

} // namespace dragonflylane
