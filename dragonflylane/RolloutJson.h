#pragma once

// JSON of roll-outs in the operators' API.

#include "dragonflylane/RolloutCommands.h"

#include <optional>
#include <string>
#include <string_view>

namespace dragonflylane {

/// "running", "completed" or "rolled_back".
std::string_view name(RolloutState);
/// Reads {"service": ..., "version": ..., "durationMs": ...}. Empty if a field is absent or has another type.
std::optional<StartRolloutCommand> parseRolloutStart(std::string_view body);
std::string renderRollout(const RolloutItem&);

} // namespace dragonflylane
