// Runs real daemons with upstreams that crash when they begin to run one request, and sends that request again and
// again while connections are kept, daemons are killed and the route moves.

#include "tests/LoopbackMesh.h"

#include <array>
#include <gtest/gtest.h>
#include <regex>
#include <set>
#include <thread>

namespace dragonflylane {
namespace {

    using std::chrono::milliseconds;

    constexpr const char* crashingTarget = "/crash/7";
    // Two deaths lead to quarantine. While the second one is being reported, one more copy may reach an upstream.
    constexpr size_t allowedCrashes = 3;
    // Hosts 1 to 3 have an upstream of the catalogue, host 4 has one of the archive.
    constexpr size_t archiveHost = 4;
    constexpr Duration downtime = milliseconds(300);

    std::string planWithRouteTo(const std::string& service)
    {
        return R"({"changes": [
            {"setService": {"name": "catalogue", "timeoutMs": 2000}},
            {"setService": {"name": "archive", "timeoutMs": 2000}},
            {"setRoute": {"name": "main", "pathPrefix": "/", "idempotentMethods": ["GET"],
             "split": [{"service": ")"
            + service + R"(", "weight": 1}]}},
            {"allowCall": {"caller": "client", "callee": "catalogue"}},
            {"allowCall": {"caller": "client", "callee": "archive"}}]})";
    }

    class QuarantineProcessTest : public testing::Test {
    protected:
        struct Upstream {
            uint16_t port { 0 };
            TimePoint startAt;
            bool wasStarted { false };
            size_t crashes { 0 };
        };

        QuarantineProcessTest()
        {
            std::vector<uint16_t> ports = freePorts(m_upstreams.size());
            for (size_t i = 0; i < m_upstreams.size(); ++i)
                m_upstreams[i].port = ports[i];
        }

        void startMesh()
        {
            ASSERT_TRUE(m_mesh.confirm(planWithRouteTo("catalogue")));
            m_routedHosts = { 1, 2, 3 };
            ASSERT_TRUE(awaitService());
        }

        void moveRouteToArchive()
        {
            ASSERT_TRUE(m_mesh.confirm(planWithRouteTo("archive")));
            m_routedHosts = { archiveHost };
        }

        static std::string upstreamName(size_t host) { return "upstream-" + std::to_string(host); }

        // Starts each upstream that is not running, after a pause if it has crashed.
        void keepUpstreamsRunning()
        {
            for (size_t host = 1; host <= m_upstreams.size(); ++host) {
                Upstream& upstream = m_upstreams[host - 1];
                if (m_mesh.processes().isRunning(upstreamName(host)))
                    continue;
                if (std::exchange(upstream.wasStarted, false)) {
                    ++upstream.crashes;
                    upstream.startAt = BootClock::now() + downtime;
                }
                if (BootClock::now() >= upstream.startAt)
                    startUpstream(host);
            }
        }

        void startUpstream(size_t host)
        {
            m_upstreams[host - 1].wasStarted = true;
            m_mesh.processes().start({ .name = upstreamName(host),
                .program = BINARY_DIR "/UpstreamStandIn",
                .arguments = { "--listen", loopback(m_upstreams[host - 1].port), "--daemon",
                    loopback(m_mesh.ports(host).api), "--id", upstreamName(host), "--service",
                    host == archiveHost ? "archive" : "catalogue", "--crash-on", "/crash" },
                .logFile = (m_mesh.folder() / (upstreamName(host) + ".log")).string() });
        }

        /// Waits until every upstream that the route leads to has answered a request since the call.
        bool awaitService()
        {
            std::set<size_t> silent = m_routedHosts;
            auto isServed = [&] {
                keepUpstreamsRunning();
                std::string body = bodyOf(m_mesh.call(0, "/ok/" + std::to_string(m_next++)));
                std::erase_if(silent, [&](size_t host) { return body.find(upstreamName(host)) != std::string::npos; });
                return silent.empty();
            };
            return waitUntil(isServed, LoopbackMesh::processLimit);
        }

        /// Sends the crashing request this often, each time once all upstreams are in use again.
        void sendCrashingRequest(int times)
        {
            for (int i = 0; i < times; ++i) {
                ASSERT_TRUE(awaitService());
                EXPECT_NE(statusOf(m_mesh.call(0, crashingTarget)), 200);
            }
            ASSERT_TRUE(awaitService());
        }

        /// Ends the quarantine of the crashing request as an operator would. True once it is acknowledged.
        bool release() const
        {
            std::string status = bodyOf(exchange(m_mesh.ports(0).api, "GET", "/v1/status", ""));
            std::smatch match;
            if (!std::regex_search(status, match, std::regex(R"("fingerprint":"?(\d+))")))
                return false;
            std::string target = "/v1/quarantine/" + match[1].str() + "/release";
            return statusOf(exchange(m_mesh.ports(0).api, "POST", target, "")) == 200;
        }

        size_t crashes() const
        {
            size_t sum = 0;
            for (const Upstream& upstream : m_upstreams)
                sum += upstream.crashes;
            return sum;
        }

        LoopbackMesh m_mesh { { .hosts = { "entry", "owner-1", "owner-2", "owner-3", "owner-4" } } };
        std::array<Upstream, archiveHost> m_upstreams;
        std::set<size_t> m_routedHosts;
        unsigned m_next { 0 };
    };

    // Guards against a request that crashes every upstream and is never quarantined, because it was sent on connections
    // that had carried requests before.
    TEST_F(QuarantineProcessTest, RequestThatCrashesUpstreamsOnKeptConnectionsIsQuarantined)
    {
        startMesh();
        sendCrashingRequest(6);
        EXPECT_LE(crashes(), allowedCrashes);
    }

    // Guards against a quarantine that ends as the daemons that know of it are killed and restarted one after the
    // other.
    TEST_F(QuarantineProcessTest, QuarantineOutlastsTheRestartOfEveryDaemon)
    {
        startMesh();
        sendCrashingRequest(4);
        size_t before = crashes();
        for (size_t host = 0; host < m_mesh.size(); ++host) {
            m_mesh.kill(host);
            ASSERT_TRUE(m_mesh.keepRunning(host));
            ASSERT_TRUE(awaitService());
        }
        sendCrashingRequest(3);
        EXPECT_EQ(crashes(), before);
    }

    // Guards against a quarantine that every daemon has forgotten, because all of them were killed at the same moment:
    // the request would crash upstreams again.
    TEST_F(QuarantineProcessTest, QuarantineOutlastsTheKillOfEveryDaemon)
    {
        startMesh();
        sendCrashingRequest(4);
        size_t before = crashes();
        m_mesh.killAll();
        ASSERT_TRUE(m_mesh.keepAllRunning());
        sendCrashingRequest(3);
        EXPECT_EQ(crashes(), before);
    }

    // Guards against a quarantine that an operator has ended and that comes back with a restart.
    TEST_F(QuarantineProcessTest, ReleaseOutlastsTheKillOfEveryDaemon)
    {
        startMesh();
        sendCrashingRequest(4);
        size_t before = crashes();
        ASSERT_TRUE(release());
        m_mesh.killAll();
        ASSERT_TRUE(m_mesh.keepAllRunning());
        sendCrashingRequest(1);
        EXPECT_GT(crashes(), before);
    }

    // Guards against a request that is quarantined for one service and crashes the upstreams of another one, because
    // its route was moved there.
    TEST_F(QuarantineProcessTest, QuarantineHoldsWhenTheRouteMovesToAnotherService)
    {
        startMesh();
        sendCrashingRequest(4);
        moveRouteToArchive();
        sendCrashingRequest(2);
        EXPECT_EQ(m_upstreams[archiveHost - 1].crashes, 0U);
    }

} // namespace
} // namespace dragonflylane
