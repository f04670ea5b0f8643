#include "bench/RevisionWatch.h"

#include "dragonflylane/Metrics.h"
#include "dragonflylane/UpstreamClient.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

namespace dragonflylane {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds pollInterval { 25 };
    constexpr std::chrono::seconds requestTimeout { 1 };

    uint64_t heldRevision(const UpstreamResult& result)
    {
        boost::system::error_code error;
        json::value document = json::parse(result.response.body, error);
        const json::object* object = error ? nullptr : document.if_object();
        const json::value* revision = object ? object->if_contains("revision") : nullptr;
        return revision && revision->is_number() ? revision->to_number<uint64_t>() : 0;
    }

} // namespace

class RevisionWatch::Impl {
public:
    explicit Impl(const std::vector<Endpoint>& apis)
    {
        for (const Endpoint& api : apis)
            m_daemons.push_back(std::make_unique<Daemon>(m_context, api, m_metrics));
    }

    std::vector<Duration> await(uint64_t revision, TimePoint begin, Duration limit)
    {
        m_revision = revision;
        m_begin = begin;
        m_end = BootClock::now() + limit;
        for (const auto& daemon : m_daemons) {
            daemon->heldAfter = Duration::max();
            poll(*daemon);
        }
        m_context.restart();
        m_context.run();
        std::vector<Duration> times;
        for (const auto& daemon : m_daemons)
            times.push_back(daemon->heldAfter);
        return times;
    }

private:
    struct Daemon {
        Daemon(asio::io_context& context, const Endpoint& api, Metrics& metrics)
            : client(context, { .upstream = api }, metrics)
            , timer(context)
        {
        }

        UpstreamClient client;
        asio::steady_timer timer;
        Duration heldAfter {};
    };

    void poll(Daemon& daemon)
    {
        daemon.client.send({ .method = "GET", .target = "/v1/routing-table" }, true, BootClock::now() + requestTimeout,
            [this, &daemon](const UpstreamResult& result) { handleResult(daemon, result); });
    }

    void handleResult(Daemon& daemon, const UpstreamResult& result)
    {
        TimePoint now = BootClock::now();
        bool isHeld
            = result.code == ResultCode::Ok && result.response.status == 200 && heldRevision(result) >= m_revision;
        if (isHeld) {
            daemon.heldAfter = now - m_begin;
            return;
        }
        if (now >= m_end)
            return;
        daemon.timer.expires_after(pollInterval);
        daemon.timer.async_wait([this, &daemon](boost::system::error_code) { poll(daemon); });
    }

    Metrics m_metrics;
    asio::io_context m_context { 1 };
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    uint64_t m_revision { 0 };
    TimePoint m_begin;
    TimePoint m_end;
};

RevisionWatch::RevisionWatch(const std::vector<Endpoint>& apis)
    : m_impl(std::make_unique<Impl>(apis))
{
}

RevisionWatch::~RevisionWatch() = default;

std::vector<Duration> RevisionWatch::await(uint64_t revision, TimePoint begin, Duration limit)
{
    return m_impl->await(revision, begin, limit);
}

} // namespace dragonflylane
