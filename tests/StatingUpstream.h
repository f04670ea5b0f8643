#pragma once

// An upstream that states a rate limit, or that it is leaving, in the headers of its responses.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/HttpServer.h"
#include "dragonflylane/Metrics.h"
#include "tests/RateWindow.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <memory>
#include <vector>

namespace dragonflylane {

/// Answers each request after a service time, with the headers that are set at the time.
class StatingUpstream {
public:
    StatingUpstream(boost::asio::io_context& context, Metrics& metrics)
        : m_context(context)
        , m_server(context, { .listen = { "127.0.0.1", 0 } }, metrics,
              [this](const std::shared_ptr<HttpExchange>& exchange) { handle(exchange); })
    {
        EXPECT_FALSE(m_server.start());
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_server.port() }; }
    void setServiceTime(Duration serviceTime) { m_serviceTime = serviceTime; }
    void setHeaders(std::vector<HttpHeader> headers) { m_headers = std::move(headers); }
    /// Copies this header of each request to its response.
    void setEchoedHeader(std::string name) { m_echoedHeader = std::move(name); }
    const std::vector<TimePoint>& arrivals() const { return m_arrivals; }

    const HttpRequest& lastRequest() const { return m_lastRequest; }

    /// The most requests that arrived within a window of this length, among the windows that begin after `from`.
    size_t mostArrivals(TimePoint from, Duration window) const { return mostWithin(m_arrivals, window, from); }

private:
    void handle(const std::shared_ptr<HttpExchange>& exchange)
    {
        m_arrivals.push_back(BootClock::now());
        m_lastRequest = exchange->request();
        auto timer = std::make_shared<boost::asio::steady_timer>(m_context, m_serviceTime);
        timer->async_wait([this, timer, exchange](boost::system::error_code) {
            HttpResponse response { .status = 200, .headers = m_headers, .body = "ok" };
            std::string echoed(exchange->request().header(m_echoedHeader));
            if (!echoed.empty())
                response.headers.push_back({ m_echoedHeader, std::move(echoed) });
            exchange->respond(std::move(response));
        });
    }

    boost::asio::io_context& m_context;
    Duration m_serviceTime { std::chrono::milliseconds(10) };
    std::vector<HttpHeader> m_headers;
    std::string m_echoedHeader;
    std::vector<TimePoint> m_arrivals;
    HttpRequest m_lastRequest;
    HttpServer m_server;
};

} // namespace dragonflylane
