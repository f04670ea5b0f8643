#include "tests/LoopbackSupport.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace dragonflylane {

namespace {

    sockaddr_in loopback(uint16_t port)
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
    sockaddr_in address = loopback(port);
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
    sockaddr_in address = loopback(0);
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

} // namespace dragonflylane
