#pragma once

// A TCP proxy on loopback that injects faults into the connections through it.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <memory>

namespace dragonflylane {

/// Fault of all current and future connections, until the next call of setFault().
struct ProxyFault {
    /// Added to each read of data in each direction.
    Duration delay {};
    bool dropsRequests { false };
    bool dropsResponses { false };
};

/// Runs in its own thread. All functions may be called from any thread.
class FaultProxy {
public:
    /// Throws boost::system::system_error if the port is in use.
    FaultProxy(const Endpoint& listen, const Endpoint& target);
    ~FaultProxy();
    FaultProxy(const FaultProxy&) = delete;
    FaultProxy& operator=(const FaultProxy&) = delete;

    void setFault(const ProxyFault&);
    /// Resets all connections. Must follow a fault that drops data, because the connections have lost these bytes.
    void reset();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dragonflylane
