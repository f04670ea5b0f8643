#pragma once

// One connection of a caller. Internal to HttpServer.

#include "dragonflylane/BodyBudget.h"
#include "dragonflylane/BootClock.h"
#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/HttpServer.h"
#include "dragonflylane/RequestParser.h"
#include "dragonflylane/ResultCode.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <memory>
#include <optional>

namespace dragonflylane {

/// Reads pipelined requests and writes the responses in the order of the requests.
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
    /// The options have changed.
    void limitsChanged();
    /// Closes the connection if no request is in flight.
    void closeIfIdle();
    bool isBusy() const { return m_parser || !m_slots.empty(); }

private:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// A request and its place in the order of responses.
    struct Slot {
        std::shared_ptr<HttpExchange> exchange;
        BodyReservation body;
        std::optional<HttpResponse> answer;
        unsigned version { 11 };
        bool keepAlive { false };
        bool isHead { false };
    };

    void armIdleTimer();
    void checkIdle();
    void awaitRequest();
    void checkEndOfInput();
    void beginRequest();
    void readInput();
    void parseInput();
    void refuseBody();
    void refuseRequest(RequestProgress);
    void handleReadError(boost::beast::error_code);
    void handleRequest();
    void refuse(unsigned status, ResultCode);
    void respond(Slot&, HttpResponse);
    void writeNext();
    Response makeResponse(Slot&, bool keepAlive) const;
    void handleDisconnect();
    void closeGracefully();
    bool hasEndedDuringRead();
    void linger();
    void discardInput();
    void close();

    boost::beast::tcp_stream m_stream;
    boost::asio::steady_timer m_idleTimer;
    /// When the last response was written, or when the connection was accepted.
    TimePoint m_idleSince;
    const HttpServerOptions& m_options;
    const Hooks& m_hooks;
    boost::beast::flat_buffer m_buffer;
    /// The request that is being read, if any.
    std::optional<RequestParser> m_parser;
    /// Part of the body budget that the request that is being read uses.
    BodyReservation m_body;
    /// Requests whose response has not been written, oldest first.
    std::deque<std::shared_ptr<Slot>> m_slots;
    Response m_response;
    std::array<char, 4096> m_discarded;
    bool m_isReading { false };
    /// No further request will be read, because the caller or this side ends the connection.
    bool m_hasReadLastRequest { false };
    bool m_isWriting { false };
    /// This side has been shut down; input is discarded until the caller closes its side.
    bool m_isLingering { false };
    bool m_isClosed { false };
};

} // namespace dragonflylane
