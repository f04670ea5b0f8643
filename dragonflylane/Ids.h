#pragma once

// Identifiers shared by all modules.

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
using OperatorName = StrongString<struct OperatorNameTag>;
using RequestId = StrongString<struct RequestIdTag>;
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

/// Version of the configuration. Grows by one with each confirmed plan.
using Revision = StrongNumber<struct RevisionTag>;
/// Number that an operator gives to a whole configuration document; grows in steps of any size.
using DocumentVersion = StrongNumber<struct DocumentVersionTag>;
/// Leadership term of the replicated log; the fencing token of everything derived from it.
using Term = StrongNumber<struct TermTag>;
using LogIndex = StrongNumber<struct LogIndexTag>;
/// Distinguishes successive lives of one host, upstream or connection.
using Incarnation = StrongNumber<struct IncarnationTag>;
using Sequence = StrongNumber<struct SequenceTag>;
/// Version of the set of hosts that keep duplicate records.
using Epoch = StrongNumber<struct EpochTag>;
/// Hash of what a request asks for, used to recognise requests that crash upstreams.
using Fingerprint = StrongNumber<struct FingerprintTag>;

/// The service name under which requests from outside the mesh are made.
inline constexpr const char* clientServiceName = "client";

} // namespace dragonflylane
