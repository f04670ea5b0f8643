#include "bench/FaultProxy.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <thread>

namespace dragonflylane {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

    tcp::endpoint toAsio(const Endpoint& endpoint)
    {
        return { asio::ip::make_address(endpoint.address), endpoint.port };
    }

    enum class Direction : uint8_t {
        Requests,
        Responses,
    };

    // The connection of a client and the corresponding connection to the target.
    struct ProxiedConnection : std::enable_shared_from_this<ProxiedConnection> {
        ProxiedConnection(asio::io_context& context, tcp::socket client, const ProxyFault& current)
            : context(context)
            , client(std::move(client))
            , target(context)
            , fault(current)
        {
        }

        void start(const Endpoint& to)
        {
            target.async_connect(toAsio(to), [self = shared_from_this()](boost::system::error_code error) {
                if (error)
                    return self->reset();
                self->readNext(Direction::Requests);
                self->readNext(Direction::Responses);
            });
        }

        void readNext(Direction direction)
        {
            bool isRequests = direction == Direction::Requests;
            auto& buffer = isRequests ? requests : responses;
            (isRequests ? client : target)
                .async_read_some(
                    asio::buffer(buffer), [self = shared_from_this(), direction](auto error, size_t bytes) {
                        if (error)
                            return self->close();
                        self->forward(direction, bytes);
                    });
        }

        void forward(Direction direction, size_t bytes)
        {
            bool isRequests = direction == Direction::Requests;
            if (isRequests ? fault.dropsRequests : fault.dropsResponses)
                return readNext(direction);
            auto timer = std::make_shared<asio::steady_timer>(context, fault.delay);
            timer->async_wait([self = shared_from_this(), timer, direction, bytes](boost::system::error_code) {
                bool isRequests = direction == Direction::Requests;
                auto& buffer = isRequests ? self->requests : self->responses;
                asio::async_write(isRequests ? self->target : self->client, asio::buffer(buffer.data(), bytes),
                    [self, direction](auto error, size_t) { error ? self->close() : self->readNext(direction); });
            });
        }

        void close()
        {
            boost::system::error_code ignored;
            client.close(ignored);
            target.close(ignored);
        }

        // Closing a socket with a linger time of zero sends a reset.
        void reset()
        {
            boost::system::error_code ignored;
            client.set_option(asio::socket_base::linger(true, 0), ignored);
            target.set_option(asio::socket_base::linger(true, 0), ignored);
            close();
        }

        asio::io_context& context;
        tcp::socket client;
        tcp::socket target;
        const ProxyFault& fault;
        std::array<char, 16 << 10> requests {};
        std::array<char, 16 << 10> responses {};
    };

} // namespace

class FaultProxy::Impl {
public:
    Impl(const Endpoint& listen, Endpoint target)
        : m_target(std::move(target))
        , m_acceptor(m_context, toAsio(listen))
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Impl()
    {
        m_context.stop();
        m_thread.join();
    }

    void setFault(const ProxyFault& fault)
    {
        asio::post(m_context, [this, fault] { m_fault = fault; });
    }

    void reset()
    {
        asio::post(m_context, [this] {
            for (const auto& connection : m_connections) {
                if (auto open = connection.lock())
                    open->reset();
            }
            m_connections.clear();
        });
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
            if (error)
                return;
            auto connection = std::make_shared<ProxiedConnection>(m_context, std::move(socket), m_fault);
            std::erase_if(m_connections, [](const auto& known) { return known.expired(); });
            m_connections.push_back(connection);
            connection->start(m_target);
            accept();
        });
    }

    const Endpoint m_target;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    ProxyFault m_fault;
    std::vector<std::weak_ptr<ProxiedConnection>> m_connections;
    std::thread m_thread;
};

FaultProxy::FaultProxy(const Endpoint& listen, const Endpoint& target)
    : m_impl(std::make_unique<Impl>(listen, target))
{
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::setFault(const ProxyFault& fault)
{
    m_impl->setFault(fault);
}

void FaultProxy::reset()
{
    m_impl->reset();
}

} // namespace dragonflylane
