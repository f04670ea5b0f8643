#pragma once

// Conversions between calls and the frames that carry them between daemons.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/ResultCode.h"
#include "gen-cpp/peer_types.h"

#include <optional>
#include <string_view>
#include <vector>

namespace dragonflylane {

struct CallHeaderNames;
struct CallOrigin;
struct EntryCall;
struct LoadReport;
struct ProcessStatement;
struct UpstreamEntry;

/// Converts a duration to the unit of the wire fields.
int64_t toMicroseconds(Duration);

std::vector<HttpHeader> fromWire(const std::vector<wire::Header>&);

wire::UpstreamStatement toWire(const ProcessStatement&);
/// Drops a rate limit that is not a finite number of zero or more.
ProcessStatement fromWire(const wire::UpstreamStatement&);
/// What the owner daemon answered about the statements of its upstream; empty if there are none.
std::optional<ProcessStatement> statementOf(const wire::ForwardResponse&);

/// Adds speed and pace limit of the report to the response, as far as they are known.
void addSpeed(wire::ForwardResponse&, const LoadReport&);
/// The load of the upstream that the owner daemon attached to its response to a call of this route.
LoadReport loadReport(const wire::ForwardResponse&, uint64_t routeKey);

wire::ForwardRequest makeForwardRequest(
    const EntryCall&, const CallHeaderNames&, uint64_t attemptId, const UpstreamEntry&, TimePoint now);
/// The request as the owner daemon sends it to the upstream, with the time that remains until its deadline. Moves the
/// body out of the message.
HttpRequest takeUpstreamRequest(wire::ForwardRequest&, const CallHeaderNames&, Duration remaining);
/// Selects the response headers that are sent to the entry daemon. Leaves out the request id and the length of the
/// body, which the entry daemon restores, and the load header and hop-by-hop headers, which the caller does not need.
std::vector<wire::Header> toAnswerHeaders(const HttpResponse&, const CallHeaderNames&, std::string_view requestId);
/// A response that consists of a result code only.
wire::ForwardResponse makeResponse(uint64_t attemptId, ResultCode);
HttpResponse toHttpResponse(wire::ForwardResponse);
/// Replaces a response whose status is not that of a final response by the code MalformedAnswer. A daemon of an earlier
/// build passes on any status of three digits.
void rejectInvalidStatus(wire::ForwardResponse&);

/// Instead of an API key, the message holds its hash.
wire::CallTransfer makeTransfer(const EntryCall&, const CallHeaderNames&, uint64_t id);
/// Where a call that was transferred has entered the mesh, according to the daemon that transferred it.
CallOrigin originOf(const wire::CallTransfer&);
HttpRequest toHttpRequest(wire::CallTransfer, const CallHeaderNames&);
/// Reads the result code from the response header in which a refusal states it.
wire::ForwardResponse toForwardResponse(HttpResponse);

} // namespace dragonflylane
