// Runs the real daemon with an upstream and callers that send endless bodies, and checks the bound on its memory. The
// time limits are generous, because the result must not depend on the speed of the machine.

#include "bench/ProcessGroup.h"
#include "dragonflylane/BootClock.h"
#include "tests/LoopbackSupport.h"

#include <atomic>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace dragonflylane {
namespace {

    namespace fs = std::filesystem;

    constexpr size_t megabyte = 1 << 20;
    // Limit on the peak memory of the daemon process with the default budget of 32 MB for bodies.
    constexpr size_t peakLimit = 64 * megabyte;

    /// Answers ordinary requests. For a path with "/endless-KIND", sends an endless response of that kind until the
    /// connection is closed.
    class EndlessUpstream {
    public:
        EndlessUpstream()
            : m_acceptor([this] { acceptAll(); })
        {
        }

        ~EndlessUpstream()
        {
            m_isStopped = true;
            RawSocket::connectTo(m_listener.port()).close();
            m_acceptor.join();
            for (std::thread& thread : m_connections)
                thread.join();
        }

        uint16_t port() const { return m_listener.port(); }
        size_t endlessAnswers() const { return m_endless; }

    private:
        void acceptAll()
        {
            while (!m_isStopped)
                m_connections.emplace_back([this, socket = m_listener.accept()]() mutable { serve(socket); });
        }

        void serve(RawSocket& socket)
        {
            std::string head = socket.readUntil("\r\n\r\n");
            while (!head.empty() && !m_isStopped) {
                std::string path = head.substr(0, head.find("\r\n"));
                if (path.find("/endless-") != std::string::npos)
                    return sendEndlessResponse(socket, path);
                if (!socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
                    return;
                head = socket.readUntil("\r\n\r\n");
            }
        }

        void sendEndlessResponse(RawSocket& socket, const std::string& path)
        {
            ++m_endless;
            const std::string filler(megabyte / 16, 'x');
            std::string piece = filler;
            std::string first = "HTTP/1.1 200 OK\r\n\r\n";
            if (path.find("endless-chunks") != std::string::npos) {
                first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                piece = "10000\r\n" + filler + "\r\n";
            }
            if (path.find("endless-head") != std::string::npos)
                first = "HTTP/1.1 200 OK\r\nX-Filler: ";
            if (path.find("endless-junk") != std::string::npos)
                first = "";
            if (path.find("endless-fields") != std::string::npos) {
                first = "HTTP/1.1 200 OK\r\n";
                piece = "X-Filler: x\r\n";
            }
            if (path.find("endless-interim") != std::string::npos) {
                first = "";
                piece = "HTTP/1.1 100 Continue\r\n\r\n";
            }
            if (path.find("endless-extension") != std::string::npos)
                first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;";
            if (path.find("endless-trailer") != std::string::npos)
                first = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Filler: ";
            // More than any limit of the daemon, but a safe amount of traffic for the test machine.
            constexpr size_t maxBytes = 256 * megabyte;
            bool isOpen = socket.write(first);
            for (size_t sent = 0; isOpen && !m_isStopped && sent < maxBytes; sent += piece.size())
                isOpen = socket.write(piece);
        }

        RawListener m_listener;
        std::atomic<bool> m_isStopped { false };
        std::atomic<size_t> m_endless { 0 };
        std::vector<std::thread> m_connections;
        std::thread m_acceptor;
    };

    class EndlessBodyTest : public testing::Test {
    protected:
        EndlessBodyTest()
            : m_folder(fs::temp_directory_path() / ("dragonflylane-endless-test." + std::to_string(getpid())))
        {
            fs::create_directories(m_folder);
        }

        ~EndlessBodyTest() override
        {
            m_processes.terminateAll(std::chrono::seconds(5));
            if (!HasFailure())
                fs::remove_all(m_folder);
        }

        // Another process may take one of the chosen ports before the daemon opens it, so the start is retried until
        // the daemon keeps running.
        bool startDaemon()
        {
            return waitUntil([this] {
                RawListener callers;
                RawListener peer;
                RawListener api;
                m_callers = callers.port();
                m_api = api.port();
                auto address = [](uint16_t port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
                std::ofstream(m_folder / "daemon.ini")
                    << "[listen]\ncallers = " << address(m_callers) << "peer = " << address(peer.port())
                    << "api = " << address(m_api) << "[calls]\nmax-body-bytes = 67108864\nadmission = ranks\n"
                    << "[control]\ndata-folder = " << (m_folder / "data").string() << "\n";
                callers.close();
                peer.close();
                api.close();
                m_processes.start({ .name = "daemon",
                    .program = BINARY_DIR "/dragonflylaned",
                    .arguments = { "--settings", (m_folder / "daemon.ini").string() },
                    .logFile = (m_folder / "daemon.log").string() });
                std::this_thread::sleep_for(std::chrono::milliseconds(300));
                return m_processes.isRunning("daemon");
            });
        }

        bool announce() const
        {
            return statusOf(exchange(m_api, "POST", "/v1/announce",
                       R"({"id":"u-1","service":"catalogue","address":"127.0.0.1:)" + std::to_string(m_upstream.port())
                           + R"(","slots":16,"state":"ready","instance":"1"})"))
                / 100
                == 2;
        }

