#pragma once

// Child processes of an experiment. Each is killed by its recorded pid, also if the experiment is interrupted.

#include <filesystem>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dragonflylane {

/// CPU time and resident memory of a process, from /proc.
struct ProcessUsage {
    double cpuSeconds { 0 };
    double residentBytes { 0 };
};

/// Starts and kills child processes. Thread-safe. A program must have only one instance, because it also owns the
/// temporary folder and the handling of signals.
class ChildProcesses {
public:
    /// Creates the temporary folder, blocks SIGINT and SIGTERM, and starts a thread that waits for them. Must be
    /// constructed before any other thread starts, so that all threads inherit the signal mask. Throws
    /// std::runtime_error.
    ChildProcesses();
    /// Kills the remaining processes and removes the folder.
    ~ChildProcesses();
    ChildProcesses(const ChildProcesses&) = delete;
    ChildProcesses& operator=(const ChildProcesses&) = delete;

    const std::filesystem::path& folder() const { return m_folder; }

    /// Starts a program with its output appended to a file. Throws std::runtime_error.
    pid_t start(const std::vector<std::string>& command, const std::filesystem::path& output);
    void signal(pid_t, int signal);
    /// Sends SIGKILL and waits for the process to exit.
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
