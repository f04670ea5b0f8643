// Stops one of two real daemons in calm, while its callers go on sending requests to an upstream of the other one that
// never answers some of them.

#include "tests/LoopbackMesh.h"

#include <atomic>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>
#include <vector>

namespace dragonflylane {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr const char* plan = R"({"changes": [
        {"setService": {"name": "catalogue", "timeoutMs": 2000}},
        {"setRoute": {"name": "main", "pathPrefix": "/", "idempotentMethods": ["GET"],
         "split": [{"service": "catalogue", "weight": 1}]}},
        {"allowCall": {"caller": "client", "callee": "catalogue"}}]})";
    constexpr size_t owner = 0;
    constexpr size_t stopped = 1;
    constexpr seconds shutdownLimit { 3 };
    // The daemon may have closed its listener for requests that are sent later than this after the signal.
    constexpr Duration lastSending = shutdownLimit - milliseconds(500);

    struct Exchange {
        TimePoint sentAt;
        milliseconds timeout;
        std::string answer;
    };

    class ShutdownProcessTest : public testing::Test {
    protected:
        bool startMesh()
        {
            return m_mesh.confirm(plan) && waitUntil([this] { return isServed(); }, LoopbackMesh::processLimit);
        }

        bool isServed()
        {
            if (!m_mesh.processes().isRunning("upstream"))
                m_mesh.processes().start({ .name = "upstream",
                    .program = BINARY_DIR "/UpstreamStandIn",
                    .arguments = { "--listen", m_upstream, "--daemon", loopback(m_mesh.ports(owner).api), "--id", "u-1",
                        "--service", "catalogue", "--slots", "1000", "--stall-on", "/stall" },
                    .logFile = (m_mesh.folder() / "upstream.log").string() });
            return statusOf(m_mesh.call(stopped, "/ok")) == 200;
        }

        /// Sends one request that the upstream never answers.
        void sendStalled(milliseconds timeout)
        {
            Exchange result { BootClock::now(), timeout, {} };
            RawSocket socket = RawSocket::connectTo(m_mesh.ports(stopped).callers);
            socket.write("GET /stall HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\nDragonflylane-Deadline-Ms: "
                + std::to_string(timeout.count()) + "\r\n\r\n");
            result.answer = socket.readUntilClosed();
            std::lock_guard lock(m_mutex);
            m_exchanges.push_back(std::move(result));
        }

        // Sends requests whose timeouts end within the last milliseconds in which the daemon answers, or just after.
        void runCaller(int number)
        {
            constexpr Duration pause = milliseconds(100);
            while (BootClock::now() - m_signalledAt < lastSending) {
                Duration left = shutdownLimit - (BootClock::now() - m_signalledAt);
                sendStalled(std::chrono::duration_cast<milliseconds>(left) - milliseconds(5 * number));
                std::this_thread::sleep_for(pause);
            }
        }

        LoopbackMesh m_mesh { { .hosts = { "owner", "entry" },
            .callSettings = "admission = ranks\nhedging = no\ndrain-timeout-s = 3\nleave-notice-s = 2.5\n" } };
        const std::string m_upstream { loopback(freePorts(1).front()) };
        TimePoint m_signalledAt;
        std::mutex m_mutex;
        std::vector<Exchange> m_exchanges;
    };

    // Guards against requests that come late in a planned stop, are accepted and passed on, and are cut without an
    // answer when the process ends.
    TEST_F(ShutdownProcessTest, EveryAcceptedRequestIsAnswered)
    {
        constexpr int callerCount = 100;
        constexpr int earlyCount = 10;
        ASSERT_TRUE(startMesh());
        std::vector<std::thread> callers;
        callers.reserve(earlyCount + callerCount);
        // Accepted before the signal, with a deadline after the end of the process.
        for (int i = 0; i < earlyCount; ++i)
            callers.emplace_back([this] { sendStalled(2 * shutdownLimit); });
        std::this_thread::sleep_for(milliseconds(100));
        m_signalledAt = BootClock::now();
        m_mesh.signal(stopped, SIGTERM);
        for (int i = 0; i < callerCount; ++i)
            callers.emplace_back([this, i] { runCaller(i); });
        for (std::thread& caller : callers)
            caller.join();
        EXPECT_EQ(m_mesh.wait(stopped, seconds(5)), 0);
        size_t passedOn = 0;
        for (const Exchange& exchange : m_exchanges) {
            auto sent = std::chrono::duration_cast<milliseconds>(exchange.sentAt - m_signalledAt).count();
            EXPECT_NE(statusOf(exchange.answer), 0)
                << "sent " << sent << " ms after the signal, timeout " << exchange.timeout.count() << " ms";
            passedOn += statusOf(exchange.answer) == 504 ? 1 : 0;
        }
        EXPECT_GT(passedOn, 0U) << "requests are still served during the stop";
    }

} // namespace
} // namespace dragonflylane
