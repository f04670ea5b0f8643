#pragma once

// State of one call at the entry daemon. Internal to EntryTask.

#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/ParentCall.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/RolloutRecorder.h"
#include "dragonflylane/RoutingTable.h"
#include "dragonflylane/UpstreamSelector.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

/// One attempt to run a call at an owner daemon.
struct EntryAttempt {
    uint64_t id { 0 };
    Choice choice;
    /// Connection that carries the request. Zero if the upstream is local, or while the connection is being opened.
    LinkId link;
    /// Id of the call in OwnerTask if the upstream is local.
    uint64_t ownerCallId { 0 };
    /// Zero if no roll-out of the service is running.
    RolloutAttemptId rolloutAttempt;
    TimePoint startedAt;
    bool isSent { false };
};

/// One request of a caller, with all its attempts.
struct EntryCall {
    uint64_t id { 0 };
    std::shared_ptr<HttpExchange> exchange;
    CallHeaders headers;
    RequestId requestId;
    /// The routing table when the call arrived.
    std::shared_ptr<const RoutingTable> routingTable;
    ServiceIndex service { 0 };
    ServiceName serviceName;
    CallOrigin origin;
    /// Deadline that the caller stated.
    TimePoint callerDeadline;
    /// Deadline of the call here: the earlier of callerDeadline and the route's timeout.
    TimePoint deadline;
    /// When this daemon first received the request. Earlier than the receipt of this exchange if the caller retries a
    /// request that was refused.
    TimePoint firstReceived;
    /// Target latency of the route, as a point in time. Ranked admission favours calls that can still be answered by
    /// then.
    TimePoint target;
    uint32_t priority { 0 };
    /// Tenant whose API key the caller presented, or that of the call that this one is nested in; empty if none.
    TenantName tenant;
    uint32_t tenantPriority { 0 };
    /// The call was made by an upstream for a call that it is running, so it is part of that call.
    bool isNested { false };
    bool isPublicRoute { false };
    /// The call that the upstream of this host was running when it made this one; empty if this is not a nested call.
    std::optional<ParentCall> parent;
    /// How often this daemon has refused the caller's earlier attempts.
    uint32_t earlierRefusals { 0 };
    /// Hash of the route's name. Service times are estimated per route, since requests of one route take about the same
    /// time.
    uint64_t routeKey { 0 };
    /// Limit on the attempts that reach an upstream.
    uint32_t maxAttempts { 1 };
    Fingerprint fingerprint;
    bool isIdempotent { false };
    /// The idempotency key is claimed and the claim is still open.
    bool isClaimed { false };

    /// All attempts, including hedges and those that an owner daemon refused.
    uint32_t attempts { 0 };
    /// Attempts that reached an upstream.
    uint32_t upstreamAttempts { 0 };
    /// Attempts that an owner daemon refused before they reached an upstream.
    uint32_t redirects { 0 };
    /// Code of the latest refusal.
    ResultCode refusal { ResultCode::NoUpstream };
    /// Shortest time after which one of the refusing owners expects to have capacity; zero if none stated one.
    Duration retryAfter { 0 };
    /// The owner that stated retryAfter.
    HostId ownerWithShortestQueue;
    /// No other owner is asked if the latest one refuses for lack of capacity. That owner may therefore queue the call
    /// without a limit on the wait. Reset if it refuses for another reason.
    bool isFinalAttempt { false };
    /// Owner daemons that have been asked.
    std::vector<HostId> tried;
    /// Attempts without a response.
    std::vector<EntryAttempt> open;
    /// Result code of an attempt whose outcome is unknown; Ok if there was none.
    ResultCode earlierUnknownCode { ResultCode::Ok };
    bool isFinished { false };
};

} // namespace dragonflylane
