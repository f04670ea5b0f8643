#pragma once

// HTTP client of the owner daemon for its local upstream.
//
// Idempotent requests reuse kept-alive connections. A non-idempotent request is sent on a connection that has carried
// no request before and is less than a second old: if the upstream closes an idle connection while the request is sent,
// it is unknown whether the request ran. Spare connections are opened in advance, so that such a request does not
// wait for a handshake.

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
    /// Spare connections are replaced only for this long after the last non-idempotent request.
    Duration spareWindow { std::chrono::seconds(10) };
    size_t spareConnections { 2 };
    size_t maxIdleConnections { 64 };
    uint64_t maxBodyBytes { 1 << 20 };
    /// Request header that the upstream copies to its response; empty: none. A response with a different value belongs
    /// to an earlier request and is dropped.
    std::string echoedHeader {};
    /// Accepts a response without a length as complete when the upstream closes the connection normally. If false, such
    /// a response is an error, since some upstreams also close normally (FIN, not RST) when they crash.
    bool acceptsCloseDelimited { false };
    /// Memory limit shared by all bodies of this process. Null: only the limit for a single body applies.
    BodyBudget* bodies { nullptr };
};

/// Outcome of one request to the upstream.
struct UpstreamResult {
    /// Ok if the whole response has been received. Otherwise a code in 100 to 199 if no byte reached the upstream, or
    /// in 200 to 299 if the outcome is unknown.
    ResultCode code { ResultCode::Ok };
    HttpResponse response;
    /// The connection was closed or refused as it would be if the upstream had crashed.
    bool isConnectionLost { false };
};

/// Owns the connections to one upstream.
class UpstreamClient {
public:
    using Callback = std::function<void(UpstreamResult)>;
    /// Closes the connection of the request; the callback is then not called. May be called after the request has
    /// ended.
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
