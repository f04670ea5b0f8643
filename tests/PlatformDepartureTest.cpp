// Runs two real daemons with the platform's API: the control host, which is also the entry, and the owner of a backend
// that the test plays. The backend leaves, the owner is restarted, and a report that was sent before arrives late.

#include "tests/LoopbackMesh.h"
#include "tests/UpstreamThread.h"

#include <gtest/gtest.h>
#include <string>
#include <thread>

namespace dragonflylane {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr const char* plan = R"({"changes": [
        {"setService": {"name": "catalogue", "timeoutMs": 2000}},
        {"setRoute": {"name": "main", "pathPrefix": "/", "idempotentMethods": ["GET"],
         "split": [{"service": "catalogue", "weight": 1}]}},
        {"allowCall": {"caller": "client", "callee": "catalogue"}}]})";
    constexpr size_t entry = 0;
    constexpr size_t owner = 1;

    class PlatformDepartureTest : public testing::Test {
    protected:
        PlatformDepartureTest()
        {
            m_upstream.with([](StatingUpstream& upstream) { upstream.setEchoedHeader("X-Request-Id"); });
        }

        bool startMesh()
        {
            return m_mesh.confirm(plan)
                && waitUntil([this] { return report("ready", 4) && isServed(); }, LoopbackMesh::processLimit);
        }

        bool isServed() const { return statusOf(m_mesh.call(entry, "/title")) == 200; }

        /// Sends a status report of the backend; true if it is acknowledged.
        bool report(const std::string& state, int sequence, const std::string& born = "1760000000123") const
        {
            std::string body = R"({"address":")" + m_upstream.endpoint().toString() + R"(","born":)" + born
                + R"(,"info":{"service":"catalogue","version":"v1","zone":"a","slots":12},"status":{"state":")" + state
                + R"(","seq":)" + std::to_string(sequence) + R"(,"cold_left_s":0}})";
            return statusOf(exchange(api(), "POST", "/v1/Instances.Heartbeat/i-1", body)) == 200;
        }

        bool deregister() const
        {
            return statusOf(exchange(api(), "POST", "/v1/Instances.Deregister/i-1", R"({"born":1760000000123})"))
                == 200;
        }

        /// Reports the drain or the departure until it is acknowledged, as a backend does: a daemon refuses that while
        /// the log can't store it, so a disk that is slow for a second must not decide a test.
        bool drain(int sequence) const
        {
            return waitUntil([&] { return report("draining", sequence); }, LoopbackMesh::processLimit);
        }

        bool leave() const
        {
            return waitUntil([this] { return deregister(); }, LoopbackMesh::processLimit);
        }

        bool startOwner()
        {
            return waitUntil(
                [this] { return m_mesh.keepRunning(owner) && !exchange(api(), "GET", "/v1/ready", "").empty(); },
                LoopbackMesh::processLimit);
        }

        /// Waits until the membership has passed the departure on. Without calls, since their answers would pass it on
        /// too.
        static bool passOnDeparture()
        {
            std::this_thread::sleep_for(milliseconds(500));
            return true;
        }

        /// Calls for longer than the membership needs to pass on what the owner publishes.
        void expectNoRequests()
        {
            size_t before = m_upstream.arrivals();
            for (TimePoint end = BootClock::now() + seconds(2); BootClock::now() < end;) {
                isServed();
                std::this_thread::sleep_for(milliseconds(50));
            }
            EXPECT_EQ(m_upstream.arrivals(), before);
        }

        /// Starts all daemons again and waits until each of them is ready.
        bool startAll()
        {
            return waitUntil([this] { return m_mesh.keepAllRunning() && isReady(entry) && isReady(owner); },
                LoopbackMesh::processLimit);
        }

        bool isReady(size_t host) const
        {
            return statusOf(exchange(m_mesh.ports(host).api, "GET", "/v1/ready", "")) == 200;
        }

        uint16_t api() const { return m_mesh.ports(owner).api; }

        LoopbackMesh m_mesh { { .hosts = { "entry", "owner" }, .program = BINARY_DIR "/dragonflylane-platform" } };
        UpstreamThread m_upstream;
    };

    // Guards against a backend that has deregistered and is used again, because its daemon was killed and took a late
    // report of it as that of a new backend (review/5).
    TEST_F(PlatformDepartureTest, KilledDaemonIgnoresALateReportOfADeregisteredBackend)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(leave() && passOnDeparture());
        m_mesh.kill(owner);
        ASSERT_TRUE(startOwner());
        report("ready", 5);
        expectNoRequests();
        EXPECT_TRUE(report("ready", 1, "1760000009999") && waitUntil([this] { return isServed(); }, seconds(10)))
            << "the next process of the backend is used";
    }

    // Guards against the same after two kills: the process between them got no report.
    TEST_F(PlatformDepartureTest, DepartureOutlastsTwoKills)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(leave() && passOnDeparture());
        for (int i = 0; i < 2; ++i) {
            m_mesh.kill(owner);
            ASSERT_TRUE(startOwner());
            std::this_thread::sleep_for(seconds(1));
        }
        report("ready", 5);
        expectNoRequests();
    }

    // Guards against the same after a planned stop, in which the daemon withdraws its record.
    TEST_F(PlatformDepartureTest, StoppedDaemonIgnoresALateReportOfADeregisteredBackend)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(leave() && passOnDeparture());
        m_mesh.signal(owner, SIGTERM);
        ASSERT_TRUE(m_mesh.wait(owner, LoopbackMesh::processLimit));
        ASSERT_TRUE(startOwner());
        report("ready", 5);
        expectNoRequests();
    }

    // Guards against a backend that drains and is used again, because its daemon was killed and no longer knows that a
    // late report is older than the one that announced the drain.
    TEST_F(PlatformDepartureTest, KilledDaemonIgnoresAReportOlderThanTheDrain)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(drain(6) && passOnDeparture());
        m_mesh.kill(owner);
        ASSERT_TRUE(startOwner());
        report("ready", 5);
        expectNoRequests();
    }

    // Guards against a backend that has deregistered and is used again after a kill of every daemon, since the
    // departure that was acknowledged was only known to processes (review/10). The kill comes right behind the
    // acknowledgement.
    TEST_F(PlatformDepartureTest, DepartureOutlastsTheKillOfEveryDaemon)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(leave());
        m_mesh.killAll();
        ASSERT_TRUE(startAll());
        report("ready", 5);
        expectNoRequests();
        EXPECT_TRUE(report("ready", 1, "1760000009999") && waitUntil([this] { return isServed(); }, seconds(10)))
            << "the next process of the backend is used";
    }

    // Guards against the same for a backend that drains: a report that is older than the drain arrives late.
    TEST_F(PlatformDepartureTest, DrainOutlastsTheKillOfEveryDaemon)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(drain(6));
        m_mesh.killAll();
        ASSERT_TRUE(startAll());
        report("ready", 5);
        expectNoRequests();
        EXPECT_TRUE(report("ready", 7) && waitUntil([this] { return isServed(); }, seconds(10)))
            << "a later report ends the drain";
    }

    // Guards against the kill of a daemon right behind its acknowledgement, before the membership has passed it on.
    TEST_F(PlatformDepartureTest, DepartureOutlastsAKillRightBehindItsAcknowledgement)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(leave());
        m_mesh.kill(owner);
        ASSERT_TRUE(startOwner());
        report("ready", 5);
        expectNoRequests();
    }

    // Guards against a departure that is forgotten because it reached a daemon that had just been started and knew
    // nothing of the backend.
    TEST_F(PlatformDepartureTest, DepartureOfABackendThatTheDaemonDoesNotKnowOutlastsTheKillOfEveryDaemon)
    {
        ASSERT_TRUE(startMesh());
        m_mesh.killAll();
        ASSERT_TRUE(startAll());
        ASSERT_TRUE(leave());
        m_mesh.killAll();
        ASSERT_TRUE(startAll());
        report("ready", 5);
        expectNoRequests();
    }

    // Guards against a late report that is believed because the quorum comes back later than an owner that waits for it
    // would expect (review/10 on a busy machine).
    TEST_F(PlatformDepartureTest, DepartureOutlastsTheKillOfEveryDaemonIfTheQuorumComesBackLate)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(leave());
        m_mesh.killAll();
        ASSERT_TRUE(startOwner());
        std::this_thread::sleep_for(seconds(6));
        size_t before = m_upstream.arrivals();
        ASSERT_TRUE(m_mesh.keepAllRunning());
        // Reports that are late by different times, and calls from the first moment at which they can be served.
        for (TimePoint end = BootClock::now() + seconds(5); BootClock::now() < end;) {
            report("ready", 5);
            isServed();
            std::this_thread::sleep_for(milliseconds(20));
        }
        EXPECT_EQ(m_upstream.arrivals(), before);
        ASSERT_TRUE(startAll());
        expectNoRequests();
    }

    // Guards against an acknowledgement that can't be kept: without a control host nothing is stored.
    TEST_F(PlatformDepartureTest, DepartureIsNotAcknowledgedWhileItCannotBeStored)
    {
        ASSERT_TRUE(startMesh());
        m_mesh.kill(entry);
        EXPECT_FALSE(deregister());
        ASSERT_TRUE(startAll());
        EXPECT_TRUE(waitUntil([this] { return deregister(); }, seconds(10))) << "stored once the control host is back";
        report("ready", 5);
        expectNoRequests();
    }

} // namespace
} // namespace dragonflylane
