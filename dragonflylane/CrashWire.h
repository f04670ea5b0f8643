#pragma once

// Wire format of crash notices (wire/crash.thrift, Thrift compact protocol). They are sent as payloads of membership
// broadcasts.

#include "dragonflylane/CrashQuarantine.h"

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

std::string encode(const CrashNotice&);
/// Decodes exactly one notice. Returns FrameTooLarge if the input exceeds the limit of a frame payload, and
/// MalformedFrame if it is not one report or one clear, has trailing bytes, or has strings or lists over their limits.
std::error_code decode(std::string_view, CrashNotice&);

} // namespace dragonflylane
