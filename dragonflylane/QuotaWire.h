#pragma once

// Wire format of the messages between QuotaShare and QuotaDivider (wire/quota.thrift, Thrift compact protocol).

#include "dragonflylane/QuotaMessages.h"

#include <string>
#include <string_view>
#include <system_error>
#include <variant>

namespace dragonflylane {

using QuotaMessage = std::variant<QuotaReport, QuotaGrant>;

std::string encode(const QuotaMessage&);
/// Decodes exactly one message. Returns FrameTooLarge if the input exceeds the limit of a frame payload, and
/// MalformedFrame if it is not one report or one grant, has an invalid name or number, or has trailing bytes.
std::error_code decode(std::string_view, QuotaMessage&);

} // namespace dragonflylane
