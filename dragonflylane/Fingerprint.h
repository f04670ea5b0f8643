#pragma once

// Fingerprint of a request, by which all daemons identify requests that crash upstreams (docs/design.md, 5.5).

#include "dragonflylane/Ids.h"

#include <string_view>

namespace dragonflylane {

/// Hash of service, method, target and body, the same at all daemons. O(size of the request).
Fingerprint requestFingerprint(
    const ServiceName&, std::string_view method, std::string_view target, std::string_view body);

} // namespace dragonflylane
