// Runs the real programs: one daemon and one simulated upstream. The time limits are generous, because the result must
// not depend on the speed of the machine.

#include "bench/DemoMesh.h"
#include "bench/DemoTraffic.h"
#include "bench/ProcessGroup.h"
#include "tests/LoopbackSupport.h"

#include <boost/json.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

namespace dragonflylane {
namespace {

    namespace fs = std::filesystem;

    constexpr std::chrono::seconds limit { 60 };
    constexpr const char* upstreamProgram = BINARY_DIR "/UpstreamStandIn";

    /// Revision and routes that a daemon uses; empty if it does not respond.
    struct RoutingState {
        uint64_t revision { 0 };
        std::string routes;
    };

    RoutingState readRoutingState(const DemoMesh& mesh, const DemoDaemon& daemon)
    {
        boost::json::value routingTable = mesh.get(daemon, "/v1/routing-table");
        if (!routingTable.is_object())
            return {};
        return { routingTable.as_object().at("revision").to_number<uint64_t>(),
            boost::json::serialize(routingTable.as_object().at("routes")) };
    }

    class ProcessTest : public testing::Test {
    protected:
        ProcessTest()
            : m_root(fs::temp_directory_path() / ("dragonflylane-process-test." + std::to_string(getpid())))
        {
            fs::remove_all(m_root);
            fs::create_directories(m_root / "source");
        }

        ~ProcessTest() override
        {
            m_processes.terminateAll(std::chrono::seconds(5));
            if (!HasFailure())
                fs::remove_all(m_root);
        }

        void write(const std::string& name, const std::string& text) const
        {
            std::ofstream(m_root / "source" / name) << text;
        }

        // A mesh of one daemon, whose settings are the defaults apart from the ports, and one upstream.
        std::unique_ptr<DemoMesh> makeMesh()
        {
            std::vector<uint16_t> ports = freePorts(4);
            write("local.ini",
                "[listen]\ncallers = " + loopback(ports[0]) + "\npeer = " + loopback(ports[1])
                    + "\napi = " + loopback(ports[2]) + "\n");
            write("upstreams.json",
                R"({"upstreams": [{"id": "catalogue-1", "service": "catalogue", "host": "local", "slots": 4,
                    "serviceMs": 1, "address": ")"
                    + loopback(ports[3]) + R"("}]})");
            return std::make_unique<DemoMesh>(DemoMeshOptions { .source = (m_root / "source").string(),
                                                  .programs = BINARY_DIR,
                                                  .work = (m_root / "work").string() },
                m_processes);
        }

        const fs::path m_root;
        ProcessGroup m_processes;
    };

    // The timeout is long, so that calls do not time out on a slow machine.
    const char* const plan = R"({"changes": [
        {"setService": {"name": "catalogue", "timeoutMs": 60000}},
        {"setRoute": {"name": "catalogue", "pathPrefix": "/catalogue", "split": [{"service": "catalogue", "weight": 1}]}},
        {"allowCall": {"caller": "client", "callee": "catalogue"}}]})";

    // Guards against reporting a crash of a child process as a normal exit.
    TEST_F(ProcessTest, ReportsExitCodeOrSignalOfAProcess)
    {
        ASSERT_FALSE(
            m_processes.start({ .name = "usage", .program = upstreamProgram, .arguments = { "--listen", "nowhere" } }));
        EXPECT_EQ(m_processes.wait("usage", limit), std::optional(2));
        ASSERT_FALSE(m_processes.start({ .name = "killed",
            .program = upstreamProgram,
            .arguments = { "--listen", loopback(freePorts(1).front()) } }));
        EXPECT_TRUE(m_processes.signal("killed", SIGKILL));
        EXPECT_EQ(m_processes.wait("killed", limit), std::optional(128 + SIGKILL));
        EXPECT_FALSE(m_processes.signal("killed", SIGTERM));
    }

    // Guards against child processes that continue to run after the program that started them.
    TEST_F(ProcessTest, EndsProcessesThatIgnoreSigterm)
    {
        // A stopped process does not handle SIGTERM, so only SIGKILL ends it.
        ASSERT_FALSE(m_processes.start({ .name = "stopped",
            .program = upstreamProgram,
            .arguments = { "--listen", loopback(freePorts(1).front()) } }));
        ASSERT_TRUE(m_processes.signal("stopped", SIGSTOP));
        EXPECT_TRUE(m_processes.isRunning("stopped"));
        m_processes.terminateAll(std::chrono::milliseconds(100));
        EXPECT_EQ(m_processes.size(), 0U);
    }

    // Guards against a daemon that applies a plan before its confirmation, or that loses a confirmed revision when it
    // is killed.
    TEST_F(ProcessTest, ConfirmedRevisionSurvivesSigkill)
    {
        std::unique_ptr<DemoMesh> mesh = makeMesh();
        ASSERT_EQ(mesh->prepare(), "");
        const DemoDaemon& daemon = *mesh->find("local");
        ASSERT_EQ(mesh->startAll(), "");
        // Another process may hold one of the ports temporarily, so the start is retried until the daemon keeps
        // running.
        auto keepRunning = [&] {
            if (!m_processes.isRunning("local"))
                mesh->startDaemon("local");
        };
        ASSERT_TRUE(waitUntil([&] {
            keepRunning();
            return mesh->leader() == "local";
        }));
        auto send = [&](const char* method, const std::string& target, const std::string& key) {
            return sendDemoRequest(daemon, method, target, key, limit);
        };
        ASSERT_TRUE(
            waitUntil([&] { return mesh->getText(daemon, "/v1/members").find("\"ready\"") != std::string::npos; }));

        std::string detail;
        ASSERT_NE(mesh->plan(plan, detail), "") << detail;
        EXPECT_EQ(send("GET", "/catalogue/before", "").outcome, DemoOutcome::NotRun);

        DemoChange change = mesh->apply(plan, limit);
        ASSERT_TRUE(change.isConverged) << change.detail;
        EXPECT_EQ(change.staleAfterConvergence, 0U);
        RoutingState before = readRoutingState(*mesh, daemon);
        EXPECT_NE(before.routes, "[]");
        ASSERT_TRUE(waitUntil([&] { return send("POST", "/catalogue/order", "k1").outcome == DemoOutcome::Success; }));
        EXPECT_EQ(send("POST", "/catalogue/order", "k1").outcome, DemoOutcome::Success);

        ASSERT_TRUE(m_processes.signal("local", SIGKILL));
        ASSERT_EQ(m_processes.wait("local", limit), std::optional(128 + SIGKILL));
        RoutingState after;
        ASSERT_TRUE(waitUntil([&] {
            keepRunning();
            after = readRoutingState(*mesh, daemon);
            return after.revision >= change.revision;
        }));
        // A daemon that lost its state would also count revisions up, so the revision alone proves nothing.
        EXPECT_EQ(after.routes, before.routes);
        EXPECT_TRUE(waitUntil([&] { return send("GET", "/catalogue/after", "").outcome == DemoOutcome::Success; }));

        std::ifstream ledger(mesh->ledgerFile(mesh->upstreams().front()));
        std::string text((std::istreambuf_iterator<char>(ledger)), std::istreambuf_iterator<char>());
        EXPECT_EQ(text, "k1 /catalogue/order\n");
    }

} // namespace
} // namespace dragonflylane
