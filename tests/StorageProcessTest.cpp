// Starts a real control daemon while its disk refuses writes.

#include "tests/LoopbackMesh.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <thread>

namespace dragonflylane {
namespace {

    namespace fs = std::filesystem;
    using std::chrono::seconds;

    constexpr const char* plan = R"({"changes": [{"setService": {"name": "catalogue"}}]})";

    // Guards against a daemon that ends, and is missing until an operator starts it again, because its disk was full
    // for a few seconds while it started. A folder in place of the new file makes every write fail like that.
    TEST(StorageProcessTest, DaemonThatStartsOnAFullDiskWaitsForIt)
    {
        LoopbackMesh mesh({ .hosts = { "host" } });
        ASSERT_TRUE(mesh.confirm(plan));
        mesh.kill(0);
        const fs::path obstacle = mesh.folder() / mesh.name(0) / "replica.log.new";
        fs::remove(obstacle);
        fs::create_directory(obstacle);
        ASSERT_TRUE(mesh.keepRunning(0));
        EXPECT_FALSE(mesh.wait(0, seconds(2))) << "the process must not end";
        fs::remove(obstacle);
        EXPECT_TRUE(waitUntil(
            [&] { return statusOf(exchange(mesh.ports(0).api, "GET", "/v1/ready", "")) == 200; }, seconds(10)));
    }

} // namespace
} // namespace dragonflylane
