#pragma once

// Baseline proxy for comparison. It chooses upstreams at random and retries every failure three times, regardless of
// the method. It has no retry budget, admission control or deadline propagation. Runs in its own thread.

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
