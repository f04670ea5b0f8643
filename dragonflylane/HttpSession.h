#pragma once

// One connection of a caller. Internal to HttpServer.

#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/HttpServer.h"
#include "dragonflylane/ResultCode.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>

namespace dragonflylane {

/// Reads requests one after another and writes the answers.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
public:
    struct Hooks {
        HttpServer::Handler handler;
        std::function<void(HttpSession&)> closed;
        std::function<void(ResultCode)> refused;
        std::function<bool()> isStopping;
    };

    HttpSession(boost::asio::ip::tcp::socket, const HttpServerOptions&, const Hooks&);

    void start();
    /// Closes the connection if no request is in flight.
    void closeIfIdle();
    bool isBusy() const { return m_parser.has_value() || m_exchange != nullptr || m_isWriting; }

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    void awaitRequest();
    void readRequest();
    void handleReadError(boost::beast::error_code);
    void handleRequest();
    bool hasContradictoryLengths() const;
    HttpRequest takeRequest();
    void watchForDisconnect();
    void respond(HttpResponse);
    void refuse(unsigned status, ResultCode);
    void write(Response);
    void close();

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_idleTimer;
    const HttpServerOptions& m_options;
    const Hooks& m_hooks;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    std::shared_ptr<HttpExchange> m_exchange;
    Response m_response;
    unsigned m_version { 11 };
    bool m_keepAlive { false };
    bool m_isHead { false };
    bool m_isWriting { false };
    bool m_isClosed { false };
    bool m_isWatching { false };
};

} // namespace dragonflylane
