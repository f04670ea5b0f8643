#pragma once

// Blocking sockets on loopback with ports chosen by the kernel, for tests that control the exact bytes that are sent.

#include "dragonflylane/BootClock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflylane {

/// Checks the condition every 20 ms. Returns false if it does not hold before the limit.
bool waitUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));

/// Ports that are currently free for both TCP and UDP.
std::vector<uint16_t> freePorts(size_t count);
/// Address "127.0.0.1:PORT".
std::string loopback(uint16_t port);

/// Sends one HTTP request on a connection of its own. Returns the whole response, or an empty string if there is none.
std::string exchange(uint16_t port, const std::string& method, const std::string& target, const std::string& body);
/// Status of a whole response; zero if it has none.
int statusOf(const std::string& answer);
std::string bodyOf(const std::string& answer);
/// Proposes a plan at the API of a daemon and confirms it. Returns false if either is refused.
bool confirmPlan(uint16_t api, const std::string& plan);

/// One TCP connection. Reads and writes time out after ten seconds, so that a fault fails the test instead of blocking
/// it.
class RawSocket {
public:
    explicit RawSocket(int descriptor);
    ~RawSocket();
    RawSocket(RawSocket&&) noexcept;
    RawSocket& operator=(RawSocket&&) = delete;

    static RawSocket connectTo(uint16_t port);

    /// Returns false if the peer has closed the connection, or on a timeout.
    bool write(std::string_view) const;
    /// Returns everything up to and including the text, or up to the end of the stream or a timeout.
    std::string readUntil(std::string_view text);
    std::string readUntilClosed();
    /// True if the last read ended with an error, such as a reset or a timeout, instead of the end of the stream.
    bool wasReset() const { return m_wasReset; }
    void close();
    void shutdownWrite() const;
    bool isOpen() const { return m_descriptor >= 0; }

private:
    int m_descriptor;
    std::string m_buffer;
    bool m_wasReset { false };
};

/// A listener on a free port of loopback.
class RawListener {
public:
    RawListener();
    ~RawListener();
    RawListener(const RawListener&) = delete;
    RawListener& operator=(const RawListener&) = delete;

    uint16_t port() const { return m_port; }
    /// Waits up to ten seconds for the next connection. Returns a closed socket on a timeout.
    RawSocket accept() const;
    /// True if no connection is waiting.
    bool hasNoPendingConnection() const;
    void close();

private:
    int m_descriptor;
    uint16_t m_port { 0 };
};

} // namespace dragonflylane
