#pragma once

// What an upstream states about itself in the headers of its responses, whatever their status. The names of the headers
// are in CallHeaderNames.

#include "dragonflylane/RequestRate.h"

#include <optional>

namespace dragonflylane {

struct CallHeaderNames;
struct HttpResponse;

struct UpstreamStatement {
    /// The requests per second that the upstream accepts from all daemons together. Empty: it states no limit.
    std::optional<RequestRate> rateLimit {};
    /// The upstream states a limit that is not a number of zero or more. rateLimit is empty then.
    bool hasInvalidRateLimit { false };
    /// The process of the upstream is about to stop.
    bool isLeaving { false };
};

UpstreamStatement parseUpstreamStatement(const HttpResponse&, const CallHeaderNames&);

} // namespace dragonflylane
