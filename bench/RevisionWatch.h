#pragma once

// Measures when the routing table of each daemon reaches a revision.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace dragonflylane {

/// Polls all daemons in parallel over persistent connections until each has the revision. The resolution is the poll
/// interval (25 ms). Polling loads the daemons, so the measured times are upper bounds.
class RevisionWatch {
public:
    explicit RevisionWatch(const std::vector<Endpoint>& apis);
    ~RevisionWatch();
    RevisionWatch(const RevisionWatch&) = delete;
    RevisionWatch& operator=(const RevisionWatch&) = delete;

    /// Blocks until all daemons have the revision or the limit has passed. Returns the time since `begin` for each
    /// daemon, or Duration::max() for one that does not have the revision.
    std::vector<Duration> await(uint64_t revision, TimePoint begin, Duration limit);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dragonflylane
