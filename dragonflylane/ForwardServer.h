#pragma once

// Serves the calls that other daemons forward to the local upstream.

#include "dragonflylane/PeerHub.h"

#include <cstdint>
#include <map>
#include <utility>

namespace dragonflylane {

class Metrics;
class OwnerTask;

/// Passes ForwardRequest and ForwardCancel frames to OwnerTask, and returns its responses to the entry daemons.
class ForwardServer {
public:
    ForwardServer(PeerHub&, OwnerTask&, Metrics&);

    void start();
    bool isIdle() const { return m_calls.empty(); }

private:
    void serve(const PeerFrame&);
    void cancel(const PeerFrame&);

    PeerHub& m_hub;
    OwnerTask& m_owner;
    Metrics& m_metrics;
    /// Call id in OwnerTask, by connection and request id.
    std::map<std::pair<LinkId, int64_t>, uint64_t> m_calls;
};

} // namespace dragonflylane
