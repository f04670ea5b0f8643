#pragma once

// Client threads of the demo. They send lookups (GET) and orders (POST) through random daemons, retry some orders
// through another daemon, and record the outcome of each request.

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
    /// The connection to the daemon failed, so nothing was sent.
    NotConnected,
    /// The request may have run: the response says so, the connection was lost, or the request timed out.
    Unknown,
};

/// One request with its outcome as seen by the client.
struct DemoRecord {
    TimePoint sent;
    TimePoint respondedAt;
    std::string daemon;
    std::string target;
    bool isOrder { false };
    DemoOutcome outcome { DemoOutcome::Unknown };
    /// Result code, "ok", or the reason why there was no response.
    std::string code;
    /// Upstream that sent the response.
    std::string upstream;
    bool isTruncated { false };
    bool isMismatched { false };
};

struct DemoTrafficOptions {
    size_t threads { 4 };
    Duration pause { std::chrono::milliseconds(6) };
    Duration timeout { std::chrono::seconds(4) };
    uint64_t seed { 20261204 };
    std::vector<std::string> lookups;
    std::vector<std::string> orders;
};

/// Runs the clients from start() to stop().
class DemoTraffic {
public:
    DemoTraffic(const DemoMesh&, DemoTrafficOptions);
    ~DemoTraffic();

    void start();
    /// Stops the clients; records() is valid afterwards.
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

/// Sends one request and classifies its response.
DemoRecord sendDemoRequest(
    const DemoDaemon&, const std::string& method, const std::string& target, const std::string& key, Duration timeout);

/// Result of comparing the clients' orders with the ledgers of all upstreams.
struct DemoOrderCounts {
    size_t orders { 0 };
    /// Orders executed more than once (I6).
    size_t duplicated { 0 };
    /// Successful for the client but in no ledger (I6).
    size_t lost { 0 };
    /// Every response reported that the order was not run, but a ledger contains it (I5).
    size_t executedButReportedNotRun { 0 };
    /// Orders without success whose outcome the client does not know.
    size_t unknown { 0 };
};

DemoOrderCounts compareWithLedgers(const std::vector<DemoRecord>&, const std::map<std::string, size_t>& executions);

} // namespace dragonflylane
