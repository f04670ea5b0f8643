#pragma once

// A mesh of daemon processes on loopback, spread over three data centres. Control hosts have the lowest indexes.

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

/// Result and timing of a confirmed plan.
struct ConfirmResult {
    uint64_t revision { 0 };
    std::string plan;
    TimePoint respondedAt;
    Duration proposeTime {};
    Duration confirmTime {};
};

/// Returns endpoints on loopback whose ports are free for both TCP and UDP. Throws boost::system::system_error.
std::vector<Endpoint> freeEndpoints(size_t count);

class DaemonFleet {
public:
    DaemonFleet(ChildProcesses&, DaemonFleetOptions);
    ~DaemonFleet();
    DaemonFleet(const DaemonFleet&) = delete;
    DaemonFleet& operator=(const DaemonFleet&) = delete;

    /// Starts all daemons and waits until each has proven its configuration current and lists all members.
    /// Throws std::runtime_error if a daemon takes longer than a minute.
    void start();

    size_t size() const { return m_daemons.size(); }
    size_t controlCount() const { return m_options.controlHosts; }
    Endpoint callers(size_t index) const { return m_daemons[index].callers; }
    Endpoint api(size_t index) const { return m_daemons[index].api; }
    pid_t pid(size_t index) const { return m_daemons[index].pid; }

    void signal(size_t index, int signal);
    void kill(size_t index);
    void restart(size_t index);

    /// Returns the index of the control host that reports being the leader. Waits up to ten seconds, then throws
    /// std::runtime_error.
    size_t leader() const;
    /// Proposes and confirms the changes (a JSON array) at one daemon. Returns nullopt if either request fails.
    std::optional<ConfirmResult> confirm(size_t index, const std::string& changes, Duration timeout) const;
    /// As above, at the leader, retried until it succeeds. Throws std::runtime_error after ten seconds.
    ConfirmResult confirm(const std::string& changes) const;
    /// Adds a service, a route to it with the path prefix "/NAME", and a rule that allows clients to call it.
    void addService(const std::string& name, std::chrono::milliseconds timeout) const;
    /// Waits until the daemon's routing table contains exactly this many ready upstreams over all services.
    void awaitUpstreams(size_t index, size_t count) const;
    /// Returns the sum of the daemon's counters whose names start with the prefix.
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
