#pragma once

// Watches when each daemon's routing table holds a revision.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace dragonflylane {

/// Asks all daemons in parallel over kept-alive connections and each again after a pause until it holds the revision.
/// Resolution: the pause. Asking costs the daemons time, so the measured times are upper bounds.
class RevisionWatch {
public:
    explicit RevisionWatch(const std::vector<Endpoint>& apis);
    ~RevisionWatch();
    RevisionWatch(const RevisionWatch&) = delete;
    RevisionWatch& operator=(const RevisionWatch&) = delete;

    /// Blocks until all hold the revision or the limit has passed. Returns the time since `begin` for each daemon; one
    /// that does not hold it counts with Duration::max().
    std::vector<Duration> await(uint64_t revision, TimePoint begin, Duration limit);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dragonflylane
