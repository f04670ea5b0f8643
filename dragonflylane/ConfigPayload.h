#pragma once

// What a parent sends a child so that it reaches the parent's revision.

#include "dragonflylane/ConfigDelta.h"

namespace dragonflylane {

/// Answer to "I hold this revision with this digest".
struct ConfigPayload {
    enum class Kind : uint8_t {
        /// The sender has nothing newer; only revision and digest are set.
        UpToDate = 0,
        Delta = 1,
        Snapshot = 2,
    };

    Kind kind { Kind::UpToDate };
    /// Revision and digest that the receiver has after it accepted the payload.
    Revision revision;
    Digest digest;
    ConfigDelta delta;
    /// Compressed snapshot as made by encodeSnapshot().
    std::string snapshot;

    bool operator==(const ConfigPayload&) const = default;
};

} // namespace dragonflylane
