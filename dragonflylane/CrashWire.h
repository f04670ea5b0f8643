#pragma once

// Wire format of crash notices, which are payloads of membership broadcasts, and of the messages of CrashReplication
// (wire/crash.thrift, Thrift compact protocol).

#include "dragonflylane/CrashQuarantine.h"
#include "dragonflylane/CrashReplication.h"

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace dragonflylane {

namespace wire {
    class CrashDeath;
    class CrashRecord;
}

std::string encode(const CrashNotice&);
/// Decodes exactly one notice. Returns FrameTooLarge if the input exceeds the limit of a frame payload, and
/// MalformedFrame if it is not one report or one clear, has trailing bytes, or has strings or lists over their limits.
std::error_code decode(std::string_view, CrashNotice&);

std::string encode(const CrashSyncMessage&);
/// Decodes exactly one message. Returns FrameTooLarge or MalformedFrame as for a notice; a digest has one number for
/// each bucket.
std::error_code decode(std::string_view, CrashSyncMessage&);

std::vector<wire::CrashDeath> toWire(const std::vector<CrashDeath>&);
std::vector<CrashDeath> fromWire(const std::vector<wire::CrashDeath>&);
std::vector<wire::CrashRecord> toWire(const std::vector<CrashRecord>&);
std::vector<CrashRecord> fromWire(const std::vector<wire::CrashRecord>&);

} // namespace dragonflylane
