#pragma once

// Thrift compact protocol over memory. Included only by the source files that convert to and from wire types.

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

/// What a decoder accepts. The bounds keep a forged length from allocating much more than the message holds.
struct ThriftLimits {
    size_t maxBytes { 0 };
    size_t maxStringBytes { 0 };
    size_t maxElements { 0 };
};

/// Decodes exactly one value. FrameTooLarge beyond maxBytes; MalformedFrame for anything else that is not one whole
/// value within the limits.
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
        // The buffer observes the bytes and never writes to them.
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

/// The same where no string or container may be longer than the input.
template <typename Wire> std::error_code decodeThrift(std::string_view bytes, size_t maxBytes, Wire* result)
{
    return decodeThrift(bytes, { maxBytes, bytes.size(), bytes.size() }, *result);
}

/// Enums travel as numbers from zero to `last`; returns false for any other.
template <typename Enum> bool readEnum(int32_t number, Enum last, Enum& value)
{
    if (number < 0 || number > static_cast<int32_t>(last))
        return false;
    value = static_cast<Enum>(number);
    return true;
}

} // namespace dragonflylane
