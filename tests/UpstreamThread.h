#pragma once

#include "tests/StatingUpstream.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <thread>

namespace dragonflylane {

/// A StatingUpstream that runs on a thread of its own.
class UpstreamThread {
public:
    UpstreamThread()
        : m_upstream(m_context, m_metrics)
        , m_thread([this] { m_context.run(); })
    {
    }

    ~UpstreamThread()
    {
        m_context.stop();
        m_thread.join();
    }

    Endpoint endpoint() const { return m_endpoint; }

    /// Runs a function on the thread of the upstream.
    template <typename Function> auto with(Function function)
    {
        std::packaged_task<decltype(function(m_upstream))()> task([&] { return function(m_upstream); });
        auto result = task.get_future();
        boost::asio::post(m_context, [&] { task(); });
        return result.get();
    }

    size_t arrivals()
    {
        return with([](StatingUpstream& upstream) { return upstream.arrivals().size(); });
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work { m_context.get_executor() };
    Metrics m_metrics;
    StatingUpstream m_upstream;
    const Endpoint m_endpoint { m_upstream.endpoint() };
    std::thread m_thread;
};

} // namespace dragonflylane
