#pragma once

// Checks whether a list of changes can be applied to a configuration, and describes the effects. Only the final state
// is validated, so a plan may remove a route's only service and add another. The result depends only on the state and
// the changes, so all replicas get the same one; the fleet view is used for warnings and estimates only.

#include "dragonflylane/ConfigState.h"
#include "dragonflylane/Plan.h"
#include "dragonflylane/UpstreamEntry.h"

namespace dragonflylane {

/// Upstreams and daemons that one control host currently sees.
struct FleetView {
    std::vector<UpstreamEntry> upstreams;
    uint64_t daemons { 0 };
};

/// The difference between two states as a plan, without changes, warnings and estimates.
Plan planBetween(const ConfigState& base, const ConfigState& final);

/// Reviews changes against a base state.
class PlanReview {
public:
    /// The state must outlive the review.
    explicit PlanReview(const ConfigState& base);
    explicit PlanReview(ConfigState&&) = delete;

    /// Errors, with a sentence in `detail`: EmptyPlan (no change, or the final state equals the base), PlanTooLarge,
    /// InvalidName, InvalidValue, ZeroWeights, UnknownItem (removal of an item that does not exist), UnknownService (a
    /// route or call rule refers to a service that is not in the base, or a call rule that the plan sets refers to a
    /// service that it removes), ServiceInUse (a removed service still has a route or call rule that the plan does not
    /// set), DanglingRoute (a route that the plan sets refers to a service that it removes), DuplicatePrefix,
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
