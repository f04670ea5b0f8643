#pragma once

// Encoding of the log's messages (Thrift compact protocol, wire/log.thrift). LogWire.cpp also encodes LogBatch.

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

struct LogMessage;

/// Largest encoded message that decode() accepts, in bytes.
inline constexpr size_t maxLogMessageBytes = 4U << 20;

std::string encode(const LogMessage&);
/// Returns MalformedFrame or FrameTooLarge on invalid input, and leaves the message unspecified.
std::error_code decode(std::string_view, LogMessage&);

} // namespace dragonflylane
