#pragma once

// The operators' API over HTTP and JSON, and the announcements of the upstream beside this daemon.
//
// Any daemon takes any request: what concerns plans is passed on to the leader of the log, what concerns the fleet is
// gathered from the daemons that know. docs/OPERATIONS.md describes every request.

#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/MeshPort.h"
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
class RelayTask;
struct ApiRequest;
struct ApplyOutcome;

/// Parts of the daemon that the API reports on. The log is null on hosts without control role.
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
    LogTask* log;
    /// Callers may be sent here.
    std::function<bool()> isReady;
};

/// Routes API requests to their handlers.
class ApiTask {
public:
    using Respond = std::function<void(HttpResponse)>;

    /// The foreign API may be empty.
    ApiTask(boost::asio::io_context&, ApiParts, Operators, ForeignApi);

    void start();
    void handle(const std::shared_ptr<HttpExchange>&);

private:
    void dispatch(ApiRequest);
    bool authenticate(ApiRequest&) const;
    void forwardToLeader(const ApiRequest&);
    std::vector<HostId> leaderCandidates() const;
    void askLeader(const ApiRequest&, std::vector<HostId> hosts, TimePoint deadline);
    void waitForLeader(const ApiRequest&, TimePoint deadline);
    bool isLeader() const;
    MeshPort makePort();

    void announce(const ApiRequest&);
    void createPlan(const ApiRequest&);
    void confirmPlan(const ApiRequest&);
    void showPlan(const ApiRequest&);
    using ReplaceCallback = std::function<void(ReplaceAnswer)>;
    using DocumentCallback = std::function<void(DocumentAnswer)>;

    void replaceConfiguration(const ReplaceCommand&, const ReplaceCallback&);
    void readDocument(const DocumentCallback&, TimePoint deadline);
    /// Calls back with the leader's host, or with an empty one if none is known until the deadline.
    void findLeader(TimePoint deadline, const std::function<void(HostId)>&);
    std::optional<Endpoint> apiAddress(const HostId&) const;
    void showDocument(const ApiRequest&);
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

    void answerPlan(const ApiRequest&, const std::string& planId, std::error_code, const ApplyOutcome&);
    std::vector<HostId> controlHosts() const;
    std::vector<HostId> hostsToAsk(const std::string& id) const;
    void exportMetrics();

    boost::asio::io_context& m_context;
    ApiParts m_parts;
    Operators m_operators;
    ForeignApi m_foreignApi;
    MeshPort m_port;
    PeerApi m_peers;
};

} // namespace dragonflylane
