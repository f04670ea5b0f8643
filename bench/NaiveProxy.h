#pragma once

// Baseline proxy: random choice of the upstream, three retries of every failure whatever the method, no retry budget,
// no admission, no deadline propagation. In a thread of its own.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <atomic>
#include <memory>
#include <vector>

namespace dragonflylane {

struct NaiveProxyOptions {
    Endpoint listen;
    std::vector<Endpoint> upstreams;
    unsigned retries { 3 };
    Duration attemptTimeout { std::chrono::milliseconds(250) };
    uint64_t seed { 1 };
};

/// Runs from construction to destruction.
class NaiveProxy {
public:
    /// Throws std::runtime_error if it cannot listen.
    explicit NaiveProxy(NaiveProxyOptions);
    ~NaiveProxy();
    NaiveProxy(const NaiveProxy&) = delete;
    NaiveProxy& operator=(const NaiveProxy&) = delete;

    uint64_t attempts() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dragonflylane
