#pragma once

// The requests in quarantine as the replicated log holds them, so that they outlast a kill of every daemon. A part of
// the replicated state machine: it contains no time. When a quarantine ends is up to CrashQuarantine of the leader.

#include "dragonflylane/CrashQuarantine.h"

#include <map>
#include <optional>
#include <vector>

namespace dragonflylane {

struct QuarantinedRequest {
    Fingerprint fingerprint {};
    /// The deaths that led to its quarantine.
    std::vector<CrashDeath> deaths {};

    bool operator==(const QuarantinedRequest&) const = default;
};

/// Adds requests to the stored quarantine and removes others.
struct ChangeQuarantineCommand {
    std::vector<QuarantinedRequest> added {};
    std::vector<Fingerprint> removed {};

    bool operator==(const ChangeQuarantineCommand&) const = default;
};

class StoredQuarantine {
public:
    /// Requests beyond this number are not stored: a flood of them must not displace those that are.
    static constexpr size_t maxRequests = 256;

    /// Returns false if nothing has changed.
    bool apply(const ChangeQuarantineCommand&);
    /// The command that makes the stored quarantine equal to the present one; empty if it is equal already.
    std::optional<ChangeQuarantineCommand> changeTo(const std::vector<CrashEntry>&) const;
    bool contains(Fingerprint fingerprint) const { return m_requests.contains(fingerprint); }
    /// Ordered by fingerprint.
    std::vector<QuarantinedRequest> all() const;

private:
    std::map<Fingerprint, std::vector<CrashDeath>> m_requests;
};

} // namespace dragonflylane
