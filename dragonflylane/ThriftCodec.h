#pragma once

// Thrift compact protocol over memory. Included only by the source files that convert to and from wire types.

#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace dragonflylane {

using CompactProtocol = apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>;

template <typename Wire> std::string encodeThrift(const Wire& value)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    CompactProtocol protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes exactly one value. No string or container may be longer than the input, so a forged length cannot allocate
/// more than a small multiple of it.
template <typename Wire> std::error_code decodeThrift(std::string_view bytes, size_t maxBytes, Wire* result)
{
    if (bytes.size() > maxBytes)
        return ResultCode::FrameTooLarge;
    if (bytes.empty())
        return ResultCode::MalformedFrame;
    try {
        auto size = static_cast<uint32_t>(bytes.size());
        // The buffer observes the bytes and never writes to them.
        auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data())); // NOLINT(*-const-cast)
        auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(data, size);
        CompactProtocol protocol(buffer, static_cast<int32_t>(size), static_cast<int32_t>(size));
        result->read(&protocol);
        if (buffer->available_read() != 0)
            return ResultCode::MalformedFrame;
    } catch (const std::exception&) {
        return ResultCode::MalformedFrame;
    }
    return {};
}

} // namespace dragonflylane
