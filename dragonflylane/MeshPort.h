#pragma once

// What an adapter to a platform's own API may ask of the daemon. The adapter only translates; every decision is made
// behind these hooks.

#include "dragonflylane/Endpoint.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <functional>
#include <optional>
#include <string>

namespace dragonflylane {

struct Announcement;
struct ReplaceCommand;

/// Outcome of replacing the configuration.
struct ReplaceAnswer {
    /// Ok: accepted now or before. PlanConflict: another version is in force. NotLeader, QuorumLost and
    /// OutcomeUncertain: the operator should send the same document again.
    ResultCode code { ResultCode::Ok };
    std::string detail;
    /// NotLeader: API address of the host that can answer.
    std::optional<Endpoint> leader {};
};

/// The document in force.
struct DocumentAnswer {
    /// Ok, or NotLeader and QuorumLost if this daemon cannot tell which document is the newest.
    ResultCode code { ResultCode::Ok };
    std::string document;
    /// NotLeader: API address of the host that can answer.
    std::optional<Endpoint> leader {};
};

/// Hooks into one daemon; valid as long as the daemon.
struct MeshPort {
    /// Service and address of the upstream beside this daemon, as far as the settings state them.
    ServiceName service {};
    std::optional<Endpoint> upstream {};

    /// Callers may be sent here.
    std::function<bool()> isReady {};
    std::function<void(const Announcement&)> announce {};
    std::function<void(const UpstreamId&, uint64_t startedAt)> withdraw {};
    std::function<void(ReplaceCommand, std::function<void(ReplaceAnswer)>)> replaceConfiguration {};
    std::function<void(std::function<void(DocumentAnswer)>)> readDocument {};
};

/// Serves requests of a platform's API on the listeners of the daemon's own API. Returns false for a request that it
/// does not know, which then goes to the daemon's own API.
using ForeignApi
    = std::function<bool(const HttpRequest&, const std::function<void(HttpResponse)>& respond, const MeshPort&)>;

} // namespace dragonflylane
