#pragma once

// The load that an upstream states in a header of its responses: "3,0,8" or "3,0,8,250". The name of the header is in
// CallHeaderNames.

#include "dragonflylane/SpeedReport.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace dragonflylane {

struct UpstreamLoad {
    uint32_t running { 0 };
    uint32_t waiting { 0 };
    uint32_t slots { 0 };
    /// Empty if the header has no fourth figure.
    std::optional<SlownessPercent> slowness {};
};

/// Parses the value of the header. Empty if it is malformed, for example if a figure is negative or the slowness is
/// zero.
std::optional<UpstreamLoad> parseUpstreamLoad(std::string_view);

} // namespace dragonflylane
