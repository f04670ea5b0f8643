#include "dragonflylane/UpstreamClient.h"

#include "dragonflylane/BodyBudget.h"
#include "dragonflylane/HttpReadBuffer.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/UpstreamResponse.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <deque>
#include <optional>

namespace dragonflylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

    // Limit on interim responses (1xx) and responses to earlier requests that precede the final response. Beyond it,
    // no further response is skipped, since the upstream might send them endlessly.
    constexpr unsigned maxSkippedResponses = 16;
    // A connection is closed after this many responses that were not a success.
    constexpr size_t maxFailedRequests = 16;

    struct Connection {
        explicit Connection(asio::io_context& context)
            : stream(context)
        {
        }

        beast::tcp_stream stream;
        beast::flat_buffer buffer { maxReadAheadBytes };
        TimePoint opened;
        bool hasCarriedRequest { false };
        /// Values of UpstreamClientOptions::echoedHeader of the requests whose response was not a success.
        std::vector<std::string> failedRequests;
    };

    // True if the upstream has closed the connection or sent bytes that no request asked for.
    bool isStale(Connection& connection)
    {
        char byte = 0;
        beast::error_code error;
        connection.stream.socket().non_blocking(true, error);
        connection.stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        return error != asio::error::would_block;
    }

    http::request<http::string_body> toBeast(HttpRequest request, const Endpoint& upstream)
    {
        http::request<http::string_body> message;
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        bool hasHost = false;
        for (const HttpHeader& header : request.headers) {
            if (isHopByHopHeader(header.name))
                continue;
            hasHost = hasHost || equalsIgnoringCase(header.name, "host");
            message.insert(header.name, header.value);
        }
        if (!hasHost)
            message.set(http::field::host, upstream.toString());
        message.body() = std::move(request.body);
        message.prepare_payload();
        return message;
    }

} // namespace

class UpstreamClient::Impl : public std::enable_shared_from_this<UpstreamClient::Impl> {
public:
    Impl(asio::io_context& context, UpstreamClientOptions options, Metrics& metrics)
        : m_context(context)
        , m_options(std::move(options))
        , m_metrics(metrics)
        , m_endpoint(asio::ip::make_address(m_options.upstream.address), m_options.upstream.port)
    {
    }

    Cancel send(HttpRequest request, bool isIdempotent, TimePoint deadline, Callback callback)
    {
        auto call = std::make_shared<Call>();
        call->isHead = request.method == "HEAD";
        if (!m_options.echoedHeader.empty())
            call->expectedValue = request.header(m_options.echoedHeader);
        call->message = toBeast(std::move(request), m_options.upstream);
        call->isIdempotent = isIdempotent;
        call->deadline = deadline;
        call->callback = std::move(callback);
        if (!isIdempotent)
            m_lastNonIdempotent = BootClock::now();
        call->connection = isIdempotent ? popLiveIdle(call->expectedValue) : popFreshSpare();
        if (call->connection)
            write(call);
        else
            connect(call);
        if (!isIdempotent)
            openSpares();
        return [weak = std::weak_ptr<Call>(call)] {
            auto pending = weak.lock();
            if (!pending || !pending->callback)
                return;
            pending->callback = nullptr;
            if (pending->connection)
                pending->connection->stream.close();
        };
    }

    void closeIdle()
    {
        m_idle.clear();
        m_spares.clear();
    }

private:
    struct Call {
        http::request<http::string_body> message;
        std::optional<http::response_parser<http::string_body>> parser;
        std::shared_ptr<Connection> connection;
        BodyReservation body;
        TimePoint deadline;
        Callback callback;
        bool isIdempotent { false };
        bool isHead { false };
        bool isReused { false };
        /// Expected value of UpstreamClientOptions::echoedHeader in the response; empty: not checked.
        std::string expectedValue;
        /// Number of interim responses and responses to other requests so far.
        unsigned skippedResponses { 0 };
    };
    using CallPtr = std::shared_ptr<Call>;

    // Skips connections on which the same request has failed: the upstream may write that response once more, and a
    // refusal would then be taken for the answer to the request that runs.
    std::shared_ptr<Connection> popLiveIdle(const std::string& expectedValue)
    {
        for (size_t i = m_idle.size(); i-- > 0;) {
            const auto& failed = m_idle[i]->failedRequests;
            if (std::find(failed.begin(), failed.end(), expectedValue) != failed.end())
                continue;
            auto connection = std::move(m_idle[i]);
            m_idle.erase(m_idle.begin() + static_cast<std::ptrdiff_t>(i));
            beast::error_code ignored;
            connection->stream.socket().cancel(ignored);
            if (!isStale(*connection))
                return connection;
        }
        return nullptr;
    }

