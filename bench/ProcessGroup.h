#pragma once

// Starts and stops child processes of a test or of the demo.
//
//     ProcessGroup processes;
//     processes.start({ .name = "a", .program = "build/dragonflylaned", .arguments = { "--settings", "a.ini" } });
//     processes.signal("a", SIGKILL);
//     processes.wait("a", limit);
//
// Processes are signalled by their recorded pid, never by name. The destructor terminates all remaining processes;
// after killAllOnSignals(), SIGINT and SIGTERM to this process kill them too.

#include "dragonflylane/BootClock.h"

#include <map>
#include <optional>
#include <string>
#include <sys/types.h>
#include <system_error>
#include <vector>

namespace dragonflylane {

struct ProcessOptions {
    /// Unique among the running processes of the group.
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    /// Standard output and standard error are appended to this file, or discarded if it is empty.
    std::string logFile;
};

/// A set of child processes. Not thread-safe.
class ProcessGroup {
public:
    ProcessGroup() = default;
    ~ProcessGroup();
    ProcessGroup(const ProcessGroup&) = delete;
    ProcessGroup& operator=(const ProcessGroup&) = delete;

    /// Installs handlers for SIGINT and SIGTERM that kill all processes of all groups and exit with 128 + signal.
    static void killAllOnSignals();

    std::error_code start(const ProcessOptions&);
    /// Sends a signal. Returns false if no such process is running.
    bool signal(const std::string& name, int number);
    /// Waits for a process to exit. Returns its exit status, 128 + signal if a signal terminated it, or nullopt if it
    /// is still running after the limit.
    std::optional<int> wait(const std::string& name, Duration limit);
    bool isRunning(const std::string& name);
    size_t size() const { return m_pids.size(); }
    /// Returns nullopt if no process of this name was started.
    std::optional<pid_t> pid(const std::string& name) const;
    /// Sends SIGTERM to all processes, then SIGKILL to those that are still running after the limit.
    void terminateAll(Duration limit);

private:
    std::optional<int> reap(const std::string& name);

    std::map<std::string, pid_t> m_pids;
};

} // namespace dragonflylane
