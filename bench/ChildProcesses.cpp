#include "bench/ChildProcesses.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

namespace dragonflylane {

namespace {

    constexpr int interruptedExitCode = 130;

    sigset_t endSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGTERM);
        return signals;
    }

    // Spawn attributes of a child: no blocked signals; standard output and error are appended to a file.
    class SpawnSetup {
    public:
        explicit SpawnSetup(const std::filesystem::path& output)
        {
            sigset_t none;
            sigemptyset(&none);
            posix_spawnattr_init(&m_attributes);
            posix_spawnattr_setsigmask(&m_attributes, &none);
            posix_spawnattr_setflags(&m_attributes, POSIX_SPAWN_SETSIGMASK);
            posix_spawn_file_actions_init(&m_actions);
            constexpr mode_t mode = 0644;
            posix_spawn_file_actions_addopen(
                &m_actions, STDOUT_FILENO, output.c_str(), O_WRONLY | O_CREAT | O_APPEND, mode);
            posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
        }

        ~SpawnSetup()
        {
            posix_spawn_file_actions_destroy(&m_actions);
            posix_spawnattr_destroy(&m_attributes);
        }

        SpawnSetup(const SpawnSetup&) = delete;
        SpawnSetup& operator=(const SpawnSetup&) = delete;

        const posix_spawnattr_t* attributes() const { return &m_attributes; }
        const posix_spawn_file_actions_t* actions() const { return &m_actions; }

    private:
        posix_spawnattr_t m_attributes;
        posix_spawn_file_actions_t m_actions;
    };

} // namespace

ChildProcesses::ChildProcesses()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "dragonflylane-experiment-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error(pattern + ": cannot create the temporary folder");
    m_folder = pattern;
    sigset_t signals = endSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::thread([this] { waitForSignals(); }).detach();
}

ChildProcesses::~ChildProcesses()
{
    killAll();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void ChildProcesses::waitForSignals()
{
    sigset_t signals = endSignals();
    int received = 0;
    while (sigwait(&signals, &received) != 0) { }
    killAll();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
    _exit(interruptedExitCode);
}

pid_t ChildProcesses::start(const std::vector<std::string>& command, const std::filesystem::path& output)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    SpawnSetup setup(output);
    std::lock_guard lock(m_mutex);
    pid_t pid = 0;
    int error = posix_spawn(&pid, arguments[0], setup.actions(), setup.attributes(), arguments.data(), environ);
    if (error != 0)
        throw std::runtime_error(command[0] + ": " + std::generic_category().message(error));
    m_running.insert(pid);
    return pid;
}

void ChildProcesses::signal(pid_t pid, int signal)
{
    std::lock_guard lock(m_mutex);
    if (m_running.contains(pid))
        ::kill(pid, signal);
}

void ChildProcesses::kill(pid_t pid)
{
    std::lock_guard lock(m_mutex);
    if (m_running.erase(pid) == 0)
        return;
    ::kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
}

void ChildProcesses::killAll()
{
    std::lock_guard lock(m_mutex);
    for (pid_t pid : m_running)
        ::kill(pid, SIGKILL);
    for (pid_t pid : m_running)
        waitpid(pid, nullptr, 0);
    m_running.clear();
}

ProcessUsage ChildProcesses::usage(pid_t pid)
{
    std::ifstream stream("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stream, text);
    // The second field, the program name in parentheses, may contain spaces. The fields after it start with number 3.
    size_t end = text.rfind(')');
    if (end == std::string::npos)
        return {};
    std::istringstream fields(text.substr(end + 1));
    constexpr size_t userTimeField = 14;
    constexpr size_t systemTimeField = 15;
    constexpr size_t residentPagesField = 24;
    std::array<std::string, residentPagesField + 1> values;
    for (size_t i = 3; i < values.size(); ++i)
        fields >> values[i];
    double ticks = std::atof(values[userTimeField].c_str()) + std::atof(values[systemTimeField].c_str());
    return { .cpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK)),
        .residentBytes = std::atof(values[residentPagesField].c_str()) * static_cast<double>(sysconf(_SC_PAGESIZE)) };
}

} // namespace dragonflylane
