// Starts a real control daemon while its disk refuses writes.

#include "tests/LoopbackMesh.h"

#include <filesystem>
#include <fstream>
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

    // Guards against a mesh that never accepts a change, because its control hosts were all killed right after their
    // very first start: only then do the settings allow them to found the log.
    TEST(StorageProcessTest, HostsKilledAtTheFirstStartFoundTheLogLater)
    {
        LoopbackMesh mesh({ .hosts = { "a", "b", "c" } });
        std::string seeds;
        for (size_t i = 0; i < mesh.size(); ++i)
            seeds += (i == 0 ? "" : ", ") + loopback(mesh.ports(i).peer);
        auto writeSettings = [&](const std::string& mayFound) {
            for (size_t i = 0; i < mesh.size(); ++i) {
                std::ofstream(mesh.folder() / (mesh.name(i) + ".ini"))
                    << "[mesh]\nid = mesh-test\nseeds = " << seeds << "\n[host]\nid = " << mesh.name(i)
                    << "\n[listen]\ncallers = none\npeer = " << loopback(mesh.ports(i).peer)
                    << "\napi = " << loopback(mesh.ports(i).api)
                    << "\n[control]\nvoters = automatic\nmember = yes\ntolerated-losses = 1\nmay-found = " << mayFound
                    << "\nelection-timeout-ms = 2000\ndata-folder = " << (mesh.folder() / mesh.name(i)).string()
                    << "\n";
            }
        };
        writeSettings("yes");
        ASSERT_TRUE(mesh.keepAllRunning());
        for (size_t i = 0; i < mesh.size(); ++i) {
            const fs::path log = mesh.folder() / mesh.name(i) / "replica.log";
            ASSERT_TRUE(waitUntil([&] { return fs::exists(log); }, seconds(5)));
        }
        for (size_t i = 0; i < mesh.size(); ++i)
            mesh.kill(i);
        writeSettings("no");
        EXPECT_TRUE(
            waitUntil([&] { return mesh.keepAllRunning() && confirmPlan(mesh.ports(0).api, plan); }, seconds(20)));
    }

} // namespace
} // namespace dragonflylane
