#include "dragonflylane/HttpSession.h"

#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/HttpReadBuffer.h"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/write.hpp>

namespace dragonflylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr unsigned statusBadRequest = 400;
    constexpr unsigned statusContentTooLarge = 413;
    constexpr unsigned statusHeadersTooLarge = 431;
    // How long the caller has to close its side after this side has been closed.
    constexpr std::chrono::seconds lingerTime { 2 };

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
    m_idleSince = BootClock::now();
    armIdleTimer();
    awaitRequest();
}

void HttpSession::limitsChanged()
{
    if (!m_isClosed)
        armIdleTimer();
}

// The timer is not set anew for each request, since that costs more than to find out when it expires.
void HttpSession::armIdleTimer()
{
    Duration idle = isBusy() ? Duration::zero() : BootClock::now() - m_idleSince;
    m_idleTimer.expires_after(std::max<Duration>(m_options.idleTimeout - idle, Duration::zero()));
    m_idleTimer.async_wait([weak = weak_from_this()](beast::error_code error) {
        auto self = weak.lock();
        if (!error && self)
            self->checkIdle();
    });
}

void HttpSession::checkIdle()
{
    if (m_isClosed)
        return;
    if (!isBusy() && BootClock::now() - m_idleSince >= m_options.idleTimeout)
        return close();
    armIdleTimer();
}

void HttpSession::closeIfIdle()
{
    if (!isBusy())
        close();
}

// Waits for input without a buffer, so that an idle connection needs little memory. The deadline of a request starts
// with its first byte. While requests are in flight, the end of the stream means that the caller has disconnected.
void HttpSession::awaitRequest()
{
    // While the server shuts down, the requests in flight are the last ones of their connection.
    m_hasReadLastRequest = m_hasReadLastRequest || (m_hooks.isStopping() && !m_slots.empty());
    bool mayRead = m_hasReadLastRequest ? !m_slots.empty() : m_slots.size() < m_options.maxPipelined;
    if (m_isReading || m_isClosed || !mayRead)
        return;
    m_isReading = true;
    if (m_buffer.size() > 0 && !m_hasReadLastRequest)
        return beginRequest();
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self = shared_from_this()](beast::error_code error) {
            if (self->hasEndedDuringRead())
                return;
            if (error)
                return self->handleDisconnect();
            if (self->m_hasReadLastRequest)
                return self->checkEndOfInput();
            self->beginRequest();
        });
}

// Input after the last request of a connection is not read. Once there is any, the end of the stream cannot be
// detected.
void HttpSession::checkEndOfInput()
{
    m_isReading = false;
    char byte = 0;
    beast::error_code error;
    m_stream.socket().non_blocking(true, error);
    size_t bytes = m_stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    // The wait may also return for input that has been read in the meantime.
    if (error == asio::error::would_block)
        return awaitRequest();
    if (error || bytes == 0)
        handleDisconnect();
}

void HttpSession::beginRequest()
{
    m_parser.emplace(RequestParserOptions { .maxHeaderBytes = m_options.maxHeaderBytes,
        .maxBodyBytes = largestBody(m_options.maxBodyBytes, m_options.bodies) });
    // A caller may have sent several requests ahead, under an earlier and higher limit.
    m_buffer.max_size(std::max(m_options.maxHeaderBytes + maxReadAheadBytes, m_buffer.size()));
    m_stream.expires_after(std::min(m_options.headerTimeout, m_options.requestTimeout));
    if (m_buffer.size() > 0)
        return parseInput();
    readInput();
}

void HttpSession::readInput()
{
    constexpr size_t maxReadBytes = 64 << 10;
    size_t bytes = beast::read_size(m_buffer, maxReadBytes);
    if (bytes == 0)
        return refuseRequest(RequestProgress::Malformed);
    m_stream.async_read_some(
        m_buffer.prepare(bytes), [self = shared_from_this()](beast::error_code error, size_t bytesRead) {
            self->m_buffer.commit(bytesRead);
            if (self->hasEndedDuringRead())
                return;
            if (error)
                return self->handleReadError(error);
            self->parseInput();
        });
}

void HttpSession::parseInput()
{
    bool hadHead = m_parser->hasHead();
    RequestProgress progress = m_parser->parse(m_buffer);
    if (!hadHead && m_parser->hasHead()) {
        m_stream.expires_after(m_options.requestTimeout);
        m_body = BodyReservation(m_options.bodies);
        // A body of known length that exceeds the budget is refused before it is read.
        if (!m_body.growTo(m_parser->statedBodyBytes()))
            return refuseBody();
    }
    if (m_parser->hasHead() && !m_body.growTo(m_parser->bodyBytes()))
        return refuseBody();
    if (progress == RequestProgress::Incomplete)
        return readInput();
    if (progress == RequestProgress::Complete)
        return handleRequest();
    refuseRequest(progress);
}

void HttpSession::refuseBody()
{
    m_isReading = false;
    m_hasReadLastRequest = true;
    refuse(httpStatus(ResultCode::BodyMemoryFull), ResultCode::BodyMemoryFull);
}

void HttpSession::handleReadError(beast::error_code error)
{
    m_isReading = false;
    m_body = BodyReservation();
    // tcp_stream closes the socket when it times out, so no response can be sent.
    if (error == beast::error::timeout)
        m_hooks.refused(ResultCode::RequestTimeout);
    handleDisconnect();
}

