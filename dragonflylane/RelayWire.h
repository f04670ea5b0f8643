#pragma once

// Thrift compact encoding of the relay's messages (wire/relay.thrift).

#include "dragonflylane/RelayMessages.h"

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// Longest payload that `decode` accepts, in bytes.
inline constexpr size_t maxRelayPayloadBytes = size_t { 8 } << 20U;

std::string encode(const RelayMessage&);
/// Fails with MalformedFrame or FrameTooLarge and leaves the message unchanged.
std::error_code decode(std::string_view, RelayMessage&);

} // namespace dragonflylane
