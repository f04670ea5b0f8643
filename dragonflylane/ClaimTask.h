#pragma once

// Connects both sides of the idempotency records to the peer links: the records that this daemon stores as a keeper,
// and the claims of idempotency keys that it makes as an entry daemon (docs/design.md, 5.4).

#include "dragonflylane/ClaimCoordinator.h"
#include "dragonflylane/IdempotencyRecords.h"
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

/// Owns the idempotency records and the open claims of this daemon.
class ClaimTask {
public:
    /// Result of a claim. If code is Ok and isReplay is false, the request may run. If isReplay is set, the request
    /// must not run and the caller gets the stored response. Any other code refuses the request.
    struct Outcome {
        ResultCode code { ResultCode::Ok };
        bool isReplay { false };
        std::string answer;
    };
    using Callback = std::function<void(const Outcome&)>;
    /// Returns the time up to which the configuration of this daemon is proven current, if it is.
    using ProvenAtSource = std::function<std::optional<TimePoint>()>;

    ClaimTask(boost::asio::io_context&, const HostId& self, uint64_t bootId, PeerHub&, Metrics&, ProvenAtSource);

    void start();
    void stop();
    /// Applies the keeper view of the current configuration. To be called only once the configuration has been
    /// proven current since the start.
    void setView(const KeeperView&);
    /// The same for a configuration without a keeper view.
    void setNoView();

    /// Claims an idempotency key. The functions below report what became of the call, see ClaimCoordinator.
    void claim(uint64_t call, std::string key, Callback);
    void markForwarded(uint64_t call) { m_coordinator.markForwarded(call); }
    void markNotRun(uint64_t call) { m_coordinator.markNotRun(call); }
    void finish(uint64_t call, std::string answer);
    void finishUnknown(uint64_t call);
    void abandon(uint64_t call);
    void exportMetrics() const;

private:
    void handleFrame(const PeerFrame&);
    void deliver(const HostId& from, const ClaimMessage&);
    void processOutputs();
    void send(const ClaimSend&);
    void updateProvenAt();
    void finishClaim(uint64_t call, const Outcome&);

    boost::asio::io_context& m_context;
    HostId m_self;
    PeerHub& m_hub;
    Metrics& m_metrics;
    ProvenAtSource m_provenAtSource;
    IdempotencyRecords m_records;
    ClaimCoordinator m_coordinator;
    std::unordered_map<uint64_t, Callback> m_callbacks;
    WakeupTimer m_timer;
    bool m_isStopped { false };
};

} // namespace dragonflylane