    // Drops an idle connection that the upstream closes, or on which it sends bytes that no request asked for: the
    // kernel would keep them until the next request.
    void closeOnInput(const std::shared_ptr<Connection>& connection)
    {
        connection->stream.socket().async_wait(tcp::socket::wait_read,
            [weak = weak_from_this(), weakConnection = std::weak_ptr<Connection>(connection)](beast::error_code error) {
                auto self = weak.lock();
                auto idle = weakConnection.lock();
                if (!error && self && idle)
                    std::erase(self->m_idle, idle);
            });
    }

    std::shared_ptr<Connection> popFreshSpare()
    {
        TimePoint oldest = BootClock::now() - m_options.spareLifetime;
        while (!m_spares.empty()) {
            auto connection = std::move(m_spares.back());
            m_spares.pop_back();
            if (connection->opened > oldest && !isStale(*connection))
                return connection;
        }
        return nullptr;
    }

    // A spare connection that was not used within its lifetime is replaced while there are non-idempotent requests.
    void openSpares()
    {
        while (m_spares.size() + m_openingSpares < m_options.spareConnections) {
            ++m_openingSpares;
            auto connection = std::make_shared<Connection>(m_context);
            connection->stream.expires_after(m_options.connectTimeout);
            connection->stream.async_connect(
                m_endpoint, [self = shared_from_this(), connection](beast::error_code error) {
                    --self->m_openingSpares;
                    if (error)
                        return;
                    self->prepare(*connection);
                    self->m_spares.push_back(connection);
                    self->expireSpares();
                });
        }
    }

    void expireSpares()
    {
        auto timer = std::make_shared<asio::steady_timer>(m_context, m_options.spareLifetime);
        timer->async_wait([weak = weak_from_this(), timer](beast::error_code) {
            auto self = weak.lock();
            if (!self)
                return;
            TimePoint now = BootClock::now();
            std::erase_if(self->m_spares,
                [&](const auto& spare) { return now - spare->opened >= self->m_options.spareLifetime; });
            if (now - self->m_lastNonIdempotent < self->m_options.spareWindow)
                self->openSpares();
        });
    }

    void prepare(Connection& connection)
    {
        connection.opened = BootClock::now();
        beast::error_code ignored;
        connection.stream.socket().set_option(tcp::no_delay(true), ignored);
        connection.stream.expires_never();
    }

    void connect(const CallPtr& call)
    {
        TimePoint now = BootClock::now();
        if (now >= call->deadline)
            return finish(call, { .code = ResultCode::DeadlineExceeded });
        call->connection = std::make_shared<Connection>(m_context);
        call->connection->stream.expires_after(std::min(m_options.connectTimeout, call->deadline - now));
        call->connection->stream.async_connect(m_endpoint, [self = shared_from_this(), call](beast::error_code error) {
            if (!call->callback)
                return;
            if (error)
                return self->finish(call, { .code = ResultCode::UpstreamUnreachable, .isConnectionLost = true });
            self->m_metrics.add("upstream_connections_opened");
            self->prepare(*call->connection);
            self->write(call);
        });
    }

    void write(const CallPtr& call)
    {
        TimePoint now = BootClock::now();
        if (now >= call->deadline)
            return finish(call, { .code = ResultCode::DeadlineExceeded });
        call->isReused = std::exchange(call->connection->hasCarriedRequest, true);
        call->connection->stream.expires_after(call->deadline - now);
        http::async_write(call->connection->stream, call->message,
            [self = shared_from_this(), call](beast::error_code error, size_t bytes) {
                if (!call->callback)
                    return;
                if (error && bytes == 0 && error != beast::error::timeout)
                    return self->finish(call, { .code = ResultCode::UpstreamUnreachable, .isConnectionLost = true });
                if (error)
                    return self->finishWithError(call, error);
                self->read(call);
            });
    }

    void read(const CallPtr& call)
    {
        call->parser.emplace();
        call->parser->body_limit(largestBody(m_options.maxBodyBytes, m_options.bodies));
        call->parser->skip(call->isHead);
        call->body = BodyReservation(m_options.bodies);
        readMore(call);
    }

