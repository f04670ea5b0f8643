#include "bench/ExperimentUpstream.h"

#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/HttpServer.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/UpstreamClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <deque>
#include <random>
#include <stdexcept>
#include <thread>

namespace dragonflylane {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::seconds announceInterval { 1 };
    constexpr size_t maxUpstreamConnections = 8000;
    // Interval at which a stalled upstream checks whether the stall has ended.
    constexpr std::chrono::milliseconds stallPollInterval { 10 };

} // namespace

/// The simulated process between a start and a crash.
class ExperimentUpstream::Process {
public:
    explicit Process(ExperimentUpstream& owner)
        : m_owner(owner)
        , m_options(owner.m_options)
        , m_announceTimer(m_context)
        , m_stallTimer(m_context)
        , m_random(m_options.seed + owner.m_instance)
        , m_server(m_context, { .listen = m_options.listen, .maxConnections = maxUpstreamConnections }, m_metrics,
              [this](std::shared_ptr<HttpExchange> exchange) { handleRequest(std::move(exchange)); })
    {
        if (auto error = m_server.start())
            throw std::runtime_error(m_options.listen.toString() + ": " + error.message());
        if (m_options.daemonApi.isSet()) {
            m_daemon = std::make_unique<UpstreamClient>(
                m_context, UpstreamClientOptions { .upstream = m_options.daemonApi }, m_metrics);
            announce();
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Process()
    {
        m_context.stop();
        m_thread.join();
    }

private:
    void announce()
    {
        json::object body { { "id", m_options.id }, { "service", m_options.service },
            { "address", m_options.listen.toString() }, { "slots", m_options.slots }, { "state", "ready" },
            { "instance", std::to_string(m_owner.m_instance) } };
        HttpRequest request { .method = "POST", .target = "/v1/announce", .body = json::serialize(body) };
        m_daemon->send(std::move(request), true, BootClock::now() + announceInterval, [](const UpstreamResult&) {});
        m_announceTimer.expires_after(announceInterval);
        m_announceTimer.async_wait([this](boost::system::error_code error) {
            if (!error)
                announce();
        });
    }

    void handleRequest(std::shared_ptr<HttpExchange> exchange)
    {
        ++m_owner.m_received;
        if (m_options.isShedding && m_running >= m_options.slots) {
            HttpResponse shed { .status = 503, .headers = { { "Retry-After", "1" } } };
            return exchange->respond(std::move(shed));
        }
        std::weak_ptr<HttpExchange> weak = exchange;
        exchange->setCancelHook(
            [this, weak] { std::erase_if(m_queue, [&](const auto& queued) { return queued == weak.lock(); }); });
        m_queue.push_back(std::move(exchange));
        startQueued();
    }

    void startQueued()
    {
        if (m_owner.m_isStalled)
            return pollStall();
        while (m_running < m_options.slots && !m_queue.empty()) {
            auto exchange = std::move(m_queue.front());
            m_queue.pop_front();
            serve(std::move(exchange));
        }
    }

    void serve(std::shared_ptr<HttpExchange> exchange)
    {
        ++m_running;
        Duration serviceTime = m_options.isConstant ? m_options.meanServiceTime : drawServiceTime();
        auto timer = std::make_shared<asio::steady_timer>(m_context, serviceTime);
        timer->async_wait([this, timer, exchange = std::move(exchange)](boost::system::error_code) {
            --m_running;
            if (m_owner.m_isStalled)
                m_unanswered.push_back(exchange);
            else
                exchange->respond({ .body = exchange->request().target });
            startQueued();
        });
    }

    Duration drawServiceTime()
    {
        std::exponential_distribution<> draw(1 / std::chrono::duration<double>(m_options.meanServiceTime).count());
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(draw(m_random)));
    }

    void pollStall()
    {
        m_stallTimer.expires_after(stallPollInterval);
        m_stallTimer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            if (!m_owner.m_isStalled) {
                for (const auto& exchange : std::exchange(m_unanswered, {}))
                    exchange->respond({ .body = exchange->request().target });
            }
            startQueued();
        });
    }

    ExperimentUpstream& m_owner;
    const ExperimentUpstreamOptions& m_options;
    asio::io_context m_context { 1 };
    Metrics m_metrics;
    asio::steady_timer m_announceTimer;
    asio::steady_timer m_stallTimer;
    std::mt19937_64 m_random;
    std::deque<std::shared_ptr<HttpExchange>> m_queue;
    std::vector<std::shared_ptr<HttpExchange>> m_unanswered;
    size_t m_running { 0 };
    HttpServer m_server;
    std::unique_ptr<UpstreamClient> m_daemon;
    std::thread m_thread;
};

ExperimentUpstream::ExperimentUpstream(ExperimentUpstreamOptions options)
    : m_options(std::move(options))
{
}

ExperimentUpstream::~ExperimentUpstream() = default;

void ExperimentUpstream::start()
{
    ++m_instance;
    m_process = std::make_unique<Process>(*this);
}

void ExperimentUpstream::crash()
{
    m_process.reset();
}

} // namespace dragonflylane
