#pragma once

// Decodes the payloads of frames that carry calls and API requests between daemons.

#include "dragonflylane/Frame.h"
#include "dragonflylane/ThriftCodec.h"

namespace dragonflylane {

/// Returns false if the payload is not a complete, valid struct or exceeds the limits of a call.
template <typename Struct> bool decodeThrift(std::string_view payload, Struct& value)
{
    constexpr ThriftLimits limits {
        .maxBytes = maxFramePayloadBytes, .maxStringBytes = 2 << 20, .maxElements = 100'000
    };
    return !decodeThrift(payload, limits, value);
}

} // namespace dragonflylane
