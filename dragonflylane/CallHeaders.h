#pragma once

// Headers by which callers and daemons talk about a call, and the answers that daemons give themselves.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dragonflylane {

/// What the headers of a request say about the call.
struct CallHeaders {
    /// Service that calls; `client` if the header is absent.
    ServiceName caller;
    IdempotencyKey key;
    /// Time that the caller will wait, if it states one.
    std::optional<Duration> timeout;
    /// Calls that this one is nested in.
    uint32_t hops { 0 };
    /// Given by the caller for its own records; empty if absent or not a valid id.
    RequestId requestId;
    /// The call was handed over by a daemon that may not serve routes yet.
    bool isTransferred { false };
};

/// Reads the headers. MalformedRequest for a header of ours that does not parse, RequestTooLarge for a key over 128
/// bytes.
std::error_code parseCallHeaders(const HttpRequest&, CallHeaders&);

/// Answer for a refusal: status, code and whether the request ran, as headers and as one sentence.
HttpResponse makeRefusal(ResultCode, const RequestId&);

/// HTTP status that fits a code.
unsigned httpStatus(ResultCode);

} // namespace dragonflylane
