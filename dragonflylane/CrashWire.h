#pragma once

// Wire format of crash notices (wire/crash.thrift, compact protocol). They travel as opaque broadcasts.

#include "dragonflylane/CrashQuarantine.h"

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

std::string encode(const CrashNotice&);
/// MalformedFrame for anything that encode() does not produce, including trailing bytes and lists over their limits.
std::error_code decode(std::string_view, CrashNotice&);

} // namespace dragonflylane
