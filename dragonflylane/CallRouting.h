#pragma once

// Matches a call to a route of the routing table. A decision without I/O.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/ResultCode.h"

#include <string>

namespace dragonflylane {

struct EntryCall;
struct HttpRequest;

/// Name in the Host header, without the port and in lower case.
std::string hostName(const HttpRequest&);

/// Sets the route fields of the call and its deadlines by the call's routing table. The default timeout applies if
/// neither the caller nor the route nor its service states one. Errors: NoRoute, CallerNotAllowed, DeadlineExceeded.
ResultCode routeCall(EntryCall&, Duration defaultTimeout, TimePoint now);

} // namespace dragonflylane
