#pragma once

// Conversions between calls and the frames that carry them between daemons.

#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/ResultCode.h"
#include "gen-cpp/peer_types.h"

#include "dragonflylane/BootClock.h"

namespace dragonflylane {

struct CallHeaderNames;
struct EntryCall;
struct UpstreamEntry;

wire::ForwardRequest makeForwardRequest(
    const EntryCall&, const CallHeaderNames&, uint64_t attemptId, const UpstreamEntry&, TimePoint now);
/// An answer without content, as if the owner had given the code.
wire::ForwardResponse makeResponse(uint64_t attemptId, ResultCode);
HttpResponse toHttpResponse(wire::ForwardResponse);

wire::CallTransfer makeTransfer(const EntryCall&, uint64_t id);
HttpRequest toHttpRequest(wire::CallTransfer, const CallHeaderNames&);
/// The code is read back from the header that a refusal carries.
wire::ForwardResponse toForwardResponse(HttpResponse);

} // namespace dragonflylane
