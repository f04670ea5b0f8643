#pragma once

// Coordinator of idempotency claims at the entry daemon (docs/design.md, 5.4). Before a request with an idempotency key
// is forwarded, its key is claimed at a majority of the key's keepers (the hosts that store its idempotency record).
//
//     coordinator.claim(callId, claimKey(tenant, method, target, key), now);
//     for (ClaimOutput& output : coordinator.takeOutputs())
//         // ClaimSend: send it. ClaimGranted: call markForwarded(callId), then forward the request.
//         // ClaimRefused: answer the caller with the code, or with the stored response if the code is Ok.
//     coordinator.finish(callId, answer, now);          // or finishUnknown(), or abandon() if nothing was forwarded
//
// The caller of this class must call markForwarded() before it sends any byte of the request to an owner. abandon()
// releases a claim only if that has not happened, or if markNotRun() has reported since then that no attempt has run.
// The end of a claim (release or finish) is resent until the keepers have acknowledged it or the maximum number of
// sends is reached.
//
// A majority of grants takes precedence over a reply that another claim is running. This is safe because such a
// majority excludes any other: no keeper grants a key if it may lack a record of it that a majority made
// (IdempotencyRecords). So the other claim has no majority and will not get one. The reply might as well have been
// lost. Without this rule, two coordinators that reached one and two keepers first would both fail. A reply with an
// outcome (Finished or Unknown) still takes precedence over grants that are not a majority yet, since its request did
// run.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/ClaimMessages.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/KeeperSelection.h"
#include "dragonflylane/ResultCode.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace dragonflylane {

/// The request may run: no other copy of it has run or will run.
struct ClaimGranted {
    uint64_t call { 0 };
};

/// The request must not run. Codes: Ok with the stored response of the first request, DuplicateRunning,
/// DuplicateUnknown, or a refusal that means "not run": ClaimNotRecorded, DuplicateTableFull, KeeperNotReady,
/// EpochMismatch.
struct ClaimRefused {
    uint64_t call { 0 };
    ResultCode code { ResultCode::Ok };
    std::string answer;
};

using ClaimOutput = std::variant<ClaimSend, ClaimGranted, ClaimRefused>;

struct ClaimCoordinatorOptions {
    HostId self;
    /// Boot ID: random number that identifies one run of the daemon process.
    uint64_t bootId { 0 };
    Duration timeout { claimTimeout };
    /// Interval at which releases and finishes are resent until they are acknowledged.
    Duration resendInterval { std::chrono::milliseconds(250) };
    uint32_t maxSends { 5 };
    /// No claim is started if the configuration was last proven current longer ago than this.
    Duration maxConfigurationAge { claimMaxConfigurationAge };

    // Switches that disable a mechanism for a test. Without requireMajority, one grant suffices.
    bool requireMajority { true };
    bool fenceStaleConfiguration { true };
    bool majorityOverridesRunning { true };
};

class ClaimCoordinator {
public:
    explicit ClaimCoordinator(ClaimCoordinatorOptions);

    /// Sets the keeper view of a new routing table. Open claims continue with the keepers that they were sent to.
    void setView(const KeeperView&);
    /// Sets the time at which the configuration of the view was last proven current. Earlier times are ignored.
    void setProvenAt(TimePoint);
    /// Starts a claim for a call. Call ids must be unique among open calls.
    void claim(uint64_t call, std::string key, TimePoint now);
    /// Call this before the request is forwarded. From then on the claim is not released unless markNotRun() is called.
    void markForwarded(uint64_t call);
    /// Call this when it is certain that no attempt so far has run. The claim may then be released again.
    void markNotRun(uint64_t call);
    /// Ends the claim with the response that the caller gets. Responses over maxStoredAnswerBytes are recorded without
    /// content.
    void finish(uint64_t call, std::string answer, TimePoint now);
    /// Ends the claim with an unknown outcome; retries of the request get DuplicateUnknown.
    void finishUnknown(uint64_t call, TimePoint now);
    /// Releases the claim of a call that has not run. After markForwarded() this is the same as finishUnknown().
    void abandon(uint64_t call, TimePoint now);

    void receive(const HostId& from, const ClaimMessage&, TimePoint now);
    void tick(TimePoint now);
    std::optional<TimePoint> nextWakeup() const;
    std::vector<ClaimOutput> takeOutputs();

    size_t openCalls() const { return m_calls.size(); }

private:
    enum class Phase : uint8_t {
        Pending,
        Granted,
    };

    struct Call {
        uint64_t number { 0 };
        std::string key;
        std::vector<HostId> keepers;
        std::set<HostId> granted;
        std::set<HostId> answered;
        Phase phase { Phase::Pending };
        bool isForwarded { false };
        TimePoint askedAt;
        /// Code for the caller if the claim gets neither a majority nor the outcome of an earlier request.
        ResultCode refusal { ResultCode::ClaimNotRecorded };
    };

    /// A release or finish that some keepers have not acknowledged.
    struct Closing {
        ClaimMessage message;
        std::set<HostId> unacknowledged;
        uint32_t sends { 0 };
        TimePoint nextSendAt;
    };

    ClaimId idOf(const Call& call) const { return { m_options.self, m_options.bootId, call.number }; }
    void handleReply(const HostId& from, const ClaimReply&, TimePoint now);
    void handleAck(const HostId& from, const ClaimAck&);
    void decide(uint64_t call, TimePoint now);
    bool isConfigurationStale(TimePoint now) const;
    void refuse(uint64_t call, ResultCode, std::string answer, TimePoint now);
    void close(const Call&, ClaimMessage, TimePoint now);
    void sendClosing(uint64_t number, TimePoint now);
    void removeCall(uint64_t call);

    ClaimCoordinatorOptions m_options;
    KeeperView m_view;
    std::optional<TimePoint> m_provenAt;
    uint64_t m_nextNumber { 1 };
    std::unordered_map<uint64_t, Call> m_calls;
    std::unordered_map<uint64_t, uint64_t> m_callOfNumber;
    std::map<uint64_t, Closing> m_closing;
    /// Times at which pending claims fail.
    std::set<std::pair<TimePoint, uint64_t>> m_timeouts;
    /// Times at which unacknowledged releases and finishes are resent.
    std::set<std::pair<TimePoint, uint64_t>> m_resends;
    std::vector<ClaimOutput> m_outputs;
};

} // namespace dragonflylane
