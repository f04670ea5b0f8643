#pragma once

// Decides whether a call is let in, and for which tenant. A decision without I/O.
//
//     AuthenticatedCaller caller;
//     ResultCode code = authenticateCaller(*routingTable, isPublicRoute, credentials, &caller);
//
// An API key takes precedence: a call that presents one is let in only by that key, or on a public route. A call
// without a key is let in on a public route, or if it is nested in a running call, whose tenant it then has.

#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <cstdint>

namespace dragonflylane {

class RoutingTable;
struct CallCredentials;

struct AuthenticatedCaller {
    /// Empty on a public route without an API key, and in a mesh that requires none.
    TenantName tenant;
    uint32_t tenantPriority { 0 };
    /// The call was made by an upstream for a call that it is running, so it is part of that call.
    bool isNested { false };
};

/// Errors: ApiKeyUnknown; ConfigNotProven if the mesh requires no API keys and the upstream would lack a header that
/// was left out on the way.
ResultCode authenticateCaller(
    const RoutingTable&, bool isPublicRoute, const CallCredentials&, AuthenticatedCaller* caller);

} // namespace dragonflylane
