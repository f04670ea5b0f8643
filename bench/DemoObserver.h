#pragma once

// Watches the routing tables of all daemons while the demo runs, and reads their counters of control traffic.

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

    // Valid after stop().
    size_t routingTables() const { return m_routingTables; }
    /// Routing tables older than one that the same host showed before (I1). A restarted daemon without any revision
    /// does not count.
    size_t reverted() const { return m_reverted; }
    /// Routes to a service that the same routing table lacks (I2).
    size_t danglingRoutes() const { return m_danglingRoutes; }
    /// Routing tables whose routes or services differ from those of another daemon at the same revision (I3).
    size_t partial() const { return m_partial; }
    const std::string& firstFault() const { return m_firstFault; }

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
    size_t m_partial { 0 };
    size_t m_danglingRoutes { 0 };
    std::string m_firstFault;
};

/// What a routing table has from the configuration: revision digest, routes and service names, without the upstreams.
std::string configuredContent(const boost::json::value& routingTable);
/// Routes of a routing table to services that it lacks.
size_t countDanglingRoutes(const boost::json::value& routingTable);
/// Upstreams of a daemon's routing table whose owner is not a present member for the same daemon.
size_t countUnknownUpstreams(const boost::json::value& routingTable, const boost::json::value& members);

/// Control bytes of one daemon since its start.
struct ControlBytes {
    uint64_t sent { 0 };
    uint64_t received { 0 };
};

/// Counters of the daemons that answered, with the time of reading.
struct ControlSample {
    TimePoint time;
    std::map<std::string, ControlBytes> daemons;
};

ControlSample sampleControlBytes(const DemoMesh&);

} // namespace dragonflylane
