#pragma once

// HTTP/1.1 listener for callers and operators.
//
// Bounded in every direction: connections, header bytes, body bytes, and the time in which a whole request must have
// arrived. A request with contradictory lengths is refused, since two parsers may disagree on where it ends.

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
    /// From the first byte of a request to the end of its header.
    Duration headerTimeout { std::chrono::seconds(5) };
    /// From the end of the header to the last byte of the body; also for writing one answer.
    Duration requestTimeout { std::chrono::seconds(5) };
    /// Between two requests of a kept-alive connection.
    Duration idleTimeout { std::chrono::seconds(60) };
    /// Requests of one connection that are read ahead of their answers.
    size_t maxPipelined { 8 };
    /// Shared with all other holders of bodies; none: each body has its own limit only.
    BodyBudget* bodies { nullptr };
};

/// Accepts connections and hands each whole request to the handler.
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    HttpServer(boost::asio::io_context&, HttpServerOptions, Metrics&, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Errors: ListenFailed.
    std::error_code start();
    /// Stops accepting. Connections stay open until their next request has been answered: a caller that sends one just
    /// as its idle connection is closed cannot know whether it ran.
    void stop();
    /// From now on answers end their connections, unless further requests wait behind them.
    void endConnections();
    /// Replaces the limits on what callers may send; the listener stays as it is.
    void setLimits(const HttpServerOptions&);
    /// Closes connections without a request in flight.
    void closeIdle();
    const Endpoint& endpoint() const;
    /// The bound port, which the kernel chooses if the options name port zero; zero before start().
    uint16_t port() const;
    /// Exchanges that have not been answered.
    size_t inFlight() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dragonflylane
