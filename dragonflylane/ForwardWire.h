#pragma once

// Conversions between calls and the frames that carry them between daemons.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/ResultCode.h"
#include "gen-cpp/peer_types.h"

#include <string_view>
#include <vector>

namespace dragonflylane {

struct CallHeaderNames;
struct EntryCall;
struct UpstreamEntry;

/// Durations of calls are sent in microseconds.
int64_t toMicroseconds(Duration);

std::vector<HttpHeader> fromWire(const std::vector<wire::Header>&);

wire::ForwardRequest makeForwardRequest(
    const EntryCall&, const CallHeaderNames&, uint64_t attemptId, const UpstreamEntry&, TimePoint now);
/// Takes the headers of an upstream's answer that the entry daemon cannot restore: it knows the id of the request and
/// the length of the body, and callers need neither the load nor what concerns one connection.
std::vector<wire::Header> toAnswerHeaders(const HttpResponse&, const CallHeaderNames&, std::string_view requestId);
/// An answer without content, as if the owner had given the code.
wire::ForwardResponse makeResponse(uint64_t attemptId, ResultCode);
HttpResponse toHttpResponse(wire::ForwardResponse);

wire::CallTransfer makeTransfer(const EntryCall&, uint64_t id);
HttpRequest toHttpRequest(wire::CallTransfer, const CallHeaderNames&);
/// The code is read back from the header that a refusal carries.
wire::ForwardResponse toForwardResponse(HttpResponse);

} // namespace dragonflylane
