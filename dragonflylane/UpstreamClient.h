#pragma once

// HTTP client of the owner daemon to its own upstream.
//
// Idempotent requests reuse kept-alive connections. All other requests go out on a connection that has carried no
// request before and is under a second old, because an upstream that closes an idle connection just as an order goes
// out would leave it unknown whether the order ran. Spare connections are opened ahead, so that an order does not
// wait for one.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/ResultCode.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace dragonflylane {

class BodyBudget;
class Metrics;

struct UpstreamClientOptions {
    Endpoint upstream;
    Duration connectTimeout { std::chrono::milliseconds(500) };
    Duration spareLifetime { std::chrono::seconds(1) };
    /// Spare connections are kept only for this long after the last order.
    Duration spareWindow { std::chrono::seconds(10) };
    size_t spareConnections { 2 };
    size_t maxIdleConnections { 64 };
    uint64_t maxBodyBytes { 1 << 20 };
    /// Header of a request that the upstream repeats on its answer; empty: none. An answer that repeats another value
    /// belongs to an earlier request and is dropped.
    std::string repeatedHeader {};
    /// An answer without a length is complete when the upstream closes the connection in order. Off: such an answer is
    /// refused, since some upstreams also close in order when they crash.
    bool mayEndWithConnection { false };
    /// Shared with all other holders of bodies; none: each body has its own limit only.
    BodyBudget* bodies { nullptr };
};

/// What came of one hand-over to the upstream.
struct UpstreamResult {
    /// Ok when the whole answer is in response; otherwise a 1xx code if no byte reached the upstream, or a 2xx code.
    ResultCode code { ResultCode::Ok };
    HttpResponse response;
    /// The connection was closed or refused in a way that a dead upstream shows.
    bool isConnectionLost { false };
};

/// Owns the connections to one upstream.
class UpstreamClient {
public:
    using Callback = std::function<void(UpstreamResult)>;
    /// Closes the request's connection; the callback is then not called. Safe after the end of the request.
    using Cancel = std::function<void()>;

    UpstreamClient(boost::asio::io_context&, UpstreamClientOptions, Metrics&);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    Cancel send(HttpRequest, bool isIdempotent, TimePoint deadline, Callback);
    void closeIdle();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dragonflylane
