#pragma once

// Runs both sides of duplicate records over the peer links: the keeper's table and the entry daemon's claims.

#include "dragonflylane/ClaimCoordinator.h"
#include "dragonflylane/DuplicateRecords.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace dragonflylane {

class Metrics;
class PeerHub;
struct PeerFrame;

/// Owns records and claims of this daemon.
class ClaimTask {
public:
    /// Ok: the request may run. Otherwise it must not; with a stored answer, `isReplay` is set.
    struct Outcome {
        ResultCode code { ResultCode::Ok };
        bool isReplay { false };
        std::string answer;
    };
    using Callback = std::function<void(const Outcome&)>;
    /// Time at which the configuration of this daemon was last proved to be current.
    using ProofSource = std::function<std::optional<TimePoint>()>;

    ClaimTask(boost::asio::io_context&, const HostId& self, uint64_t life, PeerHub&, Metrics&, ProofSource);

    void start();
    void stop();
    /// Takes the keeper view of a configuration that this daemon may rely on (it has a floor).
    void setView(const KeeperView&);
    void setNoView();

    void claim(uint64_t call, std::string key, Callback);
    void handedOver(uint64_t call) { m_coordinator.handedOver(call); }
    void notRun(uint64_t call) { m_coordinator.notRun(call); }
    void finish(uint64_t call, std::string answer);
    void finishUnknown(uint64_t call);
    void abandon(uint64_t call);
    void exportMetrics() const;

private:
    void handleFrame(const PeerFrame&);
    void deliver(const HostId& from, const ClaimMessage&);
    void drain();
    void send(const ClaimSend&);
    void updateProof();
    void finishClaim(uint64_t call, const Outcome&);

    boost::asio::io_context& m_context;
    HostId m_self;
    PeerHub& m_hub;
    Metrics& m_metrics;
    ProofSource m_proofSource;
    DuplicateRecords m_records;
    ClaimCoordinator m_coordinator;
    std::unordered_map<uint64_t, Callback> m_callbacks;
    WakeupTimer m_timer;
    bool m_isStopped { false };
};

} // namespace dragonflylane
