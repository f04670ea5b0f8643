#pragma once

// Wire format of the idempotency protocol (wire/claim.thrift, Thrift compact protocol).

#include "dragonflylane/ClaimMessages.h"

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

std::string encode(const ClaimMessage&);
/// Returns MalformedFrame for any bytes that encode() cannot produce, including trailing bytes and values over their
/// limits.
std::error_code decode(std::string_view, ClaimMessage&);

} // namespace dragonflylane
