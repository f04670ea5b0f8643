#pragma once

// The entry daemon's part of a call: route, claim of the idempotency key, selection of an upstream, attempts at owner
// daemons, and the answer.
//
// Invariants: a non-idempotent request has at most one attempt whose outcome is not a proved "not run"; an answer is
// matched to its attempt by (connection incarnation, request id); every call ends exactly once.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/RetryBudget.h"
#include "dragonflylane/RoutingTable.h"
#include "dragonflylane/UpstreamSelector.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace dragonflylane {

class ClaimTask;
class CrashTask;
class HttpExchange;
class Journal;
class Metrics;
class OwnerTask;
class PeerHub;

struct EntryTaskOptions {
    HostId self;
    DataCentreName dataCentre;
    RegionName region;
    /// Differs between successive lives of the daemon.
    uint64_t life { 0 };
    Duration defaultTimeout { std::chrono::seconds(2) };
    /// Calls may be nested this deep; 11 are planned.
    uint32_t maxHops { 16 };
    /// After its deadline a call waits this long for the owner's own answer, which says more.
    Duration answerGrace { std::chrono::milliseconds(20) };
    CallHeaderNames headerNames {};
    /// Service in whose name calls enter here; empty: callers name themselves.
    ServiceName service {};
    /// Owner daemons that may refuse one call before the caller is refused.
    uint32_t maxRedirects { 3 };
    bool isHedging { true };
    bool hasDuplicateRecords { true };
    /// Load per slot of the nearest data centre from which calls leave it. Above 1 if owners refuse what would wait too
    /// long.
    double spillLoad { UpstreamSelectorOptions().spillLoad };
    /// Budget of retries to one service at this daemon.
    RetryBudgetOptions retryBudget {};
};

/// Owns all calls that entered at this daemon.
class EntryTask {
public:
    struct Hooks {
        /// The configuration is proved current since the start.
        std::function<bool()> hasFloor;
        /// Another live daemon that may take over a call, excluding those tried.
        std::function<HostId(const std::vector<HostId>& tried)> transferPeer;
    };
    /// Daemons of this mesh that the task works with.
    struct Parts {
        PeerHub& hub;
        OwnerTask& owner;
        ClaimTask& claims;
        CrashTask& crash;
        Metrics& metrics;
        Journal& journal;
    };

    EntryTask(boost::asio::io_context&, EntryTaskOptions, Parts, Hooks);
    ~EntryTask();
    EntryTask(const EntryTask&) = delete;
    EntryTask& operator=(const EntryTask&) = delete;

    void start();
    void setRoutingTable(std::shared_ptr<const RoutingTable>);
    /// This daemon's part of the slack that all daemons share for retries to one service.
    void setRetrySlack(double);
    void handle(std::shared_ptr<HttpExchange>);

    /// Refuses new calls that may not end by then; calls in flight go on.
    void leave(TimePoint lastAnswer);
    bool isIdle() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dragonflylane
