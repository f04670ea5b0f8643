#pragma once

// Client threads of the demo: lookups and orders through all daemons, some orders resent through another daemon, and
// a record of what each request came to.

#include "bench/DemoMesh.h"

#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace dragonflylane {

enum class DemoOutcome {
    Success,
    NotRun,
    /// No connection to the daemon, so nothing was sent.
    NotConnected,
    /// The caller cannot tell: an answer that says so, a lost connection, or no answer in time.
    Unknown,
};

/// One request as its caller saw it.
struct DemoRecord {
    TimePoint sent;
    TimePoint answered;
    std::string daemon;
    std::string target;
    bool isOrder { false };
    DemoOutcome outcome { DemoOutcome::Unknown };
    /// Result code, "ok", or how the connection ended.
    std::string code;
    /// Upstream that answered.
    std::string upstream;
    bool isCut { false };
    bool isCrossed { false };
};

struct DemoTrafficOptions {
    size_t threads { 4 };
    Duration pause { std::chrono::milliseconds(6) };
    Duration timeout { std::chrono::seconds(4) };
    uint64_t seed { 20261204 };
    std::vector<std::string> lookups;
    std::vector<std::string> orders;
};

/// Runs the clients until stop().
class DemoTraffic {
public:
    DemoTraffic(const DemoMesh&, DemoTrafficOptions);
    ~DemoTraffic();

    void start();
    /// Ends the clients; records() is valid afterwards.
    void stop();
    const std::vector<DemoRecord>& records() const { return m_records; }

private:
    using Records = std::vector<DemoRecord>;

    void run(size_t thread, Records&);

    const DemoMesh& m_mesh;
    const DemoTrafficOptions m_options;
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
    std::vector<Records> m_perThread;
    Records m_records;
};

/// Sends one request and classifies its answer.
DemoRecord sendDemoRequest(
    const DemoDaemon&, const std::string& method, const std::string& target, const std::string& key, Duration timeout);

/// Orders compared with the ledgers of all upstreams.
struct DemoOrderCounts {
    size_t orders { 0 };
    /// In the ledgers more than once (I6).
    size_t doubled { 0 };
    /// Answered with success and in no ledger.
    size_t lost { 0 };
    /// Every answer said "not run", and yet in a ledger (I5).
    size_t falselyNotRun { 0 };
    size_t unknown { 0 };
};

DemoOrderCounts compareWithLedgers(const std::vector<DemoRecord>&, const std::map<std::string, size_t>& executions);

} // namespace dragonflylane