void HttpSession::refuseRequest(RequestProgress progress)
{
    m_isReading = false;
    m_hasReadLastRequest = true;
    if (progress == RequestProgress::BodyTooLarge)
        return refuse(statusContentTooLarge, ResultCode::RequestTooLarge);
    if (progress == RequestProgress::HeaderTooLarge)
        return refuse(statusHeadersTooLarge, ResultCode::RequestTooLarge);
    refuse(statusBadRequest, ResultCode::MalformedRequest);
}

void HttpSession::handleRequest()
{
    m_isReading = false;
    m_stream.expires_never();
    if (m_hasReadLastRequest) {
        m_parser.reset();
        return;
    }
    auto slot = std::make_shared<Slot>();
    slot->version = m_parser->version();
    slot->keepAlive = m_parser->keepAlive();
    slot->isHead = m_parser->isHead();
    slot->body = std::exchange(m_body, BodyReservation());
    m_hasReadLastRequest = !slot->keepAlive;
    // The responder keeps the session alive while the request is in flight, since there may be no pending read that
    // does. The exchange releases the responder when it is answered or cancelled.
    auto responder = [self = shared_from_this(), weakSlot = std::weak_ptr<Slot>(slot)](HttpResponse answer) {
        if (auto answered = weakSlot.lock())
            self->respond(*answered, std::move(answer));
    };
    slot->exchange = std::make_shared<HttpExchange>(m_parser->takeRequest(), BootClock::now(), std::move(responder));
    m_parser.reset();
    m_slots.push_back(slot);
    m_hooks.handler(slot->exchange);
    awaitRequest();
}

// The refusal is written after the responses to earlier requests of the connection.
void HttpSession::refuse(unsigned status, ResultCode code)
{
    m_hooks.refused(code);
    m_parser.reset();
    m_body = BodyReservation();
    HttpResponse response { .status = status };
    response.headers = { { "Dragonflylane-Code", std::to_string(static_cast<unsigned>(code)) },
        { "Dragonflylane-Run", "not-run" }, { "Content-Type", "text/plain" } };
    response.body = std::string(message(code)) + "\n";
    auto slot = std::make_shared<Slot>();
    m_slots.push_back(slot);
    respond(*slot, std::move(response));
}

void HttpSession::respond(Slot& slot, HttpResponse answer)
{
    slot.answer = std::move(answer);
    slot.body = BodyReservation(m_options.bodies);
    slot.body.setBytes(slot.answer->body.size());
    writeNext();
}

void HttpSession::writeNext()
{
    if (m_isClosed || m_isWriting || m_slots.empty() || !m_slots.front()->answer)
        return;
    auto slot = m_slots.front();
    // When the server stops, requests that have been read after this one are still answered before the connection ends.
    // Requests that have not been read are not answered.
    bool isLast = m_slots.size() == 1;
    bool keepAlive = slot->keepAlive && !(isLast && m_hooks.isStopping());
    m_hasReadLastRequest = m_hasReadLastRequest || !keepAlive;
    m_response = makeResponse(*slot, keepAlive);
    m_isWriting = true;
    m_stream.expires_after(m_options.requestTimeout);
    http::async_write(m_stream, m_response, [self = shared_from_this(), keepAlive](beast::error_code error, size_t) {
        self->m_isWriting = false;
        if (self->m_isClosed)
            return;
        self->m_slots.pop_front();
        if (error)
            return self->handleDisconnect();
        if (!keepAlive)
            return self->closeGracefully();
        self->m_idleSince = BootClock::now();
        self->writeNext();
        self->awaitRequest();
    });
}

HttpSession::Response HttpSession::makeResponse(Slot& slot, bool keepAlive) const
{
    HttpResponse& answer = *slot.answer;
    Response response;
    response.result(answer.status);
    response.version(slot.version);
    for (const HttpHeader& header : answer.headers) {
        if (!isHopByHopHeader(header.name))
            response.insert(header.name, header.value);
    }
    response.keep_alive(keepAlive);
    response.body() = std::move(answer.body);
    if (!slot.isHead) {
        response.prepare_payload();
        return response;
    }
    // The response to HEAD states the length that the response to GET would have, if the upstream has sent that length.
    if (!answer.header("Content-Length").empty())
        response.set(http::field::content_length, answer.header("Content-Length"));
    else
        response.content_length(response.body().size());
    response.body().clear();
    return response;
}

void HttpSession::handleDisconnect()
{
    auto slots = std::move(m_slots);
    m_slots.clear();
    close();
    for (const auto& slot : slots) {
        if (slot->exchange && !slot->answer)
            slot->exchange->cancel();
    }
}

// Closing a socket with unread input resets the connection, and the caller may then lose the response. So this side is
// shut down first, and input is discarded until the caller closes its side or lingerTime has passed.
void HttpSession::closeGracefully()
{
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_isLingering = true;
    if (!m_isReading)
        return linger();
    // A request may be read at this time. The handler of that read calls linger().
    m_stream.cancel();
}

// Called first by each handler of a read. Begins to discard input if the connection was shut down meanwhile.
bool HttpSession::hasEndedDuringRead()
{
    if (m_isLingering && !m_isClosed)
        linger();
    return m_isLingering || m_isClosed;
}

void HttpSession::linger()
{
    m_parser.reset();
    m_body = BodyReservation();
    m_stream.expires_after(lingerTime);
    discardInput();
}

void HttpSession::discardInput()
{
    m_stream.async_read_some(asio::buffer(m_discarded), [self = shared_from_this()](beast::error_code error, size_t) {
        if (error)
            return self->handleDisconnect();
        self->discardInput();
    });
}

void HttpSession::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    m_parser.reset();
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_idleTimer.cancel();
    m_stream.close();
    m_hooks.closed(*this);
}

} // namespace dragonflylane
