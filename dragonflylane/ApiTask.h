#pragma once

// The operators' API (JSON over HTTP), which also receives the announcements of the upstream on this host.
//
// Any daemon accepts any request. Requests about plans are forwarded to the log's leader; requests about the whole
// fleet are answered by querying the daemons that have the data. docs/OPERATIONS.md describes every request.

#include "dragonflylane/DaemonHooks.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Operators.h"
#include "dragonflylane/PeerApi.h"
#include "dragonflylane/Settings.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dragonflylane {

class ClaimTask;
class CrashTask;
class HttpExchange;
class Journal;
class LogTask;
class MembershipTask;
class Metrics;
class OwnerTask;
class RoutingTableTask;
class QuarantineTask;
class QuotaTask;
class RelayTask;
struct ApiRequest;
struct ApplyOutcome;

/// Components of the daemon that the API uses. Log and quarantine are null on hosts without a control role.
struct ApiParts {
    const Settings& settings;
    PeerHub& hub;
    Metrics& metrics;
    Journal& journal;
    MembershipTask& membership;
    RelayTask& relay;
    RoutingTableTask& routing;
    OwnerTask& owner;
    ClaimTask& claims;
    CrashTask& crash;
    QuotaTask& quota;
    LogTask* log;
    QuarantineTask* quarantine;
    /// Whether this daemon can serve callers.
    std::function<bool()> isReady;
};

/// Routes API requests to their handlers.
class ApiTask {
public:
    using Respond = std::function<void(HttpResponse)>;

    /// The platform's API handler may be empty.
    ApiTask(boost::asio::io_context&, ApiParts, Operators, PlatformApiHandler);

    void start();
    void handle(const std::shared_ptr<HttpExchange>&);

private:
    void dispatch(ApiRequest);
    bool authenticate(ApiRequest&) const;
    void forwardToLeader(const ApiRequest&);
    /// Control hosts other than this one; the leader comes first if it is known.
    std::vector<HostId> leaderCandidates() const;
    /// Forwards the request to the hosts in turn until one handles it; retries with fresh candidates until the
    /// deadline.
    void sendToLeader(const ApiRequest&, std::vector<HostId> hosts, TimePoint deadline);
    void retryAfterElection(const ApiRequest&, TimePoint deadline);
    bool isLeader() const;
    DaemonHooks makeHooks();

    void announce(const ApiRequest&);
    void createPlan(const ApiRequest&);
    void confirmPlan(const ApiRequest&);
    void showPlan(const ApiRequest&);
    using ReplaceCallback = std::function<void(ReplaceAnswer)>;
    using DocumentCallback = std::function<void(DocumentAnswer)>;

    using RolloutCallback = std::function<void(RolloutAnswer)>;

    void replaceConfiguration(const ReplaceCommand&, const ReplaceCallback&);
    void readDocument(const DocumentCallback&, TimePoint deadline);
    void startRollout(const StartRolloutCommand&, const RolloutCallback&);
    void readRollout(const ServiceName&, const RolloutCallback&) const;
    /// Calls `atLeader` if this daemon leads, or else `elsewhere` with the API address of the leader, if it is known.
    void runAtLeader(std::function<void()> atLeader, std::function<void(std::optional<Endpoint> leader)> elsewhere);
    /// Calls back with the leader's host id, which is empty if no leader is known by the deadline.
    void findLeader(TimePoint deadline, const std::function<void(HostId)>&);
    std::optional<Endpoint> apiAddress(const HostId&) const;
    void showDocument(const ApiRequest&);
    void createRollout(const ApiRequest&);
    void showRollout(const ApiRequest&);
    void showReadiness(const ApiRequest&);
    void showHistory(const ApiRequest&);
    void showStatus(const ApiRequest&);
    void showRevision(const ApiRequest&);
    void showAcks(const ApiRequest&);
    void showRoutingTable(const ApiRequest&);
    void showMembers(const ApiRequest&);
    void showMetrics(const ApiRequest&);
    void showJournal(const ApiRequest&);
    void explain(const ApiRequest&);
    void releaseQuarantine(const ApiRequest&);

    void respondToProposal(const ApiRequest&, const std::string& planId, std::error_code, const ApplyOutcome&);
    std::vector<HostId> controlHosts() const;
    std::vector<HostId> hostsToQuery(const std::string& id) const;
    void exportMetrics();

    boost::asio::io_context& m_context;
    ApiParts m_parts;
    Operators m_operators;
    PlatformApiHandler m_platformApiHandler;
    DaemonHooks m_hooks;
    PeerApi m_peers;
};

} // namespace dragonflylane
