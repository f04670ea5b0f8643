// Runs three real daemons: the control host, at which the calls enter, and the owners of an old and of a new upstream,
// which the test plays.

#include "tests/LoopbackMesh.h"
#include "tests/UpstreamThread.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::seconds;

    constexpr size_t controlHost = 0;
    constexpr size_t oldHost = 1;
    constexpr size_t newHost = 2;

    constexpr const char* plan = R"({"changes": [
        {"setService": {"name": "orders", "timeoutMs": 2000}},
        {"setRoute": {"name": "orders", "pathPrefix": "/", "idempotentMethods": ["GET"],
         "split": [{"service": "orders", "weight": 1}]}},
        {"allowCall": {"caller": "client", "callee": "orders"}}]})";

    class RolloutProcessTest : public testing::Test {
    protected:
        bool announce(size_t host, UpstreamThread& upstream, const std::string& version) const
        {
            std::string id = "u-" + m_mesh.name(host);
            std::string answer = exchange(m_mesh.ports(host).api, "POST", "/v1/announce",
                R"({"id":")" + id + R"(","service":"orders","address":")" + upstream.endpoint().toString()
                    + R"(","slots":12,"state":"ready","instance":"1","version":")" + version + R"("})");
            return statusOf(answer) == 200;
        }

        bool announceBoth()
        {
            return m_mesh.keepAllRunning() && announce(oldHost, m_old, "v1") && announce(newHost, m_new, "v2");
        }

        bool startRollout() const
        {
            std::string order = R"({"service":"orders","version":"v2","durationMs":20000})";
            return statusOf(exchange(m_mesh.ports(controlHost).api, "POST", "/v1/rollouts", order)) == 200;
        }

        bool isRolledBack() const
        {
            std::string answer = exchange(m_mesh.ports(controlHost).api, "GET", "/v1/rollouts/orders", "");
            return bodyOf(answer).find("\"rolled_back\"") != std::string::npos;
        }

        /// Announces the upstreams and makes some calls. Returns the number of calls that were answered with 200.
        int callSome()
        {
            constexpr int calls = 10;
            EXPECT_TRUE(announceBoth());
            int served = 0;
            for (int i = 0; i < calls; ++i)
                served += statusOf(m_mesh.call(controlHost, "/" + std::to_string(i))) == 200 ? 1 : 0;
            return served;
        }

        LoopbackMesh m_mesh { { .hosts = { "control", "old", "new" } } };
        UpstreamThread m_old;
        UpstreamThread m_new;
    };

    // A version fails all of its requests, and the control host is killed after the roll-back.
    TEST_F(RolloutProcessTest, FailingVersionIsRolledBackAndStaysSo)
    {
        ASSERT_TRUE(m_mesh.confirm(plan));
        ASSERT_TRUE(waitUntil([this] { return announceBoth() && callSome() > 0; }, LoopbackMesh::processLimit));
        ASSERT_TRUE(startRollout());
        m_new.with([](StatingUpstream& upstream) { upstream.setStatus(500); });
        ASSERT_TRUE(waitUntil(
            [this] {
                callSome();
                return isRolledBack();
            },
            LoopbackMesh::processLimit));
        m_mesh.kill(controlHost);
        ASSERT_TRUE(waitUntil([this] { return callSome() > 0; }, LoopbackMesh::processLimit));
        size_t before = m_new.arrivals();
        int served = 0;
        for (int i = 0; i < 20; ++i)
            served += callSome();
        EXPECT_EQ(m_new.arrivals(), before);
        EXPECT_EQ(served, 200);
        EXPECT_TRUE(isRolledBack());
    }

} // namespace

} // namespace dragonflylane
