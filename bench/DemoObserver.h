#pragma once

// Checks the routing tables of all daemons while the demo runs, and reads their counters of control traffic.

#include "bench/DemoMesh.h"

#include <atomic>
#include <map>
#include <thread>

namespace dragonflylane {

/// Polls every daemon's routing table until stop().
class DemoObserver {
public:
    explicit DemoObserver(const DemoMesh& mesh)
        : m_mesh(mesh)
    {
    }
    ~DemoObserver() { stop(); }

    void start();
    void stop();

    // The results are valid after stop().
    size_t routingTables() const { return m_routingTables; }
    /// Routing tables with a lower revision than an earlier one of the same host (I1). Revision 0, which a restarted
    /// daemon has at first, does not count.
    size_t reverted() const { return m_reverted; }
    /// Routes to a service that the same routing table does not contain (I2).
    size_t danglingRoutes() const { return m_danglingRoutes; }
    /// Routing tables whose routes or services differ from those of another daemon at the same revision (I3).
    size_t inconsistent() const { return m_inconsistent; }
    const std::string& firstReversion() const { return m_firstReversion; }

private:
    void run();
    void check(const std::string& host, const boost::json::value& routingTable);

    const DemoMesh& m_mesh;
    std::thread m_thread;
    std::atomic<bool> m_isStopping { false };
    std::map<std::string, int64_t> m_highest;
    std::map<int64_t, std::string> m_contents;
    size_t m_routingTables { 0 };
    size_t m_reverted { 0 };
    size_t m_inconsistent { 0 };
    size_t m_danglingRoutes { 0 };
    std::string m_firstReversion;
};

/// Returns the part of a routing table that comes from the configuration: digest, routes and service names, without the
/// upstreams.
std::string configuredContent(const boost::json::value& routingTable);
/// Counts routes of a routing table to services that it does not contain.
size_t countDanglingRoutes(const boost::json::value& routingTable);
/// Counts upstreams of a daemon's routing table whose owner is not alive or suspect in the member list of that daemon.
size_t countUnknownUpstreams(const boost::json::value& routingTable, const boost::json::value& members);

/// Bytes of control traffic of one daemon since its start.
struct ControlBytes {
    uint64_t sent { 0 };
    uint64_t received { 0 };
};

/// Counters of the daemons that responded, with the time of reading.
struct ControlSample {
    TimePoint time;
    std::map<std::string, ControlBytes> daemons;
};

ControlSample sampleControlBytes(const DemoMesh&);

} // namespace dragonflylane
