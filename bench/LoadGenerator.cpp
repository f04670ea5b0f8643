#include "bench/LoadGenerator.h"

#include "dragonflylane/Metrics.h"
#include "dragonflylane/UpstreamClient.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <cmath>
#include <deque>
#include <memory>
#include <random>

namespace dragonflylane {

namespace asio = boost::asio;

namespace {

    struct PlannedCall {
        uint64_t number { 0 };
        TimePoint intended;
        bool isOrder { false };
        bool isMeasured { false };
    };

    struct Target {
        std::unique_ptr<UpstreamClient> client;
        size_t inFlight { 0 };
        std::deque<PlannedCall> waiting;
    };

    class Generator {
    public:
        explicit Generator(const LoadOptions& options)
            : m_options(options)
            , m_timer(m_context)
            , m_times(intendedSendTimes(options.callsPerSecond, options.duration, options.seed))
            , m_random(options.seed + 1)
        {
            for (const Endpoint& endpoint : options.targets) {
                UpstreamClientOptions client { .upstream = endpoint, .maxIdleConnections = options.maxConnections };
                m_targets.push_back({ std::make_unique<UpstreamClient>(m_context, client, m_metrics), 0, {} });
            }
        }

        LoadResult run()
        {
            m_start = BootClock::now();
            sendDue();
            m_context.run();
            return std::move(m_result);
        }

    private:
        void sendDue()
        {
            TimePoint now = BootClock::now();
            for (; m_next < m_times.size() && m_start + m_times[m_next] <= now; ++m_next)
                sendCall(m_next);
            if (m_next == m_times.size())
                return;
            m_timer.expires_after(m_start + m_times[m_next] - BootClock::now());
            m_timer.async_wait([this](boost::system::error_code) { sendDue(); });
        }

        void sendCall(size_t number)
        {
            PlannedCall call { .number = number, .intended = m_start + m_times[number] };
            call.isOrder = std::uniform_real_distribution<>(0, 1)(m_random) < m_options.orderShare;
            call.isMeasured = m_times[number] >= m_options.measureFrom;
            Target& target = m_targets[std::uniform_int_distribution<size_t>(0, m_targets.size() - 1)(m_random)];
            if (call.isMeasured)
                ++count(call).sent;
            if (target.inFlight >= m_options.maxConnections)
                return target.waiting.push_back(call);
            m_result.maxSendDelay = std::max(m_result.maxSendDelay, BootClock::now() - call.intended);
            start(target, call);
        }

        void start(Target& target, const PlannedCall& call)
        {
            ++target.inFlight;
            HttpRequest request = makeRequest(call);
            std::string expected = request.target;
            // Waits longer than the deadline, so that late responses are counted as late and not as failed.
            TimePoint timeout = std::max(call.intended, BootClock::now()) + 2 * m_options.deadline;
            target.client->send(std::move(request), true, timeout,
                [this, &target, call, expected = std::move(expected)](
                    const UpstreamResult& result) { finish(target, call, expected, result); });
        }

        HttpRequest makeRequest(const PlannedCall& call) const
        {
            std::string id = std::to_string(m_options.seed) + "-" + std::to_string(call.number);
            HttpRequest request { .method = call.isOrder ? "POST" : "GET", .target = m_options.path + id };
            auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(m_options.deadline).count();
            request.headers.push_back({ "Dragonflylane-Deadline-Ms", std::to_string(milliseconds) });
            if (call.isOrder && m_options.hasOrderKeys)
                request.headers.push_back({ "Idempotency-Key", id });
            if (call.isOrder)
                request.body = "order " + id;
            return request;
        }

        void finish(Target& target, const PlannedCall& call, const std::string& expected, const UpstreamResult& result)
        {
            --target.inFlight;
            if (call.isMeasured)
                record(call, expected, result);
            if (target.waiting.empty())
                return;
            PlannedCall next = target.waiting.front();
            target.waiting.pop_front();
            start(target, next);
        }

        void record(const PlannedCall& call, const std::string& expected, const UpstreamResult& result)
        {
            LoadCount& counts = count(call);
            Duration latency = BootClock::now() - call.intended;
            counts.latencies.push_back(latency);
            if (result.code != ResultCode::Ok) {
                ++counts.failed;
                return;
            }
            ++counts.byStatus[result.response.status];
            std::string code(result.response.header("Dragonflylane-Code"));
            if (!code.empty())
                ++counts.byCode[code];
            if (result.response.status != 200)
                return;
            if (result.response.body != expected)
                ++counts.wrongContent;
            else if (latency > m_options.deadline)
                ++counts.late;
            else
                ++counts.good;
        }

        LoadCount& count(const PlannedCall& call) { return call.isOrder ? m_result.orders : m_result.lookups; }

        const LoadOptions& m_options;
        asio::io_context m_context { 1 };
        asio::steady_timer m_timer;
        Metrics m_metrics;
        std::vector<Duration> m_times;
        std::mt19937_64 m_random;
        std::vector<Target> m_targets;
        size_t m_next { 0 };
        TimePoint m_start;
        LoadResult m_result;
    };

    template <typename Key> void addCounts(std::map<Key, uint64_t>& sum, const std::map<Key, uint64_t>& counts)
    {
        for (const auto& [key, value] : counts)
            sum[key] += value;
    }

} // namespace

void LoadCount::merge(const LoadCount& other)
{
    sent += other.sent;
    good += other.good;
    wrongContent += other.wrongContent;
    late += other.late;
    failed += other.failed;
    addCounts(byStatus, other.byStatus);
    addCounts(byCode, other.byCode);
    latencies.insert(latencies.end(), other.latencies.begin(), other.latencies.end());
}

Duration LoadCount::quantile(double q) const
{
    if (latencies.empty())
        return {};
    std::vector<Duration> sorted = latencies;
    auto rank = static_cast<size_t>(std::ceil(q * static_cast<double>(sorted.size())));
    auto position = sorted.begin() + static_cast<ptrdiff_t>(std::clamp<size_t>(rank, 1, sorted.size()) - 1);
    std::nth_element(sorted.begin(), position, sorted.end());
    return *position;
}

void LoadResult::merge(const LoadResult& other)
{
    lookups.merge(other.lookups);
    orders.merge(other.orders);
    maxSendDelay = std::max(maxSendDelay, other.maxSendDelay);
}

std::vector<Duration> intendedSendTimes(double callsPerSecond, Duration duration, uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<> gap(callsPerSecond);
    std::vector<Duration> times;
    double end = std::chrono::duration<double>(duration).count();
    for (double at = gap(random); at < end; at += gap(random))
        times.push_back(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at)));
    return times;
}

LoadResult runLoad(const LoadOptions& options)
{
    return Generator(options).run();
}

} // namespace dragonflylane
