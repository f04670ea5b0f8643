#pragma once

// HTTP headers with the metadata of a call, and the responses that a daemon generates itself.

#include "dragonflylane/ApiKeyHash.h"
#include "dragonflylane/BootClock.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflylane {

/// Names of the headers with the metadata of a call, which a platform may choose. A header with an empty name is not
/// used.
struct CallHeaderNames {
    // On requests.
    /// Timeout of the caller in milliseconds.
    std::string deadline { "Dragonflylane-Deadline-Ms" };
    std::string requestId { "Dragonflylane-Request-Id" };
    /// Service that makes the call.
    std::string caller { "Dragonflylane-Caller" };
    /// Number of calls that this one is nested in.
    std::string hops { "Dragonflylane-Hops" };
    std::string idempotencyKey { "Idempotency-Key" };
    /// Id of the upstream that the request is for. A different upstream at the same address refuses the request.
    std::string expectedUpstream {};

    /// Credentials of the caller: "Bearer" and an API key. Sent on only in a mesh that requires no API keys.
    std::string apiKey { "Authorization" };
    /// Name of the tenant, for the upstream. Removed from the requests of callers.
    std::string tenant { "Dragonflylane-Tenant" };
    /// Separates the request id of a nested call from the suffix that its upstream has added to the id of the call that
    /// it is running. 0: request ids do not show nesting.
    char nestedIdSeparator { 0 };

    // On responses.
    std::string code { "Dragonflylane-Code" };
    /// Whether the request ran: "not-run" or "unknown".
    std::string run { "Dragonflylane-Run" };
    /// Set by an upstream: the request did not run.
    std::string notRun {};
    /// Set by an upstream: its load. Not forwarded to callers.
    std::string upstreamLoad {};
    /// Upstreams copy the request id to their responses, so that a response to another request can be detected.
    bool upstreamsEchoRequestId { false };
    /// Set by an upstream on each response while it is in trouble: the requests per second that it accepts from all
    /// daemons together, a decimal number.
    std::string upstreamRateLimit { "Dragonflylane-Upstream-Rate-Limit" };
    /// Set by an upstream to "1" on each response once its process is about to stop.
    std::string upstreamLeaving { "Dragonflylane-Upstream-Leaving" };
};

/// Marks a call that was transferred by another entry daemon, see CallTransfers.
inline constexpr const char* transferredHeader = "Dragonflylane-Transferred";

/// Metadata of a call, parsed from the headers of its request.
struct CallHeaders {
    /// Service that makes the call; `client` if the header is absent.
    ServiceName caller;
    IdempotencyKey key;
    /// Timeout of the caller, if stated.
    std::optional<Duration> timeout;
    /// Number of calls that this one is nested in.
    uint32_t hops { 0 };
    /// Request id chosen by the caller; empty if absent or invalid.
    RequestId requestId;
    /// Hash of the API key that the caller presented; empty if there is none.
    std::optional<ApiKeyHash> apiKey;
    /// The call was transferred by another entry daemon that may not serve routes yet.
    bool isTransferred { false };
};

/// Parses the headers. Errors: MalformedRequest if one of them is invalid, RequestTooLarge for an idempotency key over
/// 128 bytes.
std::error_code parseCallHeaders(const HttpRequest&, const CallHeaderNames&, CallHeaders&);

/// Request id of the call that a call with this id is nested in, according to the id itself; empty if it is not nested.
std::string_view parentRequestId(const RequestId&, const CallHeaderNames&);

/// Response for a refusal. States the result code and whether the request ran in headers, and the message of the code
/// in the body. If `retryAfter` is above zero, it is sent as Retry-After.
HttpResponse makeRefusal(ResultCode, const RequestId&, const CallHeaderNames& = {}, Duration retryAfter = {});

/// HTTP status for a result code.
unsigned httpStatus(ResultCode);

} // namespace dragonflylane
