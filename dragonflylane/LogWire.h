#pragma once

// Encoding of the log's messages and file batches (Thrift compact protocol, wire/log.thrift).

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

struct LogMessage;

/// Largest encoded message that decode() accepts, in bytes.
inline constexpr size_t maxLogMessageBytes = 4U << 20;

std::string encode(const LogMessage&);
/// Returns ResultCode::MalformedFrame or FrameTooLarge and leaves the message unspecified on bad input.
std::error_code decode(std::string_view, LogMessage&);

} // namespace dragonflylane
