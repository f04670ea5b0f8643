#pragma once

// The receiving side of configuration distribution: holds one configuration and decides about each payload. A refused
// payload leaves the held configuration as it was.
//
//     if (std::error_code error = holder.accept(payload))
//         // log, count, request again with holder.state().revision()
//
// Also serves the holder's own children through history().

#include "dragonflylane/ConfigHistory.h"

namespace dragonflylane {

/// Options of a ConfigHolder. Each check protects an invariant; only tests switch one off, to show it broken.
struct ConfigHolderOptions {
    ConfigHistoryOptions history {};
    bool checkRevision { true };
    bool checkEqualRevision { true };
    bool checkBase { true };
    bool checkDigest { true };
    bool checkValidity { true };
};

/// Holds a configuration and replaces it only as a whole and only by a newer, verified and valid one.
class ConfigHolder {
public:
    explicit ConfigHolder(ConfigHolderOptions = {});

    const ConfigState& state() const { return m_history.state(); }
    const ConfigHistory& history() const { return m_history; }

    /// Refusals: StaleRevision (lower than held), DigestMismatch (equal revision with another digest, or the result
    /// differs from the announced digest), BaseMismatch (does not start from the held revision), MalformedFrame
    /// (snapshot does not decode), InvalidConfiguration (result does not pass validate(); `detail` gives the
    /// sentence). A payload with the held revision and digest is accepted without effect.
    std::error_code accept(const ConfigPayload&, std::string* detail = nullptr);

    /// Like accept() for a snapshot, but also takes one of the held revision with another digest. For use after such
    /// a DigestMismatch was logged and counted, with a snapshot from a sender whose term is current. Never takes a
    /// lower revision.
    std::error_code replaceDivergent(const ConfigPayload&, std::string* detail = nullptr);

private:
    std::error_code checkAdvance(const ConfigPayload&) const;
    std::error_code acceptDelta(const ConfigPayload&, std::string* detail);
    std::error_code acceptSnapshot(const ConfigPayload&, std::string* detail);
    std::error_code checkValid(const ConfigState&, std::string* detail) const;

    ConfigHolderOptions m_options;
    ConfigHistory m_history;
};

} // namespace dragonflylane
