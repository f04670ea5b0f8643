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
    TimePoint deadline;
    Fingerprint fingerprint;
    bool isIdempotent { false };
    bool isClaimed { false };

    uint32_t attempts { 0 };
    std::vector<HostId> tried;
    std::vector<EntryAttempt> open;
    /// Code of an attempt whose outcome is unknown; Ok if there was none.
    ResultCode earlierUnknown { ResultCode::Ok };
    bool isFinished { false };
};

} // namespace dragonflylane
