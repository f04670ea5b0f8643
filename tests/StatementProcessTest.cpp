// Runs two real daemons, an entry daemon and the owner of one upstream, which the test plays. The owner daemon is
// killed and started again while the upstream states a rate limit or that it is leaving.

#include "bench/ProcessGroup.h"
#include "dragonflylane/CallHeaders.h"
#include "tests/LoopbackSupport.h"
#include "tests/UpstreamThread.h"

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace dragonflylane {
namespace {

    namespace fs = std::filesystem;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration processLimit = seconds(30);
    constexpr const char* plan = R"({"changes": [
        {"setService": {"name": "catalogue", "timeoutMs": 2000}},
        {"setRoute": {"name": "catalogue", "pathPrefix": "/", "idempotentMethods": ["GET"],
         "split": [{"service": "catalogue", "weight": 1}]}},
        {"allowCall": {"caller": "client", "callee": "catalogue"}}]})";

    /// Threads that call one daemon over and over, each on new connections.
    class Callers {
    public:
        explicit Callers(uint16_t port)
        {
            constexpr int threads = 24;
            for (int i = 0; i < threads; ++i)
                m_threads.emplace_back([this, port] { run(port); });
        }

        ~Callers()
        {
            m_isStopped = true;
            for (std::thread& thread : m_threads)
                thread.join();
        }

    private:
        void run(uint16_t port)
        {
            while (!m_isStopped) {
                exchange(port, "GET", "/" + std::to_string(m_next++), "");
                std::this_thread::sleep_for(milliseconds(10));
            }
        }

        std::atomic<bool> m_isStopped { false };
        std::atomic<unsigned> m_next { 0 };
        std::vector<std::thread> m_threads;
    };

    class StatementProcessTest : public testing::Test {
    protected:
        StatementProcessTest()
            : m_folder(fs::temp_directory_path() / ("dragonflylane-statement-test." + std::to_string(getpid())))
        {
            // An earlier test of this process keeps the folder if it failed.
            fs::remove_all(m_folder);
            fs::create_directories(m_folder);
        }

        ~StatementProcessTest() override
        {
            m_processes.terminateAll(seconds(5));
            if (!HasFailure())
                fs::remove_all(m_folder);
        }

        struct Ports {
            uint16_t callers { 0 };
            uint16_t peer { 0 };
            uint16_t api { 0 };
        };

        void writeSettings(const std::string& host, const Ports& ports, uint16_t controlPeer) const
        {
            std::string control = loopback(controlPeer);
            std::ofstream(m_folder / (host + ".ini"))
                << "[mesh]\nid = statement-test\nseeds = " << control << "\n[host]\nid = " << host
                << "\n[listen]\ncallers = " << loopback(ports.callers) << "\npeer = " << loopback(ports.peer)
                << "\napi = " << loopback(ports.api) << "\n[calls]\nadmission = ranks\nhedging = no\n"
                << "[control]\nvoters = entry=" << control << "\ndata-folder = " << (m_folder / host).string() << "\n";
        }

        void startDaemon(const std::string& host)
        {
            m_processes.start({ .name = host,
                .program = BINARY_DIR "/dragonflylaned",
                .arguments = { "--settings", (m_folder / (host + ".ini")).string() },
                .logFile = (m_folder / (host + ".log")).string() });
        }

        bool keepsRunning(const std::string& host)
        {
            if (!m_processes.isRunning(host))
                startDaemon(host);
            return m_processes.isRunning(host);
        }

        bool announce() const
        {
            std::string answer = exchange(m_owner.api, "POST", "/v1/announce",
                R"({"id":"u-1","service":"catalogue","address":")" + m_upstream.endpoint().toString()
                    + R"(","slots":12,"state":"ready","instance":"1"})");
            return statusOf(answer) / 100 == 2;
        }

        int call() const { return statusOf(exchange(m_entry.callers, "GET", "/probe", "")); }

        bool startMesh()
        {
            std::vector<uint16_t> ports = freePorts(6);
            m_entry = { ports[0], ports[1], ports[2] };
            m_owner = { ports[3], ports[4], ports[5] };
            writeSettings("entry", m_entry, m_entry.peer);
            writeSettings("owner", m_owner, m_entry.peer);
            bool isPlanned = waitUntil(
                [this] {
                    return keepsRunning("entry") && keepsRunning("owner") && announce()
                        && confirmPlan(m_entry.api, plan);
                },
                processLimit);
            return isPlanned && waitUntil([this] { return announce() && call() == 200; }, processLimit);
        }

        void restartOwner()
        {
            m_processes.signal("owner", SIGKILL);
            m_processes.wait("owner", processLimit);
            EXPECT_TRUE(waitUntil([this] { return keepsRunning("owner") && announce(); }, processLimit));
        }

        /// Announces the upstream four times a second for this long.
        void announceFor(Duration length) const
        {
            for (TimePoint end = BootClock::now() + length; BootClock::now() < end;) {
                announce();
                std::this_thread::sleep_for(milliseconds(250));
            }
        }

        const fs::path m_folder;
        ProcessGroup m_processes;
        UpstreamThread m_upstream;
        Ports m_entry;
        Ports m_owner;
    };

    // Guards against an owner daemon that was killed, knows no limit after its start and fills all slots of an upstream
    // that states one. The entry daemon has passed the limit on and was in touch all the while.
    TEST_F(StatementProcessTest, KilledOwnerDaemonKeepsTheLimitThatTheEntryDaemonKnows)
    {
        constexpr double perSecond = 1;
        ASSERT_TRUE(startMesh());
        m_upstream.with([](StatingUpstream& upstream) {
            upstream.setHeaders({ { CallHeaderNames().upstreamRateLimit, "1" } });
            upstream.setServiceTime(milliseconds(600));
        });
        ASSERT_EQ(call(), 200);
        size_t before = 0;
        TimePoint killedAt;
        {
            Callers callers(m_entry.callers);
            announceFor(seconds(2));
            killedAt = BootClock::now();
            restartOwner();
            before = m_upstream.arrivals();
            announceFor(seconds(8));
        }
        EXPECT_GT(m_upstream.arrivals(), before) << "the owner serves again";
        size_t most
            = m_upstream.with([&](StatingUpstream& upstream) { return upstream.mostArrivals(killedAt, limitWindow); });
        EXPECT_LE(most, allowedRequests(perSecond));
    }

    // Guards against an upstream that has left, as callers of the entry daemon were told, and is in use again because
    // its owner daemon was killed and then got an announcement from before.
    TEST_F(StatementProcessTest, KilledOwnerDaemonDoesNotUseALeavingUpstreamAgain)
    {
        ASSERT_TRUE(startMesh());
        m_upstream.with([](StatingUpstream& upstream) {
            upstream.setHeaders({ { CallHeaderNames().upstreamLeaving, "1" } });
        });
        ASSERT_EQ(call(), 200);
        size_t before = m_upstream.arrivals();
        {
            Callers callers(m_entry.callers);
            announceFor(seconds(1));
            restartOwner();
            announceFor(seconds(6));
        }
        EXPECT_EQ(m_upstream.arrivals(), before);
    }

} // namespace
} // namespace dragonflylane