    void readMore(const CallPtr& call)
    {
        http::async_read_some(call->connection->stream, call->connection->buffer, *call->parser,
            [self = shared_from_this(), call](beast::error_code error, size_t) {
                if (!call->callback)
                    return;
                if (error)
                    return self->finishWithError(call, error);
                if (!call->body.growTo(call->parser->get().body().size()))
                    return self->finish(call, { .code = ResultCode::AnswerMemoryFull });
                if (call->parser->is_done())
                    return self->finishRead(call);
                self->readMore(call);
            });
    }

    ResponseContext contextOf(const Call& call) const
    {
        return { .echoedHeader = m_options.echoedHeader,
            .expectedValue = call.expectedValue,
            .isHead = call.isHead,
            .isReused = call.isReused,
            .acceptsCloseDelimited = m_options.acceptsCloseDelimited };
    }

    void finishRead(const CallPtr& call)
    {
        auto& message = call->parser->get();
        ResponseContext context = contextOf(*call);
        ResponseVerdict verdict = judgeResponse(message, context);
        if (verdict == ResponseVerdict::Skip && ++call->skippedResponses <= maxSkippedResponses)
            return read(call);
        if (verdict != ResponseVerdict::Answer)
            return finish(call, { .code = ResultCode::MalformedAnswer });
        bool isReusable
            = isDelimited(message, context) && call->parser->keep_alive() && call->connection->buffer.size() == 0;
        if (!isSuccess(message) && !call->expectedValue.empty())
            call->connection->failedRequests.push_back(call->expectedValue);
        isReusable = isReusable && call->connection->failedRequests.size() < maxFailedRequests;
        UpstreamResult result { .response = takeResponse(message) };
        if (isReusable && m_idle.size() < m_options.maxIdleConnections) {
            call->connection->stream.expires_never();
            m_idle.push_back(std::move(call->connection));
            closeOnInput(m_idle.back());
        }
        finish(call, std::move(result));
    }

    void finishWithError(const CallPtr& call, beast::error_code error)
    {
        if (error == beast::error::timeout)
            return finish(call, { .code = ResultCode::UpstreamTimeout });
        if (error == http::error::body_limit)
            return finish(call, { .code = ResultCode::AnswerTooLarge });
        if (error == http::error::partial_message)
            return finish(call, { .code = ResultCode::AnswerTruncated, .isConnectionLost = true });
        bool isParseError = error.category() == http::make_error_code(http::error::bad_version).category()
            && error != http::error::end_of_stream;
        if (isParseError)
            return finish(call, { .code = ResultCode::MalformedAnswer });
        finish(call, { .code = ResultCode::UpstreamLost, .isConnectionLost = true });
    }

    void finish(const CallPtr& call, UpstreamResult result)
    {
        // The upstream would continue to send an endless response until its connection is closed.
        if (result.code != ResultCode::Ok && call->connection)
            call->connection->stream.close();
        if (result.code != ResultCode::Ok)
            m_metrics.add(std::string("upstream_").append(name(result.code)));
        // Posted instead of called, because the callback may call send() again.
        asio::post(m_context, [call, result = std::move(result)]() mutable {
            if (!call->callback)
                return;
            auto callback = std::move(call->callback);
            call->callback = nullptr;
            callback(std::move(result));
        });
    }

    asio::io_context& m_context;
    const UpstreamClientOptions m_options;
    Metrics& m_metrics;
    const tcp::endpoint m_endpoint;
    std::deque<std::shared_ptr<Connection>> m_idle;
    std::deque<std::shared_ptr<Connection>> m_spares;
    size_t m_openingSpares { 0 };
    TimePoint m_lastNonIdempotent;
};

UpstreamClient::UpstreamClient(asio::io_context& context, UpstreamClientOptions options, Metrics& metrics)
    : m_impl(std::make_shared<Impl>(context, std::move(options), metrics))
{
}

UpstreamClient::~UpstreamClient()
{
    m_impl->closeIdle();
}

UpstreamClient::Cancel UpstreamClient::send(
    HttpRequest request, bool isIdempotent, TimePoint deadline, Callback callback)
{
    return m_impl->send(std::move(request), isIdempotent, deadline, std::move(callback));
}

void UpstreamClient::closeIdle()
{
    m_impl->closeIdle();
}

} // namespace dragonflylane
