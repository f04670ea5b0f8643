#pragma once

// Wire format of the evidence on roll-outs (wire/rollout.thrift, Thrift compact protocol).

#include "dragonflylane/RolloutReport.h"

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

std::string encode(const RolloutReport&);
/// Decodes exactly one report. Returns MalformedFrame if it has trailing bytes, negative counts or more answers than
/// requests, or if a string or list is over its limit. The report is unchanged on error.
std::error_code decode(std::string_view, RolloutReport&);

} // namespace dragonflylane
