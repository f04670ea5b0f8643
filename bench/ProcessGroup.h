#pragma once

// Processes that a test or the demo starts, and their end.
//
//     ProcessGroup processes;
//     processes.start({ .name = "a", .program = "build/dragonflylaned", .arguments = { "--settings", "a.ini" } });
//     processes.signal("a", SIGKILL);
//     processes.wait("a", limit);
//
// Every process is ended by its recorded id, never by name. The destructor ends all that are left; after
// endOnSignals() SIGINT and SIGTERM of this process end them too.

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
    /// Receives standard output and standard error, appended; discarded if empty.
    std::string logFile;
};

/// A set of child processes. Used from one thread.
class ProcessGroup {
public:
    ProcessGroup() = default;
    ~ProcessGroup();
    ProcessGroup(const ProcessGroup&) = delete;
    ProcessGroup& operator=(const ProcessGroup&) = delete;

    /// Ends all processes of all groups if this process receives SIGINT or SIGTERM, then exits with 128 + signal.
    static void endOnSignals();

    std::error_code start(const ProcessOptions&);
    /// False if no such process runs.
    bool signal(const std::string& name, int number);
    /// Waits for the end of a process. Nothing if it still runs at the limit; otherwise its exit status, or 128 +
    /// signal if a signal ended it.
    std::optional<int> wait(const std::string& name, Duration limit);
    bool isRunning(const std::string& name);
    size_t size() const { return m_pids.size(); }
    /// Nothing if no process of this name was started.
    std::optional<pid_t> pid(const std::string& name) const;
    /// SIGTERM to all, SIGKILL to those that are left after the limit.
    void endAll(Duration limit);

private:
    std::optional<int> reap(const std::string& name);

    std::map<std::string, pid_t> m_pids;
};

} // namespace dragonflylane
