#include "bench/ProcessGroup.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace dragonflylane {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 5 };
    constexpr int signalStatusBase = 128;
    constexpr size_t maxProcesses = 1024;

    // A signal handler may only access lock-free atomics, so the pids are stored here in addition to the groups.
    std::array<std::atomic<pid_t>, maxProcesses> runningPids;

    bool registerPid(pid_t pid)
    {
        for (auto& slot : runningPids) {
            pid_t expected = 0;
            if (slot.compare_exchange_strong(expected, pid))
                return true;
        }
        return false;
    }

    void unregisterPid(pid_t pid)
    {
        for (auto& slot : runningPids) {
            pid_t expected = pid;
            if (slot.compare_exchange_strong(expected, 0))
                return;
        }
    }

    void killAllAndExit(int signal)
    {
        for (const auto& slot : runningPids) {
            pid_t pid = slot.load();
            if (pid > 0)
                kill(pid, SIGKILL);
        }
        _exit(signalStatusBase + signal);
    }

    // File actions of a child: standard input is /dev/null, standard output and error are appended to the log.
    class FileActions {
    public:
        explicit FileActions(const std::string& logFile)
        {
            posix_spawn_file_actions_init(&m_actions);
            const char* path = logFile.empty() ? "/dev/null" : logFile.c_str();
            constexpr mode_t mode = 0644;
            posix_spawn_file_actions_addopen(&m_actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
            posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, path, O_WRONLY | O_CREAT | O_APPEND, mode);
            posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
        }
        ~FileActions() { posix_spawn_file_actions_destroy(&m_actions); }
        FileActions(const FileActions&) = delete;
        FileActions& operator=(const FileActions&) = delete;

        const posix_spawn_file_actions_t* actions() const { return &m_actions; }

    private:
        posix_spawn_file_actions_t m_actions {};
    };

} // namespace

ProcessGroup::~ProcessGroup()
{
    constexpr std::chrono::seconds limit { 3 };
    terminateAll(limit);
}

void ProcessGroup::killAllOnSignals()
{
    std::signal(SIGINT, killAllAndExit);
    std::signal(SIGTERM, killAllAndExit);
}

std::error_code ProcessGroup::start(const ProcessOptions& options)
{
    if (m_pids.contains(options.name))
        return std::make_error_code(std::errc::file_exists);
    std::vector<std::string> words { options.program };
    words.insert(words.end(), options.arguments.begin(), options.arguments.end());
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    FileActions files(options.logFile);
    pid_t pid = 0;
    int error = posix_spawn(&pid, options.program.c_str(), files.actions(), nullptr, arguments.data(), environ);
    if (error != 0)
        return { error, std::generic_category() };
    if (!registerPid(pid)) {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        return std::make_error_code(std::errc::too_many_files_open);
    }
    m_pids[options.name] = pid;
    return {};
}

bool ProcessGroup::signal(const std::string& name, int number)
{
    auto it = m_pids.find(name);
    return it != m_pids.end() && kill(it->second, number) == 0;
}

std::optional<int> ProcessGroup::reap(const std::string& name)
{
    auto it = m_pids.find(name);
    if (it == m_pids.end())
        return std::nullopt;
    int status = 0;
    if (waitpid(it->second, &status, WNOHANG) != it->second)
        return std::nullopt;
    unregisterPid(it->second);
    m_pids.erase(it);
    return WIFEXITED(status) ? WEXITSTATUS(status) : signalStatusBase + WTERMSIG(status);
}

std::optional<int> ProcessGroup::wait(const std::string& name, Duration limit)
{
    TimePoint end = BootClock::now() + limit;
    for (;;) {
        if (auto status = reap(name))
            return status;
        if (!m_pids.contains(name) || BootClock::now() >= end)
            return std::nullopt;
        std::this_thread::sleep_for(pollInterval);
    }
}

std::optional<pid_t> ProcessGroup::pid(const std::string& name) const
{
    auto found = m_pids.find(name);
    return found == m_pids.end() ? std::nullopt : std::optional(found->second);
}

bool ProcessGroup::isRunning(const std::string& name)
{
    reap(name);
    return m_pids.contains(name);
}

void ProcessGroup::terminateAll(Duration limit)
{
    for (const auto& [name, pid] : m_pids)
        kill(pid, SIGTERM);
    TimePoint end = BootClock::now() + limit;
    while (!m_pids.empty()) {
        std::string name = m_pids.begin()->first;
        Duration left = std::max(end - BootClock::now(), Duration::zero());
        if (wait(name, left))
            continue;
        signal(name, SIGKILL);
        constexpr std::chrono::seconds killLimit { 10 };
        if (!wait(name, killLimit))
            m_pids.erase(name);
    }
}

} // namespace dragonflylane
