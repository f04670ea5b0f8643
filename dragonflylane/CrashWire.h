#pragma once

// Wire format of crash notices (wire/crash.thrift, Thrift compact protocol). They are sent as opaque broadcasts.

#include "dragonflylane/CrashQuarantine.h"

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

std::string encode(const CrashNotice&);
/// Returns MalformedFrame for any bytes that encode() cannot produce, including trailing bytes and lists over their
/// limits.
std::error_code decode(std::string_view, CrashNotice&);

} // namespace dragonflylane
