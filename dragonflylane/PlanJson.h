#pragma once

// The operators' JSON form of plans.
//
//     {"base": 4, "changes": [
//         {"setService": {"name": "catalogue", "timeoutMs": 800, "maxAttempts": 3}},
//         {"setRoute": {"name": "catalogue", "pathPrefix": "/catalogue", "timeoutMs": 500,
//                       "split": [{"service": "catalogue", "weight": 100}], "idempotentMethods": ["GET"]}},
//         {"allowCall": {"caller": "client", "callee": "catalogue"}},
//         {"drainUpstream": "catalogue-1"}]}
//
// and removeService, removeRoute, denyCall, undrainUpstream. A set replaces the whole item; omitted numbers and
// methods take the defaults of ConfigItem.h. Unknown and repeated keys are errors.

#include "dragonflylane/Plan.h"

namespace dragonflylane {

struct PlanRecord;
struct ApplyOutcome;

/// Refusals, with a sentence in `detail`: PlanTooLarge (over 256 KB or 512 changes) and MalformedPlan.
std::error_code parsePlanRequest(std::string_view json, PlanRequest*, std::string* detail = nullptr);

/// The request as a document that parsePlanRequest() reads back as the same request.
std::string renderPlanRequest(const PlanRequest&);
/// The reviewed plan for programs.
std::string renderPlan(const PlanId&, const Plan&);
/// A plan of the plan book for programs: changes, state, operators, revision.
std::string renderPlanRecord(const PlanRecord&);
/// The reviewed plan for people, one line an effect.
std::string renderPlanText(const PlanId&, const Plan&);
/// Answer to a command of the plan book: code, sentence, revision, conflicting items.
std::string renderOutcome(const ApplyOutcome&);

} // namespace dragonflylane
