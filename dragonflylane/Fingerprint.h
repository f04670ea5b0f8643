#pragma once

// Fingerprint of a request, by which all daemons identify requests that crash upstreams (docs/design.md, 5.5).

#include "dragonflylane/Ids.h"

#include <string_view>

namespace dragonflylane {

/// Hash of what the caller sent, the same at all daemons and under every configuration: the service that a route
/// selects is no part of it. `host` is the Host header without the port, in lower case. O(size of the request).
Fingerprint requestFingerprint(
    std::string_view host, std::string_view method, std::string_view target, std::string_view body);

} // namespace dragonflylane
