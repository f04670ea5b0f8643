#pragma once

// Encodes and decodes the Thrift compact protocol in memory. Included only by the source files that convert to and from
// wire types.

#include "dragonflylane/ResultCode.h"

#include <exception>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <thrift/TConfiguration.h>
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

/// Limits of a decoder. They prevent a forged length from causing an allocation much larger than the message.
struct ThriftLimits {
    size_t maxBytes { 0 };
    size_t maxStringBytes { 0 };
    size_t maxElements { 0 };
};

/// Decodes exactly one value. Returns FrameTooLarge if the input exceeds maxBytes, and MalformedFrame if it is not one
/// complete value within the limits.
template <typename Wire> std::error_code decodeThrift(std::string_view bytes, const ThriftLimits& limits, Wire& value)
{
    using apache::thrift::TConfiguration;
    using apache::thrift::transport::TMemoryBuffer;
    if (bytes.size() > limits.maxBytes)
        return ResultCode::FrameTooLarge;
    if (bytes.empty())
        return ResultCode::MalformedFrame;
    try {
        auto configuration = std::make_shared<TConfiguration>(static_cast<int>(bytes.size() + 1));
        // OBSERVE means that the buffer neither copies nor modifies the bytes.
        auto* data = reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data())); // NOLINT(*-const-cast)
        auto buffer = std::make_shared<TMemoryBuffer>(
            data, static_cast<uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, configuration);
        CompactProtocol protocol(
            buffer, static_cast<int32_t>(limits.maxStringBytes), static_cast<int32_t>(limits.maxElements));
        value.read(&protocol);
        if (buffer->available_read() != 0)
            return ResultCode::MalformedFrame;
    } catch (const std::exception&) {
        return ResultCode::MalformedFrame;
    }
    return {};
}

/// As above; limits the length of strings and containers to the size of the input.
template <typename Wire> std::error_code decodeThrift(std::string_view bytes, size_t maxBytes, Wire* result)
{
    return decodeThrift(bytes, { maxBytes, bytes.size(), bytes.size() }, *result);
}

/// Converts a number from the wire to an enum whose values are 0 to `last`. Returns false if it is out of range.
template <typename Enum> bool readEnum(int32_t number, Enum last, Enum& value)
{
    if (number < 0 || number > static_cast<int32_t>(last))
        return false;
    value = static_cast<Enum>(number);
    return true;
}

} // namespace dragonflylane
