#pragma once

#include <cstdint>
#include <string_view>

namespace dragonflylane {

/// Lifecycle phase of an upstream, as announced by itself or determined by its owner daemon.
enum class UpstreamPhase : uint8_t {
    /// Started, but not yet able to serve at full speed.
    Cold,
    Ready,
    /// Finishes the requests in flight and accepts no new ones.
    Draining,
    /// Its lease ended, or its process is gone.
    Stopped,
};

/// Name for logs, such as "draining".
constexpr std::string_view name(UpstreamPhase phase)
{
    switch (phase) {
    case UpstreamPhase::Cold:
        return "cold";
    case UpstreamPhase::Ready:
        return "ready";
    case UpstreamPhase::Draining:
        return "draining";
    case UpstreamPhase::Stopped:
        return "stopped";
    }
    return "invalid";
}

} // namespace dragonflylane
