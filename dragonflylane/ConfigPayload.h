#pragma once

// Configuration update that a daemon sends to its child in the distribution tree (see TreePosition.h).

#include "dragonflylane/ConfigDelta.h"

namespace dragonflylane {

/// Brings a child from the revision and digest that it has reported to the sender's revision.
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
    /// Only with Kind::Delta.
    ConfigDelta delta;
    /// Only with Kind::Snapshot: compressed snapshot from encodeSnapshot().
    std::string snapshot;

    bool operator==(const ConfigPayload&) const = default;
};

} // namespace dragonflylane
