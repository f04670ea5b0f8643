#pragma once

// Interface of the daemon for adapters to another platform's API. An adapter only translates requests and responses;
// the daemon makes all decisions.

#include "dragonflylane/ConfigItem.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <functional>
#include <optional>
#include <string>

namespace dragonflylane {

struct Announcement;
struct LeavingProcess;
struct ReplaceCommand;
struct StartRolloutCommand;

/// Outcome of replacing the configuration.
struct ReplaceAnswer {
    /// Ok: accepted by this request or an earlier one. PlanConflict: the current version is not the base version of the
    /// document. NotLeader, QuorumLost and OutcomeUncertain: the operator should send the same document again.
    ResultCode code { ResultCode::Ok };
    std::string detail;
    /// With NotLeader: API address of the leader, if known.
    std::optional<Endpoint> leader {};
};

/// The current configuration document.
struct DocumentAnswer {
    /// Ok, or NotLeader or QuorumLost if this daemon cannot determine which document is the newest.
    ResultCode code { ResultCode::Ok };
    std::string document;
    /// With NotLeader: API address of the leader, if known.
    std::optional<Endpoint> leader {};
};

/// Outcome of starting or reading a roll-out.
struct RolloutAnswer {
    /// Starting: Ok if started by this request or an earlier one, RolloutConflict while another one of the service
    /// runs, UnknownService, InvalidName or InvalidValue. Reading: Ok or NotFound. NotLeader, QuorumLost and
    /// OutcomeUncertain: the operator should ask again.
    ResultCode code { ResultCode::Ok };
    std::string detail;
    /// With NotLeader: API address of the leader, if known.
    std::optional<Endpoint> leader {};
    /// The roll-out that was read.
    std::optional<RolloutItem> item {};
};

/// Functions and settings of one daemon; valid for the lifetime of the daemon.
struct DaemonHooks {
    /// Service and address of the upstream on this host, if the settings give them.
    ServiceName service {};
    std::optional<Endpoint> upstream {};

    /// Whether this daemon can serve callers.
    std::function<bool()> isReady {};
    /// Calls back with Ok when the announcement may be acknowledged, see OwnerTask::announce(). Any other code: the
    /// upstream should announce itself again.
    std::function<void(const Announcement&, std::function<void(ResultCode)>)> announce {};
    /// The same for a process that is about to stop.
    std::function<void(const LeavingProcess&, std::function<void(ResultCode)>)> withdraw {};
    std::function<void(ReplaceCommand, std::function<void(ReplaceAnswer)>)> replaceConfiguration {};
    std::function<void(std::function<void(DocumentAnswer)>)> readDocument {};
    std::function<void(StartRolloutCommand, std::function<void(RolloutAnswer)>)> startRollout {};
    std::function<void(const ServiceName&, std::function<void(RolloutAnswer)>)> readRollout {};
};

/// Handles requests of another platform's API on the listeners of the daemon's API. Returns false for a request that is
/// not part of the platform's API; the daemon's API then handles it.
using PlatformApiHandler
    = std::function<bool(const HttpRequest&, const std::function<void(HttpResponse)>& respond, const DaemonHooks&)>;

} // namespace dragonflylane
