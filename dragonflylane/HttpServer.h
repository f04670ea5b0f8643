#pragma once

// HTTP/1.1 listener for callers and operators.
//
// All resources of a caller are bounded: connections, header bytes, body bytes, and the time in which a whole request
// must arrive. A request with contradictory lengths is refused, since two parsers may disagree on where it ends
// (request smuggling).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <system_error>

namespace dragonflylane {

class BodyBudget;
class HttpExchange;
class Metrics;

struct HttpServerOptions {
    Endpoint listen;
    size_t maxConnections { 2000 };
    uint32_t maxHeaderBytes { 16 << 10 };
    uint64_t maxBodyBytes { 1 << 20 };
    /// Limit on the time from the first byte of a request to the end of its header.
    Duration headerTimeout { std::chrono::seconds(5) };
    /// Limit on the time from the end of the header to the last byte of the body, and on writing one response.
    Duration requestTimeout { std::chrono::seconds(5) };
    /// Limit on the time between two requests of a kept-alive connection.
    Duration idleTimeout { std::chrono::seconds(60) };
    /// Limit on the unanswered requests of one connection (HTTP pipelining).
    size_t maxPipelined { 8 };
    /// Memory limit shared by all bodies of this process. Null: only the limit for a single body applies.
    BodyBudget* bodies { nullptr };
};

/// Accepts connections and passes each whole request to the handler.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(boost::asio::io_context&, HttpServerOptions, Metrics&, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Errors: ListenFailed.
    std::error_code start();
    /// Stops accepting connections. Open connections stay open until their next request has been answered: a caller
    /// that sends a request just as its idle connection is closed could not tell whether it ran.
    void stop();
    /// From now on, each connection is closed after a response unless further requests have been read from it.
    void closeAfterResponses();
    /// Replaces all options except the listen address. Applies to existing connections, too.
    void setLimits(const HttpServerOptions&);
    /// Closes connections without a request in flight.
    void closeIdle();
    const Endpoint& endpoint() const;
    /// The bound port, which the kernel chooses if the options name port zero; zero before start().
    uint16_t port() const;
    /// Number of connections with a request that is being read or has not been answered.
    size_t inFlight() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dragonflylane
