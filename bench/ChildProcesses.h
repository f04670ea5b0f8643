#pragma once

// Processes that this program started. Every one is ended by its recorded pid, also when the program is interrupted.

#include <filesystem>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflylane {

/// Processor time and memory of a process, from /proc.
struct ProcessUsage {
    double processorSeconds { 0 };
    double residentBytes { 0 };
};

/// Thread-safe. One instance for the program, because it also owns the temporary folder and the signals.
class ChildProcesses {
public:
    /// Creates the temporary folder and blocks SIGINT and SIGTERM, which a thread of its own then waits for. Must be
    /// made before any other thread. Throws std::runtime_error.
    ChildProcesses();
    /// Kills what still runs and removes the folder.
    ~ChildProcesses();
    ChildProcesses(const ChildProcesses&) = delete;
    ChildProcesses& operator=(const ChildProcesses&) = delete;

    const std::filesystem::path& folder() const { return m_folder; }

    /// Starts a program with its output appended to a file. Throws std::runtime_error.
    pid_t start(const std::vector<std::string>& command, const std::filesystem::path& output);
    void signal(pid_t, int signal);
    /// Kills with SIGKILL and waits for the end.
    void kill(pid_t);
    void killAll();

    static ProcessUsage usage(pid_t);

private:
    void waitForSignals();

    std::filesystem::path m_folder;
    std::mutex m_mutex;
    std::set<pid_t> m_running;
};

} // namespace dragonflylane