        bool confirmPlan() const
        {
            return dragonflylane::confirmPlan(m_api,
                R"({"changes": [{"setService": {"name": "catalogue", "timeoutMs": 20000}},
                    {"setRoute": {"name": "catalogue", "pathPrefix": "/", "idempotentMethods": ["GET"],
                     "split": [{"service": "catalogue", "weight": 1}]}},
                    {"allowCall": {"caller": "client", "callee": "catalogue"}}]})");
        }

        int call(const std::string& target) const { return statusOf(exchange(m_callers, "GET", target, "")); }

        /// Peak resident set size of the daemon in bytes.
        size_t peakBytes() const
        {
            std::ifstream status("/proc/" + std::to_string(m_processes.pid("daemon").value_or(0)) + "/status");
            for (std::string line; std::getline(status, line);) {
                constexpr std::string_view key = "VmHWM:";
                if (line.starts_with(key))
                    return std::stoull(line.substr(key.size())) * 1024;
            }
            return 0;
        }

        const fs::path m_folder;
        ProcessGroup m_processes;
        EndlessUpstream m_upstream;
        uint16_t m_callers { 0 };
        uint16_t m_api { 0 };
    };

    // Guards against a daemon that runs out of memory, and fails all calls, because of one faulty upstream or a few
    // callers. Also guards against passing on an endless response as complete.
    TEST_F(EndlessBodyTest, MemoryStaysBoundedAndOtherCallsAreServed)
    {
        ASSERT_TRUE(startDaemon());
        ASSERT_TRUE(waitUntil([this] { return announce() && confirmPlan(); }));
        ASSERT_TRUE(waitUntil([this] { return announce() && call("/small") == 200; }));
        size_t idleBytes = peakBytes();
        ASSERT_GT(idleBytes, 0U);

        std::atomic<bool> isDone { false };
        std::atomic<unsigned> served { 0 };
        std::atomic<unsigned> unserved { 0 };
        std::thread otherCaller([&] {
            while (!isDone) {
                announce();
                ++(call("/small") == 200 ? served : unserved);
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
            }
        });
        std::vector<std::thread> callers;
        std::atomic<unsigned> successes { 0 };
        for (const char* kind : { "chunks", "body", "head", "junk", "fields", "interim", "extension", "trailer" }) {
            for (int i = 0; i < 3; ++i) {
                callers.emplace_back([&, kind] {
                    int status = call(std::string("/endless-") + kind);
                    successes += status == 0 || status / 100 == 2 ? 1 : 0;
                });
            }
        }
        for (int i = 0; i < 6; ++i) {
            callers.emplace_back([&] {
                RawSocket socket = RawSocket::connectTo(m_callers);
                socket.write("POST /upload HTTP/1.1\r\nHost: localhost\r\nContent-Length: 60000000\r\n\r\n");
                successes += statusOf(socket.readUntil("\r\n\r\n")) / 100 == 2 ? 1 : 0;
            });
        }
        callers.emplace_back([&] {
            RawSocket socket = RawSocket::connectTo(m_callers);
            bool isOpen
                = socket.write("POST /upload HTTP/1.1\r\nHost: localhost\r\nTransfer-Encoding: chunked\r\n\r\n1;");
            for (size_t sent = 0; isOpen && sent < 2 * peakLimit; sent += megabyte)
                isOpen = socket.write(std::string(megabyte, 'x'));
            successes += statusOf(socket.readUntil("\r\n\r\n")) / 100 == 2 ? 1 : 0;
        });
        for (std::thread& caller : callers)
            caller.join();
        isDone = true;
        otherCaller.join();
        size_t peak = peakBytes();
        std::printf("idle %zu MB, peak %zu MB, %u other calls served, %u not served\n", idleBytes / megabyte,
            peak / megabyte, served.load(), unserved.load());
        EXPECT_EQ(successes, 0U);
        EXPECT_GE(m_upstream.endlessAnswers(), 24U);
        EXPECT_TRUE(m_processes.isRunning("daemon"));
        EXPECT_LT(peak, peakLimit);
        EXPECT_GT(served, 0U);
        EXPECT_EQ(unserved, 0U);
        EXPECT_EQ(call("/small"), 200);
    }

} // namespace
} // namespace dragonflylane
