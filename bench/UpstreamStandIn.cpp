#include "bench/UpstreamStandIn.h"

#include "dragonflylane/ApiClient.h"
#include "dragonflylane/HttpExchange.h"
#include "dragonflylane/HttpServer.h"
#include "dragonflylane/Metrics.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <fstream>
#include <random>
#include <thread>
#include <unistd.h>
#include <xxhash.h>

namespace dragonflylane {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::seconds announceInterval { 1 };
    constexpr std::chrono::milliseconds announceTimeout { 500 };
    // Time without requests before a draining upstream stops. The owner daemon may have sent a request just before it
    // received the announcement of the drain.
    constexpr std::chrono::milliseconds drainQuietTime { 300 };
    constexpr std::chrono::milliseconds drainPollInterval { 20 };
    constexpr int coldSlowdown = 10;
    // Exit status that a shell reports for a process terminated by abort().
    constexpr int abortStatus = 134;
    // Requests whose target contains this text are served without service time, to measure the latency of the path.
    constexpr const char* immediateTarget = "/immediate";
    constexpr std::string_view checksumLabel = "checksum=";

    std::string hexDigest(std::string_view text)
    {
        constexpr size_t hexDigits = 16;
        char buffer[hexDigits + 1];
        std::snprintf(
            buffer, sizeof(buffer), "%016llx", static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
        return buffer;
    }

    // An empty pattern matches no target.
    bool matchesTarget(const std::string& target, const std::string& pattern)
    {
        return !pattern.empty() && target.find(pattern) != std::string::npos;
    }

    // Sends announcements from its own thread, because ApiClient blocks while the daemon does not respond.
    class Announcer {
    public:
        explicit Announcer(const UpstreamStandInOptions& options)
            : m_options(options)
            , m_instance(std::to_string(getpid()) + "-" + std::to_string(BootClock::now().time_since_epoch().count()))
        {
        }

        ~Announcer() { stop(); }

        void start()
        {
            m_thread = std::thread([this] { run(); });
        }

        void stop()
        {
            {
                std::lock_guard lock(m_mutex);
                m_isStopping = true;
            }
            m_changed.notify_all();
            if (m_thread.joinable())
                m_thread.join();
        }

        void setState(const std::string& state)
        {
            {
                std::lock_guard lock(m_mutex);
                m_isChanged = m_isChanged || state != m_state;
                m_state = state;
            }
            m_changed.notify_all();
        }

    private:
        void run()
        {
            std::unique_lock lock(m_mutex);
            while (!m_isStopping || m_isChanged) {
                m_isChanged = false;
                std::string state = m_state;
                lock.unlock();
                announce(state);
                lock.lock();
                m_changed.wait_for(lock, announceInterval, [this] { return m_isStopping || m_isChanged; });
            }
        }

        void announce(const std::string& state) const
        {
            const Endpoint& address = m_options.announced.isSet() ? m_options.announced : m_options.listen;
            json::object document { { "id", m_options.id }, { "service", m_options.service },
                { "address", address.toString() }, { "slots", m_options.slots }, { "state", state },
                { "instance", m_instance } };
            HttpRequest request { .method = "POST", .target = "/v1/announce", .body = json::serialize(document) };
            HttpResponse response;
            auto error = ApiClient::sendTo(m_options.daemon, request, announceTimeout, response);
            constexpr unsigned statusOk = 200;
            if (!error && response.status != statusOk)
                std::fprintf(stderr, "announcement rejected: %u %s\n", response.status, response.body.c_str());
        }

        const UpstreamStandInOptions& m_options;
        const std::string m_instance;
        std::thread m_thread;
        std::mutex m_mutex;
        std::condition_variable m_changed;
        std::string m_state { "cold" };
        bool m_isChanged { false };
        bool m_isStopping { false };
    };

} // namespace

class UpstreamStandIn::Impl {
public:
    explicit Impl(UpstreamStandInOptions options)
        : m_options(std::move(options))
        , m_random(m_options.seed)
        , m_signals(m_context, SIGTERM, SIGINT)
        , m_timer(m_context)
        , m_announcer(m_options)
        , m_server(m_context, { .listen = m_options.listen }, m_metrics,
              [this](std::shared_ptr<HttpExchange> exchange) { handle(std::move(exchange)); })
    {
    }

    int run()
    {
        if (m_server.start()) {
            std::fprintf(stderr, "cannot listen on %s\n", m_options.listen.toString().c_str());
            return 2;
        }
        if (!m_options.ledgerFile.empty())
            m_ledgerFile.open(m_options.ledgerFile, std::ios::app);
        m_signals.async_wait([this](boost::system::error_code error, int) {
            if (!error)
                drain();
        });
        warmUp();
        m_announcer.start();
        m_context.run();
        m_announcer.stop();
        return 0;
    }

private:
    struct Job {
        std::shared_ptr<HttpExchange> exchange;
        bool isCancelled { false };
    };

    void warmUp()
    {
        if (m_options.coldTime == Duration::zero() || m_options.reportsFalseHealth)
            return becomeReady();
        m_timer.expires_after(m_options.coldTime);
        m_timer.async_wait([this](boost::system::error_code error) {
            if (!error)
                becomeReady();
        });
    }

    void becomeReady()
    {
        m_isCold = false;
        m_announcer.setState("ready");
    }

