#include "tests/LoopbackSupport.h"

#include <arpa/inet.h>
#include <array>
#include <boost/json.hpp>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace dragonflylane {

namespace {

    sockaddr_in loopbackAddress(uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

} // namespace

bool waitUntil(const std::function<bool()>& condition, Duration limit)
{
    TimePoint end = BootClock::now() + limit;
    while (!condition()) {
        if (BootClock::now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

RawSocket::RawSocket(int descriptor)
    : m_descriptor(descriptor)
{
    timeval limit { .tv_sec = 10, .tv_usec = 0 };
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(m_descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

RawSocket::~RawSocket()
{
    close();
}

RawSocket::RawSocket(RawSocket&& other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_buffer(std::move(other.m_buffer))
    , m_wasReset(other.m_wasReset)
{
}

RawSocket RawSocket::connectTo(uint16_t port)
{
    RawSocket result(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address = loopbackAddress(port);
    if (connect(result.m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
        result.close();
    return result;
}

bool RawSocket::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        ssize_t count = send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
}

std::string RawSocket::readUntil(std::string_view text)
{
    std::array<char, 4096> chunk {};
    while (true) {
        size_t found = text.empty() ? std::string::npos : m_buffer.find(text);
        if (found != std::string::npos) {
            std::string result = m_buffer.substr(0, found + text.size());
            m_buffer.erase(0, result.size());
            return result;
        }
        ssize_t count = recv(m_descriptor, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            m_wasReset = count < 0;
            return std::exchange(m_buffer, {});
        }
        m_buffer.append(chunk.data(), static_cast<size_t>(count));
    }
}

std::string RawSocket::readUntilClosed()
{
    return readUntil({});
}

void RawSocket::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

void RawSocket::shutdownWrite() const
{
    shutdown(m_descriptor, SHUT_WR);
}

RawListener::RawListener()
    : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address = loopbackAddress(0);
    socklen_t size = sizeof(address);
    bool isBound = bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0
        && getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0
        && listen(m_descriptor, SOMAXCONN) == 0;
    if (isBound)
        m_port = ntohs(address.sin_port);
}

RawListener::~RawListener()
{
    close();
}

RawSocket RawListener::accept() const
{
    constexpr int limitMilliseconds = 10'000;
    pollfd waiting { .fd = m_descriptor, .events = POLLIN, .revents = 0 };
    poll(&waiting, 1, limitMilliseconds);
    return RawSocket(waiting.revents != 0 ? accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC) : -1);
}

bool RawListener::hasNoPendingConnection() const
{
    pollfd waiting { .fd = m_descriptor, .events = POLLIN, .revents = 0 };
    return poll(&waiting, 1, 0) == 0;
}

void RawListener::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

namespace {

    // Below the range of the ports that the kernel gives to outgoing connections, one of which would otherwise take a
    // port before the process that is to listen there has started. Each test process has a block of ports of its own.
    uint16_t nextPort()
    {
        constexpr int firstPort = 10000;
        constexpr int blocks = 200;
        constexpr int portsPerBlock = 100;
        static int next = 0;
        return static_cast<uint16_t>(firstPort + getpid() % blocks * portsPerBlock + next++ % portsPerBlock);
    }

} // namespace

// All sockets stay open until all ports have been chosen, so that no port is chosen twice.
std::vector<uint16_t> freePorts(size_t count)
{
    std::vector<uint16_t> ports;
    std::vector<int> sockets;
    while (ports.size() < count) {
        int tcp = socket(AF_INET, SOCK_STREAM, 0);
        int udp = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(nextPort());
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        bool isFree = bind(tcp, generic, sizeof(address)) == 0 && bind(udp, generic, sizeof(address)) == 0;
        if (isFree)
            ports.push_back(ntohs(address.sin_port));
        sockets.insert(sockets.end(), { tcp, udp });
    }
    for (int descriptor : sockets)
        close(descriptor);
    return ports;
}

std::string loopback(uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string exchange(uint16_t port, const std::string& method, const std::string& target, const std::string& body)
{
    RawSocket socket = RawSocket::connectTo(port);
    socket.write(method + " " + target + " HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body);
    return socket.readUntilClosed();
}

int statusOf(const std::string& answer)
{
    constexpr size_t statusOffset = 9;
    return answer.size() > statusOffset ? std::atoi(answer.c_str() + statusOffset) : 0;
}

std::string bodyOf(const std::string& answer)
{
    size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? "" : answer.substr(end + 4);
}

bool confirmPlan(uint16_t api, const std::string& plan)
{
    boost::system::error_code error;
    boost::json::value answer = boost::json::parse(bodyOf(exchange(api, "POST", "/v1/plans", plan)), error);
    if (error || !answer.is_object() || !answer.as_object().contains("plan"))
        return false;
    std::string id(answer.as_object().at("plan").as_string());
    return statusOf(exchange(api, "POST", "/v1/plans/" + id + "/confirm", "")) / 100 == 2;
}

} // namespace dragonflylane
