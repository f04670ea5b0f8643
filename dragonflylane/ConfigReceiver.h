#pragma once

// The receiving side of configuration distribution: stores the current configuration and verifies each payload. A
// rejected payload leaves the configuration unchanged.
//
//     if (std::error_code error = receiver.accept(payload))
//         // log, count, request again with receiver.state().revision()
//
// history() provides the payloads for the daemon's own children.

#include "dragonflylane/ConfigHistory.h"

namespace dragonflylane {

/// Options of a ConfigReceiver. Each check protects an invariant; only tests turn them off, to show which one.
struct ConfigReceiverOptions {
    ConfigHistoryOptions history {};
    bool checkRevision { true };
    bool checkEqualRevision { true };
    bool checkBase { true };
    bool checkDigest { true };
    bool checkValidity { true };
};

/// Stores a configuration and replaces it only completely and only by a newer, verified and valid one.
class ConfigReceiver {
public:
    explicit ConfigReceiver(ConfigReceiverOptions = {});

    const ConfigState& state() const { return m_history.state(); }
    const ConfigHistory& history() const { return m_history; }

    /// Applies a payload. Errors: StaleRevision (lower than the current one), DigestMismatch (equal revision with
    /// another digest, or the result does not have the digest of the payload), BaseMismatch (does not start from the
    /// current revision), MalformedFrame (the snapshot cannot be decoded), InvalidConfiguration (the result does not
    /// pass validate(), which sets `detail`). A payload with the current revision and digest has no effect.
    std::error_code accept(const ConfigPayload&, std::string* detail = nullptr);

    /// Like accept() for a snapshot, but also accepts one with the current revision and another digest. To be called
    /// after such a DigestMismatch was logged and counted, with a snapshot from a sender whose term is current. Never
    /// accepts a lower revision.
    std::error_code replaceDivergent(const ConfigPayload&, std::string* detail = nullptr);

private:
    std::error_code checkRevisionOrder(const ConfigPayload&) const;
    std::error_code acceptDelta(const ConfigPayload&, std::string* detail);
    std::error_code acceptSnapshot(const ConfigPayload&, std::string* detail);
    std::error_code checkValid(const ConfigState&, std::string* detail) const;

    ConfigReceiverOptions m_options;
    ConfigHistory m_history;
};

} // namespace dragonflylane
