#pragma once

// What a process of an upstream has stated in its responses, as daemons tell it one another.
//
// The owner daemon learns a statement from the first response and adds it to all its answers. Entry daemons add it to
// their requests. An owner that was restarted thus learns it again before it sends the first of these requests to the
// upstream.

#include "dragonflylane/RequestRate.h"
#include "dragonflylane/Strong.h"

#include <optional>

namespace dragonflylane {

/// A process of an upstream: another one after each restart of the upstream, the same one after a restart of its owner
/// daemon.
using ProcessId = StrongNumber<struct ProcessIdTag>;

struct ProcessStatement {
    ProcessId process {};
    /// Empty: it states no limit.
    std::optional<RequestRate> rateLimit {};
    bool isLeaving { false };

    bool operator==(const ProcessStatement&) const = default;
};

} // namespace dragonflylane
