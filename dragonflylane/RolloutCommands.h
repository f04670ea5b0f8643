#pragma once

// The commands of the replicated state machine that change roll-outs. Pure functions of the command and the current
// configuration, so all replicas get the same result.

#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/ResultCode.h"

#include <optional>
#include <string>

namespace dragonflylane {

class ConfigState;

/// Starts a roll-out. Starting the same roll-out again has no effect.
struct StartRolloutCommand {
    ServiceName service;
    UpstreamVersion target;
    /// Time in which the roll-out should be completed; at most RolloutLimits::duration.
    std::chrono::milliseconds duration { 0 };
    OperatorName operatorName;

    bool operator==(const StartRolloutCommand&) const = default;
};

/// Changes a running roll-out. Without effect unless the roll-out of the service is running with this target, so that
/// a former leader cannot change the outcome.
struct AdvanceRolloutCommand {
    ServiceName service;
    UpstreamVersion target;
    RolloutState state { RolloutState::Running };
    uint32_t sharePermille { 0 };
    std::chrono::milliseconds elapsed { 0 };

    bool operator==(const AdvanceRolloutCommand&) const = default;
};

struct RolloutLimits {
    static constexpr std::chrono::hours duration { 24 };
};

/// Empty if the number is not a duration that a roll-out may have.
std::optional<std::chrono::milliseconds> rolloutDuration(double seconds);

/// Result of a command: an error, the item to store, or neither if the command has no effect.
struct RolloutChange {
    ResultCode code { ResultCode::Ok };
    std::string detail;
    std::optional<RolloutItem> item;
};

RolloutChange applyRolloutCommand(const StartRolloutCommand&, const ConfigState&);
RolloutChange applyRolloutCommand(const AdvanceRolloutCommand&, const ConfigState&);

} // namespace dragonflylane
