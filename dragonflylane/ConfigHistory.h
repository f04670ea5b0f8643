#pragma once

// The current configuration and the recent deltas that led to it. A daemon serves its children in the distribution tree
// from them.
//
//     history.append(delta);
//     ConfigPayload payload = history.payloadFor(childRevision, childDigest);
//
// At most `maxDeltas` deltas with an encoded size of at most `maxBytes` are kept. A child with an older revision gets a
// snapshot. Not thread-safe, not even for const calls, since the snapshot of the current revision is cached.

#include "dragonflylane/ConfigPayload.h"
#include "dragonflylane/ConfigState.h"

#include <deque>
#include <optional>

namespace dragonflylane {

/// Limits of a history.
struct ConfigHistoryOptions {
    size_t maxDeltas { 1024 };
    /// Limit of the encoded size. Without it, 1,024 plans of the largest size would need 256 MB in every daemon, whose
    /// budget is 32 MB.
    size_t maxBytes { size_t { 4 } << 20 };
};

/// A configuration and its recent deltas.
class ConfigHistory {
public:
    explicit ConfigHistory(ConfigHistoryOptions = {});

    const ConfigState& state() const { return m_state; }
    /// Oldest first. Each starts at the end of the previous one, and the last ends at the current state.
    std::vector<ConfigDelta> deltas() const;

    /// Replaces the state and drops all deltas.
    void reset(ConfigState);
    /// Replaces state and deltas. Returns BaseMismatch or DigestMismatch, and changes nothing, if the deltas do not
    /// form a chain that ends at the state.
    std::error_code restore(ConfigState, const std::vector<ConfigDelta>&);
    /// Applies the delta to the state and records it. Returns the errors of ConfigState::apply() and then changes
    /// nothing. Does not validate the new state.
    std::error_code append(const ConfigDelta&);
    /// Records a delta whose resulting state the caller has already computed.
    void append(const ConfigDelta&, ConfigState next);

    /// The payload that updates a receiver with revision `held` to the current state: the merged delta or the
    /// compressed snapshot, whichever is shorter. UpToDate if the receiver has the current revision or a later one; in
    /// the latter case it has to select another parent. O(changes since `held`); the snapshot is encoded once per
    /// revision.
    ConfigPayload payloadFor(Revision held, const Digest&) const;
    /// Merged delta from revision `held` to the current state; nothing if the history does not reach back so far.
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
