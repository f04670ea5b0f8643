#pragma once

// Exchanges the messages of CrashReplication with other daemons.

#include "dragonflylane/CrashReplication.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <vector>

namespace dragonflylane {

class CrashTask;
class Metrics;
class PeerHub;
struct PeerFrame;

class CrashSyncTask {
public:
    using ChoosePeers = std::function<std::vector<HostId>(size_t count)>;

    CrashSyncTask(boost::asio::io_context&, CrashTask&, PeerHub&, Metrics&, ChoosePeers);

    void start();
    void stop();
    /// Call this when the members are known. Has an effect only once.
    void join();
    /// True once the others have been asked which requests they suspect.
    bool isSynchronised() const;

private:
    void handleFrame(const PeerFrame&);
    void processOutputs();

    PeerHub& m_hub;
    Metrics& m_metrics;
    CrashReplication m_replication;
    WakeupTimer m_timer;
    bool m_isStopped { false };
};

} // namespace dragonflylane
