// Runs a real daemon and checks the limits on callers that the configuration sets.

#include "tests/LoopbackMesh.h"

#include <gtest/gtest.h>

namespace dragonflylane {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr unsigned statusHeadersTooLarge = 431;
    constexpr unsigned statusNotFound = 404;
    constexpr size_t headerBytes = 30'000;

    class CallerLimitsProcessTest : public testing::Test {
    protected:
        /// Status of the response to a request with a header of this size.
        unsigned statusWithHeader(size_t bytes) const
        {
            RawSocket caller = RawSocket::connectTo(m_mesh.ports(0).callers);
            caller.write("GET /none HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(bytes, 'x') + "\r\n\r\n");
            return static_cast<unsigned>(statusOf(caller.readUntil("\r\n\r\n")));
        }

        LoopbackMesh m_mesh { { .hosts = { "host" } } };
    };

    // Guards against limits that the operator sets and that no daemon applies: callers within them are refused.
    TEST_F(CallerLimitsProcessTest, ConfiguredLimitsAreApplied)
    {
        ASSERT_TRUE(waitUntil([this] { return m_mesh.keepAllRunning() && statusWithHeader(10) != 0; }));
        EXPECT_TRUE(waitUntil([this] { return statusWithHeader(headerBytes) == statusHeadersTooLarge; }, seconds(5)));
        ASSERT_TRUE(m_mesh.confirm(
            R"({"changes": [{"setMeshPolicy": {"openCalls": true, "maxHeaderBytes": 65536, "idleTimeoutMs": 500}}]})"));
        EXPECT_TRUE(waitUntil([this] { return statusWithHeader(headerBytes) == statusNotFound; }, seconds(5)));
        RawSocket idle = RawSocket::connectTo(m_mesh.ports(0).callers);
        idle.write("GET /none HTTP/1.1\r\nHost: a\r\n\r\n");
        TimePoint start = BootClock::now();
        idle.readUntilClosed();
        EXPECT_LT(BootClock::now() - start, seconds(5)) << "closed after the configured idle time";
    }

} // namespace
} // namespace dragonflylane
