#include "dragonflylane/ApiClient.h"

#include "dragonflylane/HttpReadBuffer.h"
#include "dragonflylane/HttpStatus.h"
#include "dragonflylane/ResultCode.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace dragonflylane {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    http::request<http::string_body> toBeast(const HttpRequest& request, const Endpoint& server)
    {
        http::request<http::string_body> message;
        message.method_string(request.method);
        message.target(request.target);
        message.version(11);
        message.set(http::field::host, server.toString());
        for (const HttpHeader& header : request.headers)
            message.set(header.name, header.value);
        message.body() = request.body;
        message.keep_alive(false);
        message.prepare_payload();
        return message;
    }

    // One request and its response. Uses asynchronous operations because beast::tcp_stream applies its timeout to these
    // only.
    class Exchange {
    public:
        Exchange(const Endpoint& server, const HttpRequest& request, Duration timeout)
            : m_stream(m_context)
            , m_request(toBeast(request, server))
            , m_endpoint(asio::ip::make_address(server.address), server.port)
        {
            constexpr uint64_t maxResponseBytes = 64 << 20;
            m_parser.body_limit(maxResponseBytes);
            m_stream.expires_after(timeout);
        }

        beast::error_code run()
        {
            m_stream.async_connect(m_endpoint, [this](beast::error_code error) { write(error); });
            m_context.run();
            return m_error;
        }

        HttpResponse takeResponse()
        {
            HttpResponse response { .status = m_parser.get().result_int() };
            for (const auto& field : m_parser.get())
                response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            response.body = std::move(m_parser.get().body());
            return response;
        }

    private:
        void write(beast::error_code error)
        {
            m_error = error;
            if (error)
                return;
            http::async_write(m_stream, m_request, [this](beast::error_code result, size_t) { read(result); });
        }

        void read(beast::error_code error)
        {
            m_error = error;
            if (error)
                return;
            http::async_read(
                m_stream, m_buffer, m_parser, [this](beast::error_code result, size_t) { m_error = result; });
        }

        asio::io_context m_context;
        beast::tcp_stream m_stream;
        beast::flat_buffer m_buffer { maxReadAheadBytes };
        http::request<http::string_body> m_request;
        http::response_parser<http::string_body> m_parser;
        asio::ip::tcp::endpoint m_endpoint;
        beast::error_code m_error;
    };

} // namespace

std::error_code ApiClient::sendTo(
    const Endpoint& server, const HttpRequest& request, Duration timeout, HttpResponse& response)
{
    Exchange exchange(server, request, timeout);
    beast::error_code error = exchange.run();
    if (error)
        return error == beast::error::timeout ? ResultCode::PeerTimeout : ResultCode::PeerClosed;
    response = exchange.takeResponse();
    if (!isFinalStatus(response.status))
        return ResultCode::MalformedAnswer;
    return {};
}

std::error_code ApiClient::send(const HttpRequest& request, HttpResponse& response) const
{
    HttpRequest authorised = request;
    if (!m_options.token.empty())
        authorised.headers.push_back({ "Authorization", "Bearer " + m_options.token });
    for (const Endpoint& server : m_options.servers) {
        if (!sendTo(server, authorised, m_options.timeout, response))
            return {};
    }
    return ResultCode::OutcomeUncertain;
}

} // namespace dragonflylane
