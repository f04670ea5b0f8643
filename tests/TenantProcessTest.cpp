// Runs two real daemons with the platform's API: the control host, and the owner of a backend that the test plays. The
// configuration holds tenants with API keys.

#include "tests/LoopbackMesh.h"
#include "tests/UpstreamThread.h"

#include <gtest/gtest.h>
#include <string>
#include <thread>

namespace dragonflylane {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t control = 0;
    constexpr size_t owner = 1;
    const std::string firstKey = "first-secret-key";
    const std::string secondKey = "second-secret-key";

    std::string documentWith(int version, int base, const std::string& key, const std::string& allotment = {})
    {
        return R"({"version":"r)" + std::to_string(version) + R"(","base_version":)"
            + (base == 0 ? "null" : "\"r" + std::to_string(base) + "\"")
            + R"(,"routes":[{"name":"main","host":"localhost","path_prefix":"/","kind":"safe","timeout_s":4,)"
              R"("priority":1,"service":"catalogue","max_attempts":1},{"name":"open","host":"localhost",)"
              R"("path_prefix":"/open","kind":"safe","timeout_s":4,"priority":1,"service":"catalogue",)"
              R"("max_attempts":1,"public":true}],"services":[{"name":"catalogue"}],"limits":{},)"
              R"("tenants":[{"name":"north","api_keys":[")"
            + key + R"("],"priority":2)" + allotment + "}]}";
    }

    std::string bearer(const std::string& key)
    {
        return "Authorization: Bearer " + key + "\r\n";
    }

    class TenantProcessTest : public testing::Test {
    protected:
        TenantProcessTest()
        {
            m_upstream.with([](StatingUpstream& upstream) { upstream.setEchoedHeader("X-Request-Id"); });
        }

        /// Puts the document, retrying until the mesh has a leader.
        bool put(const std::string& document)
        {
            uint16_t api = m_mesh.ports(control).api;
            return waitUntil(
                [&] {
                    return m_mesh.keepAllRunning()
                        && statusOf(exchange(api, "POST", "/v1/Config.Put", document)) == 200;
                },
                LoopbackMesh::processLimit);
        }

        /// Puts a document until it is refused for good. A status 5xx asks the operator to send it again.
        bool isRefused(const std::string& document)
        {
            int statusClass = 5;
            uint16_t api = m_mesh.ports(control).api;
            waitUntil(
                [&] {
                    statusClass = statusOf(exchange(api, "POST", "/v1/Config.Put", document)) / 100;
                    return statusClass != 5 && statusClass != 0;
                },
                LoopbackMesh::processLimit);
            return statusClass == 4;
        }

        bool startMesh()
        {
            return put(documentWith(1, 0, firstKey))
                && waitUntil([this] { return isLetIn(control, firstKey); }, LoopbackMesh::processLimit);
        }

        bool report() const
        {
            std::string body = R"({"address":")" + m_upstream.endpoint().toString()
                + R"(","born":1760000000123,"info":{"service":"catalogue","version":"v1","zone":"a","slots":12},)"
                  R"("status":{"state":"ready","seq":1,"cold_left_s":0}})";
            return statusOf(exchange(m_mesh.ports(owner).api, "POST", "/v1/Instances.Heartbeat/i-1", body)) == 200;
        }

        /// Sends a request with these header lines and returns the status of the response.
        int status(size_t host, const std::string& headers, const std::string& target = "/title") const
        {
            RawSocket socket = RawSocket::connectTo(m_mesh.ports(host).callers);
            socket.write("GET " + target + " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n" + headers + "\r\n");
            return statusOf(socket.readUntilClosed());
        }

        /// Also renews the lease of the backend, since a wait may last longer than it.
        bool isLetIn(size_t host, const std::string& key) const { return report() && status(host, bearer(key)) == 200; }

        /// Value of a header of the latest request that reached the backend.
        std::string receivedHeader(const std::string& name)
        {
            return m_upstream.with(
                [&](StatingUpstream& upstream) { return std::string(upstream.lastRequest().header(name)); });
        }

        std::string logOf(size_t host) const
        {
            std::ifstream file(m_mesh.folder() / (m_mesh.name(host) + ".log"));
            return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        }

        LoopbackMesh m_mesh { { .hosts = { "control", "owner" }, .program = BINARY_DIR "/dragonflylane-platform" } };
        UpstreamThread m_upstream;
    };

    // Guards against calls without a known key that reach a backend, a key that leaves the entry daemon, and a tenant
    // that a caller states itself.
    TEST_F(TenantProcessTest, OnlyCallsWithAKeyAreLetInAndTheKeyStaysAtTheEntry)
    {
        ASSERT_TRUE(startMesh());
        size_t before = m_upstream.arrivals();
        for (size_t host : { control, owner }) {
            EXPECT_EQ(status(host, ""), 401);
            EXPECT_EQ(status(host, bearer("no-such-key")), 401);
            EXPECT_EQ(status(host, "X-Tenant: north\r\n"), 401);
            EXPECT_EQ(status(host, "X-Request-Id: absent.1\r\n"), 401);
            EXPECT_EQ(status(host, bearer(firstKey) + bearer("no-such-key")), 401);
        }
        EXPECT_EQ(m_upstream.arrivals(), before);
        for (size_t host : { control, owner }) {
            EXPECT_EQ(status(host, "X-Tenant: south\r\n" + bearer(firstKey) + "X-TENANT: south\r\n"), 200);
            EXPECT_EQ(receivedHeader("X-Tenant"), "north");
            EXPECT_EQ(receivedHeader("Authorization"), "");
            EXPECT_EQ(status(host, "X-Tenant: south\r\n" + bearer("no-such-key"), "/open"), 200);
            EXPECT_EQ(receivedHeader("X-Tenant"), "");
            EXPECT_EQ(receivedHeader("Authorization"), "");
            EXPECT_EQ(logOf(host).find(firstKey), std::string::npos);
        }
    }

    // Guards against an operator who can't see why a tenant complains, and against output that shows a key.
    TEST_F(TenantProcessTest, StatusAndMetricsShowTheCallsOfTheTenant)
    {
        ASSERT_TRUE(startMesh());
        uint16_t api = m_mesh.ports(control).api;
        std::string overview = exchange(api, "GET", "/v1/status", "");
        EXPECT_NE(overview.find(R"("requiresApiKeys":true,"tenantCount":1,"tenants":[{"name":"north","priority":2)"),
            std::string::npos)
            << overview;
        EXPECT_EQ(overview.find(firstKey), std::string::npos);
        EXPECT_NE(exchange(api, "GET", "/v1/metrics", "").find("tenant_served.north "), std::string::npos);
    }

    // Guards against a document that ends a daemon, or is in force in part.
    TEST_F(TenantProcessTest, RefusedDocumentsLeaveTheKeysInForce)
    {
        ASSERT_TRUE(startMesh());
        std::string many;
        for (int i = 0; i < 100'000; ++i)
            many += R"({"name":"t)" + std::to_string(i) + R"(","api_keys":["k)" + std::to_string(i) + R"("]},)";
        const std::string valid = documentWith(2, 1, secondKey);
        const std::string start = R"("tenants":[)";
        auto documentBeginning = [&](const std::string& tenants) {
            return std::string(valid).replace(valid.find(start), start.size(), start + tenants);
        };
        for (const std::string& tenants : { many, std::string(R"({"name":"","api_keys":["k"]},)"),
                 R"({"name":"south","api_keys":[")" + secondKey + R"("]},)" }) {
            EXPECT_TRUE(isRefused(documentBeginning(tenants))) << tenants.substr(0, 100);
            EXPECT_TRUE(waitUntil([&] { return isLetIn(control, firstKey); }, LoopbackMesh::processLimit));
            EXPECT_EQ(status(control, bearer(secondKey)), 401);
        }
        EXPECT_TRUE(put(documentBeginning(R"({"name":"south","api_keys":[")" + std::string(10'000, 'k') + R"("]},)")));
        EXPECT_TRUE(waitUntil([&] { return isLetIn(owner, std::string(10'000, 'k')); }, LoopbackMesh::processLimit));
    }

    // Guards against a key that stays valid after it was taken away, or is not valid after it was added.
    TEST_F(TenantProcessTest, KeysChangeWithTheConfiguration)
    {
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(put(documentWith(2, 1, secondKey)));
        for (size_t host : { control, owner }) {
            EXPECT_TRUE(waitUntil([&] { return isLetIn(host, secondKey); }, seconds(2)));
            EXPECT_EQ(status(host, bearer(firstKey)), 401);
        }
    }

    // Guards against a limit that holds for each daemon alone, and against callers who aren't told when to return.
    TEST_F(TenantProcessTest, AllotmentHoldsForAllDaemonsTogether)
    {
        constexpr int limit = 10;
        constexpr int requests = 60;
        ASSERT_TRUE(startMesh());
        ASSERT_TRUE(put(documentWith(2, 1, secondKey, R"(,"rate_per_s":1,"burst":5)")));
        ASSERT_TRUE(waitUntil([&] { return status(control, bearer(firstKey)) == 401; }, seconds(2)));
        ASSERT_TRUE(waitUntil([&] { return status(owner, bearer(firstKey)) == 401; }, seconds(2)));
        // A leader that has just started waits one window before it grants anything.
        ASSERT_TRUE(waitUntil([&] { return report() && status(control, bearer(secondKey)) == 200; }, seconds(10)));
        int served = 1;
        int refused = 0;
        TimePoint start = BootClock::now();
        for (int number = 0; number < requests; ++number) {
            int code = status(number % 2 == 0 ? control : owner, bearer(secondKey));
            served += code == 200 ? 1 : 0;
            refused += code == 429 ? 1 : 0;
        }
        ASSERT_LT(BootClock::now() - start, seconds(5)) << "all in one window";
        EXPECT_LE(served, limit);
        EXPECT_GE(served, limit - 1) << "rounding of two shares";
        EXPECT_EQ(served + refused, requests + 1);
        RawSocket socket = RawSocket::connectTo(m_mesh.ports(owner).callers);
        socket.write("GET /title HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n" + bearer(secondKey) + "\r\n");
        EXPECT_NE(socket.readUntilClosed().find("Retry-After: "), std::string::npos);
    }

    // Guards against a nested call that is refused although its parent runs, and one that is let in without a parent.
    TEST_F(TenantProcessTest, NestedCallIsLetInOnlyWhileItsParentRunsAtThisHost)
    {
        ASSERT_TRUE(startMesh());
        m_upstream.with([](StatingUpstream& upstream) { upstream.setServiceTime(milliseconds(1500)); });
        size_t before = m_upstream.arrivals();
        int parentStatus = 0;
        std::thread caller(
            [&] { parentStatus = status(owner, "X-Request-Id: parent\r\n" + bearer(firstKey), "/parent"); });
        EXPECT_TRUE(waitUntil([&] { return m_upstream.arrivals() > before; }, seconds(5)));
        m_upstream.with([](StatingUpstream& upstream) { upstream.setServiceTime(milliseconds(10)); });
        EXPECT_EQ(status(owner, "X-Request-Id: parent.1\r\nX-Tenant: south\r\n", "/child"), 200);
        EXPECT_EQ(receivedHeader("X-Tenant"), "north");
        EXPECT_EQ(status(owner, "X-Request-Id: other.1\r\n"), 401);
        EXPECT_EQ(status(control, "X-Request-Id: parent.1\r\n"), 401) << "the parent does not run at that host";
        caller.join();
        EXPECT_EQ(parentStatus, 200);
        EXPECT_EQ(status(owner, "X-Request-Id: parent.2\r\n"), 401);
    }

} // namespace
} // namespace dragonflylane
