#pragma once

// State of one call at the entry daemon. Internal to EntryTask.

#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/RoutingTable.h"
#include "dragonflylane/UpstreamSelector.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

/// One hand-over to an owner daemon.
struct EntryAttempt {
    uint64_t id { 0 };
    Choice choice;
    /// Connection that carries it; zero for this daemon's own upstream or while the connection is being opened.
    LinkId link;
    uint64_t ownerCall { 0 };
    TimePoint startedAt;
    bool isSent { false };
};

/// One call of a caller.
struct EntryCall {
    uint64_t id { 0 };
    std::shared_ptr<HttpExchange> exchange;
    CallHeaders headers;
    RequestId requestId;
    std::shared_ptr<const RoutingTable> routingTable;
    ServiceIndex service { 0 };
    ServiceName serviceName;
    CallOrigin origin;
    /// When the caller gives up, and when the call ends here: the earlier of that and the route's timeout.
    TimePoint callerDeadline;
    TimePoint deadline;
    /// When the caller's first try was received; earlier than this one if that was refused.
    TimePoint firstReceived;
    /// Answers until then have their full value to the caller.
    TimePoint target;
    uint32_t priority { 0 };
    /// Hash of the route's name; requests of one route take about the same time.
    uint64_t routeKey { 0 };
    /// Upstreams that may get the request.
    uint32_t maxAttempts { 1 };
    Fingerprint fingerprint;
    bool isIdempotent { false };
    bool isClaimed { false };

    uint32_t attempts { 0 };
    /// Attempts that reached an upstream, and those that an owner daemon refused.
    uint32_t arrivals { 0 };
    uint32_t redirects { 0 };
    /// Code of the latest refusal and the shortest time after which an owner expects room.
    ResultCode refusal { ResultCode::NoUpstream };
    Duration retryAfter { 0 };
    /// The owner that stated it.
    HostId shortestQueue;
    /// The last try, which may wait in a queue, has been made.
    bool isLastTry { false };
    std::vector<HostId> tried;
    std::vector<EntryAttempt> open;
    /// Code of an attempt whose outcome is unknown; Ok if there was none.
    ResultCode earlierUnknown { ResultCode::Ok };
    bool isFinished { false };
};

} // namespace dragonflylane
