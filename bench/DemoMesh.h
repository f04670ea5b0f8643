#pragma once

// Runs a deployment of examples/ on loopback from a copy of its folder in a temporary directory: daemons and simulated
// upstreams. Offers access to the operators' API.

#include "bench/ProcessGroup.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/Settings.h"

#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

struct DemoDaemon {
    std::string name;
    std::string settingsFile;
    Settings settings;
};

struct DemoUpstream {
    std::string id;
    std::string service;
    std::string host;
    Endpoint address;
    int64_t slots { 0 };
    int64_t serviceMilliseconds { 0 };
};

struct DemoMeshOptions {
    /// Folder of one deployment, such as examples/readers-circle.
    std::string source;
    /// Folder of the programs.
    std::string programs;
    /// Folder that is created for the copy, the logs and the ledgers.
    std::string work;
    /// Added to the ports that upstreams announce, so that daemons connect through a FaultProxy; zero without proxies.
    uint16_t announcedPortOffset { 0 };
};

/// Result of planning and confirming a change.
struct DemoChange {
    bool isConfirmed { false };
    uint64_t revision { 0 };
    /// Plans rejected because another revision was committed between plan and confirmation.
    size_t conflicts { 0 };
    TimePoint confirmSent;
    /// From the confirmation until GET /v1/revisions/N reports that every present daemon has the revision. A killed
    /// daemon counts as present until the others have detected its death.
    Duration convergence { 0 };
    bool isConverged { false };
    /// From the confirmation until the routing tables of all daemons that respond have the revision.
    Duration liveConvergence { 0 };
    bool isLiveConverged { false };
    /// Daemons that responded with an older routing table after the API had reported convergence.
    size_t staleAfterConvergence { 0 };
    std::string detail;
};

/// Processes and API of the mesh. Only const functions may be called from several threads.
class DemoMesh {
public:
    DemoMesh(DemoMeshOptions, ProcessGroup&);

    /// Copies the folder and reads the settings. Returns an error message, empty on success.
    std::string prepare();
    /// Starts all daemons and upstreams. Returns an error message, empty on success.
    std::string startAll();
    std::string startDaemon(const std::string& name);
    /// Returns the name of a daemon or upstream that has exited; empty if all are running.
    std::string findEnded();
    /// Waits until the APIs of all daemons respond and there is a leader.
    bool waitForLeader(Duration limit) const;
    /// Returns the name of the control host that is the leader; empty if there is none.
    std::string leader() const;

    const std::vector<DemoDaemon>& daemons() const { return m_daemons; }
    const std::vector<DemoUpstream>& upstreams() const { return m_upstreams; }
    const DemoDaemon* find(const std::string& name) const;
    std::string ledgerFile(const DemoUpstream& upstream) const
    {
        return m_options.work + "/" + upstream.id + ".ledger";
    }
    std::string initialPlan() const;
    /// Address that the upstream announces to daemons.
    Endpoint announcedAddress(const DemoUpstream&) const;
    /// Number of executions of each target according to the ledgers of all upstreams.
    std::map<std::string, size_t> readLedgers() const;

    /// Returns a JSON document from a daemon's API; null if the daemon does not respond.
    boost::json::value get(const DemoDaemon&, const std::string& target) const;
    std::string getText(const DemoDaemon&, const std::string& target) const;
    /// Creates a plan. Returns its id, empty on failure.
    std::string plan(const std::string& changes, std::string& detail) const;
    /// Confirms a plan and waits until all daemons have applied it.
    DemoChange confirm(const std::string& planId, Duration limit) const;
    /// Plans and confirms the changes; retries after a conflict.
    DemoChange apply(const std::string& changes, Duration limit) const;

private:
    std::optional<boost::json::value> post(const std::string& target, const std::string& body) const;
    void waitForConvergence(DemoChange&, TimePoint end) const;
    bool isReportedConverged(DemoChange&) const;
    size_t countOutdated(uint64_t revision) const;
    std::vector<const DemoDaemon*> controlHosts() const;

    const DemoMeshOptions m_options;
    ProcessGroup& m_processes;
    std::vector<DemoDaemon> m_daemons;
    std::vector<DemoUpstream> m_upstreams;
    std::string m_token;
};

} // namespace dragonflylane