    void handle(std::shared_ptr<HttpExchange> exchange)
    {
        m_lastRequest = BootClock::now();
        const HttpRequest& request = exchange->request();
        if (request.method == "GET" && request.target == "/ledger")
            return exchange->respond({ .body = m_ledger });
        if (request.method == "GET" && request.target == "/health")
            return exchange->respond(health());
        if (matchesTarget(request.target, m_options.crashOn))
            _exit(abortStatus);
        if (m_options.shedAbove && m_running + m_waiting.size() >= *m_options.shedAbove)
            return exchange->respond({ .status = 503, .headers = { { "Retry-After", "1" } }, .body = "overloaded\n" });
        if (matchesTarget(request.target, immediateTarget))
            return exchange->respond({ .body = makeStandInResponse(request.target, m_options.id) });
        enqueue(std::move(exchange));
    }

    HttpResponse health() const
    {
        bool isHealthy = m_options.reportsFalseHealth || (!m_isCold && !m_isDraining);
        return { .status = isHealthy ? 200U : 503U, .body = isHealthy ? "ready\n" : "unavailable\n" };
    }

    void enqueue(std::shared_ptr<HttpExchange> exchange)
    {
        auto job = std::make_shared<Job>(Job { std::move(exchange) });
        job->exchange->setCancelHook([this, weak = std::weak_ptr(job)] {
            if (auto cancelled = weak.lock())
                cancel(cancelled);
        });
        m_waiting.push_back(std::move(job));
        startWaiting();
    }

    void cancel(const std::shared_ptr<Job>& job)
    {
        job->isCancelled = true;
        if (std::erase(m_stalled, job) == 0)
            return;
        --m_running;
        startWaiting();
    }

    void startWaiting()
    {
        while (m_running < m_options.slots && !m_waiting.empty()) {
            auto job = std::move(m_waiting.front());
            m_waiting.pop_front();
            if (!job->isCancelled)
                execute(job);
        }
    }

    // Records an order before its service time, so that the ledger also contains orders that are interrupted later.
    void execute(const std::shared_ptr<Job>& job)
    {
        ++m_running;
        const HttpRequest& request = job->exchange->request();
        if (request.method == "POST")
            record(request);
        if (matchesTarget(request.target, m_options.stallOn))
            return m_stalled.push_back(job);
        auto timer = std::make_shared<asio::steady_timer>(m_context, nextServiceTime());
        timer->async_wait([this, timer, job](boost::system::error_code) { finish(*job); });
    }

    void finish(Job& job)
    {
        --m_running;
        std::string target = job.exchange->request().target;
        job.exchange->respond(
            { .headers = { { "Content-Type", "text/plain" } }, .body = makeStandInResponse(target, m_options.id) });
        startWaiting();
    }

    void record(const HttpRequest& request)
    {
        std::string_view key = request.header("Idempotency-Key");
        std::string line = (key.empty() ? "-" : std::string(key)) + " " + request.target + "\n";
        m_ledger += line;
        if (m_ledgerFile.is_open())
            m_ledgerFile << line << std::flush;
    }

    std::chrono::microseconds nextServiceTime()
    {
        auto mean = std::chrono::duration_cast<std::chrono::microseconds>(m_options.serviceTime).count();
        if (mean <= 0)
            return {};
        std::exponential_distribution<double> distribution(1.0 / static_cast<double>(mean));
        auto drawn = static_cast<int64_t>(distribution(m_random));
        return std::chrono::microseconds(m_isCold ? drawn * coldSlowdown : drawn);
    }

    void drain()
    {
        m_isDraining = true;
        m_lastRequest = BootClock::now();
        m_announcer.setState(m_options.reportsFalseHealth ? "ready" : "draining");
        pollDrained();
    }

    void pollDrained()
    {
        bool isQuiet = BootClock::now() - m_lastRequest >= drainQuietTime;
        if (isQuiet && m_running == m_stalled.size() && m_waiting.empty())
            return stop();
        m_timer.expires_after(drainPollInterval);
        m_timer.async_wait([this](boost::system::error_code) { pollDrained(); });
    }

    void stop()
    {
        m_announcer.setState("stopped");
        m_context.stop();
    }

    asio::io_context m_context { 1 };
    const UpstreamStandInOptions m_options;
    std::mt19937_64 m_random;
    Metrics m_metrics;
    asio::signal_set m_signals;
    asio::steady_timer m_timer;
    Announcer m_announcer;
    std::string m_ledger;
    std::ofstream m_ledgerFile;
    std::deque<std::shared_ptr<Job>> m_waiting;
    std::deque<std::shared_ptr<Job>> m_stalled;
    size_t m_running { 0 };
    bool m_isCold { true };
    bool m_isDraining { false };
    TimePoint m_lastRequest;
    HttpServer m_server;
};

UpstreamStandIn::UpstreamStandIn(UpstreamStandInOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{
}

UpstreamStandIn::~UpstreamStandIn() = default;

int UpstreamStandIn::run()
{
    return m_impl->run();
}

std::string makeStandInResponse(std::string_view target, std::string_view upstream)
{
    std::string body = "target=" + std::string(target) + "\nupstream=" + std::string(upstream) + "\n";
    body += std::string(checksumLabel) + hexDigest(body) + "\n";
    return body;
}

ResponseFault checkStandInResponse(std::string_view body, std::string_view target)
{
    size_t label = body.rfind(checksumLabel);
    if (label == std::string_view::npos)
        return ResponseFault::Truncated;
    std::string expected = std::string(checksumLabel) + hexDigest(body.substr(0, label)) + "\n";
    if (body.substr(label) != expected)
        return ResponseFault::Truncated;
    std::string first = "target=" + std::string(target) + "\n";
    return body.starts_with(first) ? ResponseFault::None : ResponseFault::Mismatched;
}

} // namespace dragonflylane
