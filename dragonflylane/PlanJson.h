#pragma once

// JSON format of plans for operators.
//
//     {"base": 4, "changes": [
//         {"setService": {"name": "catalogue", "timeoutMs": 800, "maxAttempts": 3}},
//         {"setRoute": {"name": "catalogue", "pathPrefix": "/catalogue", "timeoutMs": 500,
//                       "split": [{"service": "catalogue", "weight": 100}], "idempotentMethods": ["GET"]}},
//         {"allowCall": {"caller": "client", "callee": "catalogue"}},
//         {"drainUpstream": "catalogue-1"}]}
//
// Further changes are removeService, removeRoute, denyCall, undrainUpstream, setMeshPolicy and removeMeshPolicy.
// Setting an item replaces it completely; omitted numbers and methods have the defaults of ConfigItem.h. Unknown and
// repeated keys are errors.

#include "dragonflylane/Plan.h"

namespace dragonflylane {

struct PlanRecord;
struct ApplyOutcome;

/// Errors, with a sentence in `detail`: PlanTooLarge (over 256 KB or 512 changes) and MalformedPlan.
std::error_code parsePlanRequest(std::string_view json, PlanRequest*, std::string* detail = nullptr);

/// Renders a document that parsePlanRequest() parses as the same request.
std::string renderPlanRequest(const PlanRequest&);
/// Renders a reviewed plan as JSON.
std::string renderPlan(const PlanId&, const Plan&);
/// Renders a stored plan as JSON: changes, status, operators, revision.
std::string renderPlanRecord(const PlanRecord&);
/// Renders what a plan adds, changes and removes as text, one line per effect.
std::string renderDifferenceText(const Plan&);
/// Renders a reviewed plan as text, one line per effect.
std::string renderPlanText(const PlanId&, const Plan&);
/// Renders the outcome of a command as JSON: code, message, revision, conflicting items.
std::string renderOutcome(const ApplyOutcome&);

} // namespace dragonflylane
