#pragma once

// A mesh of daemon processes on loopback: the control hosts first, then the others, spread over three data centres.

#include "bench/ChildProcesses.h"
#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

struct DaemonFleetOptions {
    std::string program;
    size_t controlHosts { 3 };
    size_t daemons { 2 };
    std::string logLevel { "warning" };
};

/// What came of one plan.
struct ConfirmResult {
    uint64_t revision { 0 };
    std::string plan;
    TimePoint answered;
    Duration proposeTime {};
    Duration confirmTime {};
};

/// Free endpoints on loopback whose ports the kernel chose, free for TCP and UDP. Throws std::runtime_error.
std::vector<Endpoint> freeEndpoints(size_t count);

class DaemonFleet {
public:
    DaemonFleet(ChildProcesses&, DaemonFleetOptions);
    ~DaemonFleet();
    DaemonFleet(const DaemonFleet&) = delete;
    DaemonFleet& operator=(const DaemonFleet&) = delete;

    /// Starts all daemons and waits until each has a proved configuration and knows all members. Throws
    /// std::runtime_error when that takes longer than a minute.
    void start();

    size_t size() const { return m_daemons.size(); }
    size_t controlCount() const { return m_options.controlHosts; }
    Endpoint callers(size_t index) const { return m_daemons[index].callers; }
    Endpoint api(size_t index) const { return m_daemons[index].api; }
    pid_t pid(size_t index) const { return m_daemons[index].pid; }

    void signal(size_t index, int signal);
    void kill(size_t index);
    void restart(size_t index);

    /// Index of the control host that says it leads; waits up to ten seconds.
    size_t leader() const;
    /// Proposes and confirms the changes (a JSON array) at one daemon. Nothing if either is not answered with success.
    std::optional<ConfirmResult> confirm(size_t index, const std::string& changes, Duration timeout) const;
    /// The same at the leader, repeated until it succeeds. Throws std::runtime_error after ten seconds.
    ConfirmResult confirm(const std::string& changes) const;
    /// Adds a service of one name with a route of its path and allows clients to call it.
    void addService(const std::string& name, std::chrono::milliseconds timeout) const;
    /// Waits until the daemon's routing table holds this many ready upstreams of all services.
    void awaitUpstreams(size_t index, size_t count) const;
    /// Sum of the counters of one daemon whose names start with the prefix.
    double counter(size_t index, std::string_view prefix) const;

private:
    struct Daemon {
        std::string id;
        Endpoint callers;
        Endpoint peer;
        Endpoint api;
        pid_t pid { 0 };
    };

    void writeSettings(size_t index) const;
    std::filesystem::path file(size_t index, const char* suffix) const;
    void awaitReady(size_t index) const;

    ChildProcesses& m_processes;
    DaemonFleetOptions m_options;
    std::vector<Daemon> m_daemons;
};

} // namespace dragonflylane
