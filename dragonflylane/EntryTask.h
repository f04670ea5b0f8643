#pragma once

// The entry daemon's part of a call. The entry daemon is the one that the caller connects to: it matches the route,
// claims the idempotency key, selects an upstream, forwards the request to the daemon that owns the upstream (the owner
// daemon), retries, and answers the caller.
//
// Invariants:
//  * A non-idempotent request is attempted again only if every earlier attempt is known not to have run.
//  * A response is matched to its attempt by the LinkId of the connection and the request id.
//  * Every call ends exactly once.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/QuotaShare.h"
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
class RolloutRecorder;

struct EntryTaskOptions {
    HostId self;
    DataCentreName dataCentre;
    RegionName region;
    /// Boot ID: random number that identifies this run of the daemon process. Part of generated request ids, so that
    /// they stay unique across restarts.
    uint64_t bootId { 0 };
    Duration defaultTimeout { std::chrono::seconds(2) };
    /// Limit on the depth of nested calls. The deepest planned call chain has 11 calls.
    uint32_t maxHops { 16 };
    /// How long after its deadline a call still waits for the owner's response, whose result code is more specific than
    /// a local timeout.
    Duration answerGrace { std::chrono::milliseconds(20) };
    CallHeaderNames headerNames {};
    /// Caller service of all calls that enter here. Empty: each request names its caller in a header.
    ServiceName service {};
    /// Limit on the redirects of one call: other owner daemons that are asked after one has refused it.
    uint32_t maxRedirects { 3 };
    bool isHedging { true };
    bool usesIdempotencyRecords { true };
    /// Load per slot of the nearest data centre above which calls are also sent to other data centres. May be above 1
    /// if owners refuse calls that would be queued for too long.
    double spillLoad { UpstreamSelectorOptions().spillLoad };
    /// See UpstreamSelectorOptions::useSpeeds.
    bool usesUpstreamSpeeds { true };
    /// Retry budget of this daemon for each service.
    RetryBudgetOptions retryBudget {};
};

/// Owns all calls that callers sent to this daemon.
class EntryTask {
public:
    /// Functions of the daemon that the task calls.
    struct Hooks {
        /// True once the configuration has been proven current since the start and the members are known. Until then,
        /// calls are transferred to another entry daemon.
        std::function<bool()> mayServeRoutes;
        /// Selects another live daemon to transfer a call to, excluding those tried. Empty if there is none.
        std::function<HostId(const std::vector<HostId>& tried)> selectTransferPeer;
        /// True if the configuration was proven current a moment ago. Without that, a version that is being rolled out
        /// gets no calls, since it may have been rolled back.
        std::function<bool()> isConfigRecent;
        /// Answers whether the allotment of the tenant admits a request, see QuotaTask::admit(). Not set: no
        /// allotments.
        std::function<void(const TenantName&, Duration maxWait, std::function<void(QuotaVerdict, Duration retryAfter)>)>
            admitTenant {};
    };
    /// Other components of this daemon that the task uses.
    struct Parts {
        PeerHub& hub;
        OwnerTask& owner;
        ClaimTask& claims;
        CrashTask& crash;
        Metrics& metrics;
        Journal& journal;
        RolloutRecorder& rollouts;
    };

    EntryTask(boost::asio::io_context&, EntryTaskOptions, Parts, Hooks);
    ~EntryTask();
    EntryTask(const EntryTask&) = delete;
    EntryTask& operator=(const EntryTask&) = delete;

    void start();
    void setRoutingTable(std::shared_ptr<const RoutingTable>);
    /// Sets RetryBudgetOptions::slack for each service: this daemon's part of the slack that all daemons share.
    void setRetrySlack(double);
    void handle(std::shared_ptr<HttpExchange>);

    /// Starts the graceful shutdown: refuses new calls whose deadline is after `lastAnswer`, the time until which
    /// responses are sent. Calls in flight continue.
    void leave(TimePoint lastAnswer);
    /// Ends all calls in flight at once. The answer states that the call did not run only if that is certain.
    void abort();
    bool isIdle() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dragonflylane
