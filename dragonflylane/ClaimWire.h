#pragma once

// Wire format of the messages about duplicate records (wire/claim.thrift, compact protocol).

#include "dragonflylane/ClaimMessages.h"

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

std::string encode(const ClaimMessage&);
/// MalformedFrame for anything that encode() does not produce, including trailing bytes and values over their limits.
std::error_code decode(std::string_view, ClaimMessage&);

} // namespace dragonflylane
