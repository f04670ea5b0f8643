#include "dragonflylane/HttpServer.h"

#include "dragonflylane/HttpSession.h"
#include "dragonflylane/Listener.h"
#include "dragonflylane/Metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <unordered_map>
#include <vector>

namespace dragonflylane {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    Impl(asio::io_context& context, HttpServerOptions options, Metrics& metrics, Handler handler)
        : m_context(context)
        , m_options(std::move(options))
        , m_metrics(metrics)
        , m_acceptor(context)
    {
        m_hooks.handler = std::move(handler);
        m_hooks.closed = [this](HttpSession& session) { m_sessions.erase(&session); };
        m_hooks.refused = [this](ResultCode code) { m_metrics.countCall(code); };
        m_hooks.isStopping = [this] { return m_isStopping; };
    }

    std::error_code start()
    {
        if (auto error = openListener(m_acceptor, m_options.listen, m_port))
            return error;
        accept();
        return {};
    }

    const Endpoint& endpoint() const { return m_options.listen; }
    uint16_t port() const { return m_port; }

    void stop()
    {
        m_isStopping = true;
        acceptPending();
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

    void closeAfterResponses() { m_isStopping = true; }

    void setLimits(const HttpServerOptions& limits)
    {
        Endpoint listen = m_options.listen;
        m_options = limits;
        m_options.listen = listen;
        for (const std::shared_ptr<HttpSession>& session : liveSessions())
            session->limitsChanged();
    }

    void closeIdle()
    {
        for (const std::shared_ptr<HttpSession>& session : liveSessions())
            session->closeIfIdle();
    }

    size_t inFlight() const
    {
        size_t count = 0;
        for (const auto& [key, weak] : m_sessions) {
            auto session = weak.lock();
            count += session && session->isBusy() ? 1 : 0;
        }
        return count;
    }

private:
    // A copy, since a session that closes is removed from the map.
    std::vector<std::shared_ptr<HttpSession>> liveSessions() const
    {
        std::vector<std::shared_ptr<HttpSession>> sessions;
        for (const auto& [key, weak] : m_sessions) {
            if (auto session = weak.lock())
                sessions.push_back(std::move(session));
        }
        return sessions;
    }

    // Connections in the kernel's accept queue may already have sent requests. Closing the listener would reset them.
    void acceptPending()
    {
        boost::system::error_code error;
        m_acceptor.non_blocking(true, error);
        while (!error) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket, error);
            if (!error)
                addSession(std::move(socket));
        }
    }

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            if (!self->m_acceptor.is_open())
                return;
            if (!error)
                self->addSession(std::move(socket));
            self->accept();
        });
    }

    void addSession(tcp::socket socket)
    {
        if (m_sessions.size() >= m_options.maxConnections) {
            m_metrics.countCall(ResultCode::TooManyConnections);
            return;
        }
        auto session = std::make_shared<HttpSession>(std::move(socket), m_options, m_hooks);
        m_sessions.emplace(session.get(), session);
        session->start();
    }

    asio::io_context& m_context;
    HttpServerOptions m_options;
    Metrics& m_metrics;
    tcp::acceptor m_acceptor;
    uint16_t m_port { 0 };
    HttpSession::Hooks m_hooks;
    std::unordered_map<HttpSession*, std::weak_ptr<HttpSession>> m_sessions;
    bool m_isStopping { false };
};

HttpServer::HttpServer(asio::io_context& context, HttpServerOptions options, Metrics& metrics, Handler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(options), metrics, std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    m_impl->stop();
    m_impl->closeIdle();
}
std::error_code HttpServer::start()
{
    return m_impl->start();
}
void HttpServer::stop()
{
    m_impl->stop();
}

void HttpServer::closeAfterResponses()
{
    m_impl->closeAfterResponses();
}

void HttpServer::setLimits(const HttpServerOptions& limits)
{
    m_impl->setLimits(limits);
}

void HttpServer::closeIdle()
{
    m_impl->closeIdle();
}
const Endpoint& HttpServer::endpoint() const
{
    return m_impl->endpoint();
}
uint16_t HttpServer::port() const
{
    return m_impl->port();
}
size_t HttpServer::inFlight() const
{
    return m_impl->inFlight();
}

} // namespace dragonflylane
