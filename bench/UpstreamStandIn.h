#pragma once

// Simulated upstream for the demo, the load generator and process tests.
//
//     UpstreamStandIn upstream({ .listen = ..., .daemon = ..., .id = "catalogue-1", .service = "catalogue" });
//     int exitCode = upstream.run();     // until SIGTERM, after which it drains
//
// Response bodies contain the target and the upstream id and end with a checksum, so that clients can detect truncated
// responses and responses to another request. A POST is executed by appending "key target" to a ledger. GET /ledger
// returns the ledger, and GET /health reports whether the upstream accepts requests. It starts no other process.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflylane {

struct UpstreamStandInOptions {
    Endpoint listen;
    /// Address to announce to daemons, if it differs from `listen`.
    Endpoint announced {};
    /// API of the daemon on the host of this upstream.
    Endpoint daemon;
    std::string id;
    std::string service;
    /// Maximum number of concurrent requests; further requests wait.
    uint32_t slots { 12 };
    /// Mean of the exponentially distributed service time.
    Duration serviceTime { std::chrono::milliseconds(2) };
    /// Warm-up time after the start, during which the upstream announces `cold` and takes ten times as long per
    /// request.
    Duration coldTime { 0 };
    /// Exits without a response if the target of a request contains this text; never if empty.
    std::string crashOn;
    /// Never responds to requests whose target contains this text.
    std::string stallOn;
    /// Responds with 503 and Retry-After if at least this many requests are running or waiting.
    std::optional<uint32_t> shedAbove;
    /// Reports `ready` and healthy regardless of the actual state.
    bool reportsFalseHealth { false };
    /// File to which the ledger is also written; none if empty.
    std::string ledgerFile;
    uint64_t seed { 1 };
};

/// One simulated upstream.
class UpstreamStandIn {
public:
    explicit UpstreamStandIn(UpstreamStandInOptions);
    ~UpstreamStandIn();
    UpstreamStandIn(const UpstreamStandIn&) = delete;
    UpstreamStandIn& operator=(const UpstreamStandIn&) = delete;

    /// Serves until SIGTERM or SIGINT, then drains. Returns the exit code of the process.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Result of checking a response body of a simulated upstream.
enum class ResponseFault {
    None,
    /// The checksum is missing or does not match.
    Truncated,
    /// The response is complete but belongs to another request.
    Mismatched,
};

/// Returns the response body for a request.
std::string makeStandInResponse(std::string_view target, std::string_view upstream);
/// Checks a response body against the target of its request.
ResponseFault checkStandInResponse(std::string_view body, std::string_view target);

} // namespace dragonflylane
