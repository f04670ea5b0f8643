#pragma once

// Identifier types that are used by several modules.

#include "dragonflylane/Strong.h"

namespace dragonflylane {

/// A host that runs one daemon.
using HostId = StrongString<struct HostIdTag>;
using DataCentreName = StrongString<struct DataCentreNameTag>;
using RegionName = StrongString<struct RegionNameTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
using UpstreamId = StrongString<struct UpstreamIdTag>;
using RouteName = StrongString<struct RouteNameTag>;
using PlanId = StrongString<struct PlanIdTag>;
/// A customer whose callers present API keys.
using TenantName = StrongString<struct TenantNameTag>;
/// Version of an upstream's software.
using UpstreamVersion = StrongString<struct UpstreamVersionTag>;
using OperatorName = StrongString<struct OperatorNameTag>;
using RequestId = StrongString<struct RequestIdTag>;
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

/// Version of the configuration. Increases by one with each confirmed plan.
using Revision = StrongNumber<struct RevisionTag>;
/// Number that an operator gives to a whole configuration document; increases in steps of any size.
using DocumentVersion = StrongNumber<struct DocumentVersionTag>;
/// Term of a leader of the replicated log; also the fencing token for messages that are derived from the log.
using Term = StrongNumber<struct TermTag>;
using LogIndex = StrongNumber<struct LogIndexTag>;
/// Distinguishes successive runs of one host or upstream.
using Incarnation = StrongNumber<struct IncarnationTag>;
using Sequence = StrongNumber<struct SequenceTag>;
/// Version of the keeper view, the set of hosts that store idempotency records.
using Epoch = StrongNumber<struct EpochTag>;
/// Hash of the service, method, target and body of a request, used to recognise requests that crash upstreams.
using Fingerprint = StrongNumber<struct FingerprintTag>;

/// Caller service of requests that do not name their caller, such as those from outside the mesh.
inline constexpr const char* clientServiceName = "client";

} // namespace dragonflylane
