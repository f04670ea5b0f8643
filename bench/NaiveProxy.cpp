#include "bench/NaiveProxy.h"

#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/HttpServer.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/UpstreamClient.h"

#include <random>
#include <stdexcept>
#include <thread>

namespace dragonflylane {

namespace {

    constexpr unsigned firstServerError = 500;
    constexpr size_t maxCallerConnections = 8000;

} // namespace

class NaiveProxy::Impl {
public:
    explicit Impl(NaiveProxyOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_server(m_context, { .listen = m_options.listen, .maxConnections = maxCallerConnections }, m_metrics,
              [this](const std::shared_ptr<HttpExchange>& exchange) { attempt(exchange, m_options.retries); })
    {
        for (const Endpoint& upstream : m_options.upstreams) {
            m_clients.push_back(std::make_unique<UpstreamClient>(m_context,
                UpstreamClientOptions { .upstream = upstream, .maxIdleConnections = maxCallerConnections }, m_metrics));
        }
        if (auto error = m_server.start())
            throw std::runtime_error(m_options.listen.toString() + ": " + error.message());
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Impl()
    {
        m_context.stop();
        m_thread.join();
    }

    uint64_t attempts() const { return m_attempts; }

private:
    void attempt(const std::shared_ptr<HttpExchange>& exchange, unsigned retriesLeft)
    {
        ++m_attempts;
        size_t index = std::uniform_int_distribution<size_t>(0, m_clients.size() - 1)(m_random);
        m_clients[index]->send(exchange->request(), true, BootClock::now() + m_options.attemptTimeout,
            [this, exchange, retriesLeft](UpstreamResult result) {
                bool isFailed = result.code != ResultCode::Ok || result.response.status >= firstServerError;
                if (isFailed && retriesLeft > 0)
                    return attempt(exchange, retriesLeft - 1);
                if (result.code != ResultCode::Ok)
                    result.response = { .status = 502 };
                exchange->respond(std::move(result.response));
            });
    }

    const NaiveProxyOptions m_options;
    Metrics m_metrics;
    boost::asio::io_context m_context { 1 };
    std::mt19937_64 m_random;
    std::atomic<uint64_t> m_attempts { 0 };
    std::vector<std::unique_ptr<UpstreamClient>> m_clients;
    HttpServer m_server;
    std::thread m_thread;
};

NaiveProxy::NaiveProxy(NaiveProxyOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

NaiveProxy::~NaiveProxy() = default;

uint64_t NaiveProxy::attempts() const
{
    return m_impl->attempts();
}

} // namespace dragonflylane
