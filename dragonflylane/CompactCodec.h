#pragma once

// Compact-protocol encoding of generated Thrift structs. Included only by *Wire.cpp files, since it includes Thrift.

#include "dragonflylane/ResultCode.h"

#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace dragonflylane {

template <typename WireStruct> std::string encodeCompact(const WireStruct& value)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// MalformedFrame if the bytes are not exactly one struct or a string or container exceeds its limit.
template <typename WireStruct>
std::error_code decodeCompact(std::string_view bytes, int32_t stringLimit, int32_t containerLimit, WireStruct& value)
{
    using apache::thrift::transport::TMemoryBuffer;
    try {
        // The buffer only observes the bytes; the cast is needed because its interface has no const form.
        auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data()));
        auto buffer
            = std::make_shared<TMemoryBuffer>(data, static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, stringLimit, containerLimit);
        value.read(&protocol);
        if (buffer->available_read() != 0)
            return ResultCode::MalformedFrame;
    } catch (const std::exception&) {
        return ResultCode::MalformedFrame;
    }
    return {};
}

} // namespace dragonflylane
