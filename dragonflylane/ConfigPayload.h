#pragma once

// Message from a parent to a child that updates the child to the parent's revision.

#include "dragonflylane/ConfigDelta.h"

namespace dragonflylane {

/// Response to a child that has reported its revision and digest.
struct ConfigPayload {
    enum class Kind : uint8_t {
        /// The sender has nothing newer; only revision and digest are set.
        UpToDate = 0,
        Delta = 1,
        Snapshot = 2,
    };

    Kind kind { Kind::UpToDate };
    /// Revision and digest of the receiver after it has accepted the payload.
    Revision revision;
    Digest digest;
    ConfigDelta delta;
    /// Compressed snapshot from encodeSnapshot().
    std::string snapshot;

    bool operator==(const ConfigPayload&) const = default;
};

} // namespace dragonflylane
