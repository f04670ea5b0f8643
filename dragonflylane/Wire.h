#pragma once

// Decodes the payloads of frames that carry calls and API requests between daemons.

#include "dragonflylane/Frame.h"
#include "dragonflylane/ThriftCodec.h"

namespace dragonflylane {

/// Returns false if the payload is not a complete, valid struct or exceeds the limits of a call.
template <typename Struct> bool decodeThrift(std::string_view payload, Struct& value)
{
    // A string is bounded by the payload that contains it, so that a body of any accepted size can be decoded.
    constexpr size_t maxElements = 100'000;
    ThriftLimits limits {
        .maxBytes = maxFramePayloadBytes, .maxStringBytes = payload.size(), .maxElements = maxElements
    };
    return !decodeThrift(payload, limits, value);
}

} // namespace dragonflylane
