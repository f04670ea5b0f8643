#pragma once

// The current state and the deltas that led to it, from which children are served.
//
//     history.append(delta);
//     ConfigPayload payload = history.payloadFor(childRevision, childDigest);
//
// Bounded: at most `maxDeltas` deltas and `maxBytes` of them in encoded form. A child whose base was dropped gets a
// snapshot. Not thread-safe, also not for const calls: the snapshot of the current revision is cached.

#include "dragonflylane/ConfigPayload.h"
#include "dragonflylane/ConfigState.h"

#include <deque>
#include <optional>

namespace dragonflylane {

/// Bounds of a history.
struct ConfigHistoryOptions {
    size_t maxDeltas { 1024 };
    /// Without it, 1,024 plans of the largest size would need 256 MB in every daemon, of 32 MB allowed.
    size_t maxBytes { size_t { 4 } << 20 };
};

/// State and its recent deltas.
class ConfigHistory {
public:
    explicit ConfigHistory(ConfigHistoryOptions = {});

    const ConfigState& state() const { return m_state; }
    /// Oldest first; each starts where the one before it ends, and the last ends at the state.
    std::vector<ConfigDelta> deltas() const;

    /// Replaces the state and drops all deltas.
    void reset(ConfigState);
    /// Replaces state and deltas. BaseMismatch or DigestMismatch, then nothing is changed, if the deltas do not form a
    /// chain that ends at the state.
    std::error_code restore(ConfigState, const std::vector<ConfigDelta>&);
    /// Applies the delta to the state and records it. Errors as ConfigState::apply(), then nothing is changed. Does
    /// not validate the new state.
    std::error_code append(const ConfigDelta&);
    /// Records a delta whose resulting state the caller has already computed.
    void append(const ConfigDelta&, ConfigState next);

    /// The shorter of merged delta and compressed snapshot that brings the holder of `held` to the current state.
    /// UpToDate if it holds the current revision or a later one; a later one must look for another parent. O(changes
    /// since `held`); the snapshot is encoded once a revision.
    ConfigPayload payloadFor(Revision held, const Digest&) const;
    /// Merged delta from `held` to the current state; nothing if it is not in the history.
    std::optional<ConfigDelta> deltaSince(Revision held) const;
    /// Compressed snapshot of the current state.
    const std::string& snapshot() const;

private:
    struct Entry {
        ConfigDelta delta;
        size_t bytes { 0 };
    };

    void record(const ConfigDelta&);

    ConfigHistoryOptions m_options;
    ConfigState m_state;
    std::deque<Entry> m_deltas;
    size_t m_bytes { 0 };
    mutable std::string m_snapshot;
};

} // namespace dragonflylane
