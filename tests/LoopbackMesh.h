#pragma once

// Real daemons on loopback for tests with processes. The first daemon is the control host and the seed of the others.

#include "bench/ProcessGroup.h"
#include "tests/LoopbackSupport.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <string>
#include <unistd.h>
#include <vector>

namespace dragonflylane {

struct LoopbackMeshOptions {
    std::vector<std::string> hosts;
    /// Further lines of the section [calls].
    std::string callSettings { "admission = ranks\nhedging = no\n" };
    std::string program { BINARY_DIR "/dragonflylaned" };
};

class LoopbackMesh {
public:
    struct Ports {
        uint16_t callers { 0 };
        uint16_t peer { 0 };
        uint16_t api { 0 };
    };

    static constexpr Duration processLimit = std::chrono::seconds(30);

    explicit LoopbackMesh(LoopbackMeshOptions options)
        : m_options(std::move(options))
        , m_folder(std::filesystem::temp_directory_path() / ("dragonflylane-mesh-test." + std::to_string(getpid())))
    {
        // An earlier test of this process keeps the folder if it failed.
        std::filesystem::remove_all(m_folder);
        std::filesystem::create_directories(m_folder);
        std::vector<uint16_t> ports = freePorts(3 * size());
        for (size_t i = 0; i < size(); ++i)
            m_ports.push_back({ ports[3 * i], ports[3 * i + 1], ports[3 * i + 2] });
        for (size_t i = 0; i < size(); ++i)
            writeSettings(i);
    }

    ~LoopbackMesh()
    {
        m_processes.terminateAll(std::chrono::seconds(5));
        if (!testing::Test::HasFailure())
            std::filesystem::remove_all(m_folder);
    }

    LoopbackMesh(const LoopbackMesh&) = delete;
    LoopbackMesh& operator=(const LoopbackMesh&) = delete;

    size_t size() const { return m_options.hosts.size(); }
    const Ports& ports(size_t host) const { return m_ports[host]; }

    /// Starts the processes that are not running. Returns false if one is not running afterwards.
    bool keepAllRunning()
    {
        bool isRunning = true;
        for (size_t i = 0; i < size(); ++i)
            isRunning = keepRunning(i) && isRunning;
        return isRunning;
    }

    bool keepRunning(size_t host)
    {
        if (!m_processes.isRunning(name(host)))
            start(host);
        return m_processes.isRunning(name(host));
    }

    void signal(size_t host, int number) { m_processes.signal(name(host), number); }
    std::optional<int> wait(size_t host, Duration limit) { return m_processes.wait(name(host), limit); }

    /// Ends a process at once and waits until it is gone.
    void kill(size_t host)
    {
        signal(host, SIGKILL);
        wait(host, processLimit);
    }

    /// Ends all processes at the same moment and waits until they are gone.
    void killAll()
    {
        for (size_t host = 0; host < size(); ++host)
            signal(host, SIGKILL);
        for (size_t host = 0; host < size(); ++host)
            wait(host, processLimit);
    }

    /// Confirms a plan at the control host, retrying until the mesh has a leader.
    bool confirm(const std::string& plan)
    {
        return waitUntil([&] { return keepAllRunning() && confirmPlan(m_ports[0].api, plan); }, processLimit);
    }

    /// Sends one request to a daemon and returns the whole response.
    std::string call(size_t host, const std::string& target) const
    {
        return exchange(m_ports[host].callers, "GET", target, "");
    }

    const std::string& name(size_t host) const { return m_options.hosts[host]; }
    ProcessGroup& processes() { return m_processes; }
    /// Folder for files of the test. It is kept if the test fails.
    const std::filesystem::path& folder() const { return m_folder; }

private:
    void writeSettings(size_t host) const
    {
        std::string control = loopback(m_ports[0].peer);
        const Ports& ports = m_ports[host];
        std::ofstream(m_folder / (name(host) + ".ini"))
            << "[mesh]\nid = mesh-test\nseeds = " << control << "\n[host]\nid = " << name(host)
            << "\n[listen]\ncallers = " << loopback(ports.callers) << "\npeer = " << loopback(ports.peer)
            << "\napi = " << loopback(ports.api) << "\n[calls]\n"
            << m_options.callSettings << "[control]\nvoters = " << name(0) << "=" << control
            << "\ndata-folder = " << (m_folder / name(host)).string() << "\n";
    }

    void start(size_t host)
    {
        m_processes.start({ .name = name(host),
            .program = m_options.program,
            .arguments = { "--settings", (m_folder / (name(host) + ".ini")).string() },
            .logFile = (m_folder / (name(host) + ".log")).string() });
    }

    const LoopbackMeshOptions m_options;
    const std::filesystem::path m_folder;
    ProcessGroup m_processes;
    std::vector<Ports> m_ports;
};

} // namespace dragonflylane
