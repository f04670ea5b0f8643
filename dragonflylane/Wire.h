#pragma once

// Thrift compact encoding of generated structs, for source files that include generated headers.

#include <memory>
#include <string>
#include <string_view>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace dragonflylane {

template <typename Struct> std::string encodeThrift(const Struct& value)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Returns false if the bytes are not a whole, valid struct or exceed the limits of a frame.
template <typename Struct> bool decodeThrift(std::string_view bytes, Struct& value)
{
    constexpr int32_t maxStringBytes = 2 << 20;
    constexpr int32_t maxContainerItems = 100000;
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        reinterpret_cast<uint8_t*>(const_cast<char*>(bytes.data())), static_cast<uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(
        buffer, maxStringBytes, maxContainerItems);
    try {
        return value.read(&protocol) == bytes.size();
    } catch (const std::exception&) {
        return false;
    }
}

} // namespace dragonflylane
