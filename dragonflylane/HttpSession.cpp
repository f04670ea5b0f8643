#include "dragonflylane/HttpSession.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace dragonflylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusRequestTimeout = 408;
    constexpr unsigned statusContentTooLarge = 413;
    constexpr unsigned statusHeadersTooLarge = 431;

    bool isLengthHeader(http::field field)
    {
        return field == http::field::content_length || field == http::field::transfer_encoding
            || field == http::field::connection || field == http::field::keep_alive;
    }

} // namespace

HttpSession::HttpSession(asio::ip::tcp::socket socket, const HttpServerOptions& options, const Hooks& hooks)
    : m_stream(std::move(socket))
    , m_idleTimer(m_stream.get_executor())
    , m_options(options)
    , m_hooks(hooks)
{
    beast::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

void HttpSession::start()
{
    awaitRequest();
}

void HttpSession::closeIfIdle()
{
    if (!isBusy())
        close();
}

// Waits without a buffer, so that an idle connection costs little memory, and starts the request's own deadline only
// when its first byte has arrived.
void HttpSession::awaitRequest()
{
    if (m_buffer.size() > 0)
        return readRequest();
    m_idleTimer.expires_after(m_options.idleTimeout);
    m_idleTimer.async_wait([weak = weak_from_this()](beast::error_code error) {
        auto self = weak.lock();
        if (!error && self)
            self->closeIfIdle();
    });
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
            self->m_idleTimer.cancel();
            if (error || self->m_isClosed)
                return self->close();
            self->readRequest();
        });
}

void HttpSession::readRequest()
{
    m_parser.emplace();
    m_parser->header_limit(m_options.maxHeaderBytes);
    m_parser->body_limit(m_options.maxBodyBytes);
    m_stream.expires_after(m_options.requestTimeout);
    http::async_read(m_stream, m_buffer, *m_parser, [self = shared_from_this()](beast::error_code error, size_t) {
        if (self->m_isClosed)
            return;
        if (error)
            return self->handleReadError(error);
        self->m_stream.expires_never();
        self->handleRequest();
    });
}

void HttpSession::handleReadError(beast::error_code error)
{
    if (error == http::error::end_of_stream || error == asio::error::eof || error == asio::error::connection_reset)
        return close();
    if (error == beast::error::timeout) {
        // The stream is closed by its own timer, so no answer can be sent.
        m_hooks.refused(ResultCode::RequestTimeout);
        return close();
    }
    m_keepAlive = false;
    if (error == http::error::body_limit)
        return refuse(statusContentTooLarge, ResultCode::RequestTooLarge);
    if (error == http::error::header_limit)
        return refuse(statusHeadersTooLarge, ResultCode::RequestTooLarge);
    refuse(statusBadRequest, ResultCode::MalformedRequest);
}

void HttpSession::handleRequest()
{
    m_version = m_parser->get().version();
    m_keepAlive = m_parser->keep_alive();
    m_isHead = m_parser->get().method() == http::verb::head;
    if (hasContradictoryLengths()) {
        m_keepAlive = false;
        return refuse(statusBadRequest, ResultCode::MalformedRequest);
    }
    m_exchange = std::make_shared<HttpExchange>(
        takeRequest(), BootClock::now(), [weak = weak_from_this()](HttpResponse response) {
            if (auto self = weak.lock())
                self->respond(std::move(response));
        });
    watchForDisconnect();
    m_hooks.handler(m_exchange);
}

bool HttpSession::hasContradictoryLengths() const
{
    const auto& message = m_parser->get();
    bool hasEncoding = message.count(http::field::transfer_encoding) > 0;
    size_t lengths = message.count(http::field::content_length);
    return (hasEncoding && lengths > 0) || lengths > 1;
}

HttpRequest HttpSession::takeRequest()
{
    auto& message = m_parser->get();
    HttpRequest request { .method = std::string(message.method_string()), .target = std::string(message.target()) };
    for (const auto& field : message) {
        if (!isLengthHeader(field.name()))
            request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    request.body = std::move(message.body());
    return request;
}

// A caller that goes away while its request is in flight is noticed by the end of its stream. Bytes that arrive
// instead belong to a next request and stay in the socket.
void HttpSession::watchForDisconnect()
{
    if (m_isWatching)
        return;
    m_isWatching = true;
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
            self->m_isWatching = false;
            if (error || self->m_isClosed || !self->m_exchange)
                return;
            char byte = 0;
            beast::error_code peekError;
            size_t bytes
                = self->m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, peekError);
            bool isGone = peekError || bytes == 0;
            if (!isGone)
                return;
            auto exchange = std::move(self->m_exchange);
            self->m_exchange = nullptr;
            self->close();
            exchange->cancel();
        });
}

void HttpSession::respond(HttpResponse answer)
{
    m_exchange = nullptr;
    if (m_isClosed)
        return;
    Response response;
    response.result(answer.status);
    response.version(m_version);
    for (const HttpHeader& header : answer.headers) {
        if (!isHopByHopHeader(header.name))
            response.insert(header.name, header.value);
    }
    // The length that a GET would have is kept from the upstream's answer when it states one.
    if (m_isHead && !answer.header("Content-Length").empty())
        response.set(http::field::content_length, answer.header("Content-Length"));
    response.body() = std::move(answer.body);
    write(std::move(response));
}

void HttpSession::refuse(unsigned status, ResultCode code)
{
    m_hooks.refused(code);
    HttpResponse response { .status = status };
    response.headers = { { "Dragonflylane-Code", std::to_string(static_cast<unsigned>(code)) },
        { "Dragonflylane-Run", "not-run" }, { "Content-Type", "text/plain" } };
    response.body = std::string(message(code)) + "\n";
    respond(std::move(response));
}

void HttpSession::write(Response response)
{
    bool keepAlive = m_keepAlive && !m_hooks.isStopping();
    response.keep_alive(keepAlive);
    if (m_isHead) {
        if (response.count(http::field::content_length) == 0)
            response.content_length(response.body().size());
        response.body().clear();
    } else {
        response.prepare_payload();
    }
    m_response = std::move(response);
    m_isWriting = true;
    m_stream.expires_after(m_options.requestTimeout);
    http::async_write(m_stream, m_response, [self = shared_from_this(), keepAlive](beast::error_code error, size_t) {
        self->m_isWriting = false;
        self->m_parser.reset();
        if (error || !keepAlive || self->m_isClosed)
            return self->close();
        self->awaitRequest();
    });
}

void HttpSession::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_idleTimer.cancel();
    m_stream.close();
    m_hooks.closed(*this);
}

} // namespace dragonflylane
