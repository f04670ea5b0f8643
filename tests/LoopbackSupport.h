#pragma once

// Plain blocking sockets on loopback, with ports from the kernel, for tests that must send exactly these bytes.

#include "dragonflylane/BootClock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dragonflylane {

/// Checks the condition every few milliseconds; false if it does not hold before the limit.
bool waitUntil(const std::function<bool()>& condition, Duration limit = std::chrono::seconds(60));

/// One TCP connection. Reads give up after ten seconds, so a fault fails the test instead of stopping it.
class RawSocket {
public:
    explicit RawSocket(int descriptor);
    ~RawSocket();
    RawSocket(RawSocket&&) noexcept;
    RawSocket& operator=(RawSocket&&) = delete;

    static RawSocket connectTo(uint16_t port);

    /// False if the peer has closed the connection.
    bool write(std::string_view) const;
    /// Everything up to and including the text, or up to the end of the stream.
    std::string readUntil(std::string_view text);
    std::string readUntilClosed();
    /// True if the last read ended with a reset instead of an orderly end.
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
    /// Waits for the next connection.
    RawSocket accept() const;
    /// True if no connection is waiting.
    bool isQuiet() const;
    void close();

private:
    int m_descriptor;
    uint16_t m_port { 0 };
};

} // namespace dragonflylane
