#pragma once

// Entry side of duplicate records (5.4): claims a key at its keepers before the request is handed over.
//
//     coordinator.claim(callId, claimKey(service, key), now);
//     for (ClaimOutput& output : coordinator.takeOutputs())
//         // ClaimSend: send it. ClaimGranted: hand the request over, after handedOver(callId).
//         // ClaimRefused: answer the caller with the code, or with the stored answer if the code is Ok.
//     coordinator.finish(callId, answer, now);          // or finishUnknown(), or abandon() if nothing was handed over
//
// The task calls handedOver() before it sends any byte of the request to an owner. abandon() releases a claim only
// if that has not happened; proved "not run" refusals by owners are reported with notRun(). The end of a claim is sent
// again until the keepers have acknowledged the end or the resends are used up.
//
// A granted majority outweighs a report that another claim is running. Safe because that majority alone excludes any
// other: no keeper grants a key of which it may lack a record that a majority made (DuplicateRecords), and a lost
// report would change nothing either. So the other claim has no majority, or will not get one. Without this rule, two
// coordinators that reached one and two keepers first would both give up. A report of an outcome still takes precedence
// over grants that are not a majority yet, since its request did run.

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

/// The request may run; no other copy of it has run or will.
struct ClaimGranted {
    uint64_t call { 0 };
};

/// The request must not run. Codes: Ok with the first answer, DuplicateRunning, DuplicateUnknown, or a refusal that
/// means "not run": ClaimNotRecorded, DuplicateTableFull, KeeperNotReady, EpochMismatch.
struct ClaimRefused {
    uint64_t call { 0 };
    ResultCode code { ResultCode::Ok };
    std::string answer;
};

using ClaimOutput = std::variant<ClaimSend, ClaimGranted, ClaimRefused>;

struct ClaimCoordinatorOptions {
    HostId self;
    /// Random number that differs between successive lives of the daemon.
    uint64_t life { 0 };
    Duration timeout { claimTimeout };
    /// Releases and finishes are sent again until they are acknowledged.
    Duration resendInterval { std::chrono::milliseconds(250) };
    uint32_t maxSends { 5 };
    /// Largest age of the proof of the configuration with which claims are started.
    Duration proofLimit { claimProofLimit };

    // Switches that disable a mechanism for a test. Without a majority, one grant suffices.
    bool requireMajority { true };
    bool fenceStaleProof { true };
    bool majorityOutweighsRunning { true };
};

class ClaimCoordinator {
public:
    explicit ClaimCoordinator(ClaimCoordinatorOptions);

    /// Takes the keeper view of a new routing table. Open claims keep the keepers that they were sent to.
    void setView(const KeeperView&);
    /// Time at which the configuration behind the view was last proved to be current; never moves back.
    void setProvenAt(TimePoint);
    /// Starts a claim for a call; call ids are unique among open calls.
    void claim(uint64_t call, std::string key, TimePoint now);
    /// The request is about to be handed over: the claim is no longer released unless notRun() is called.
    void handedOver(uint64_t call);
    /// Every attempt so far is proved "not run", so the claim may be released again.
    void notRun(uint64_t call);
    /// The caller gets this answer. Answers over maxStoredAnswerBytes are recorded without content.
    void finish(uint64_t call, std::string answer, TimePoint now);
    /// The outcome is unknown; resends get DuplicateUnknown.
    void finishUnknown(uint64_t call, TimePoint now);
    /// Ends a call under which nothing ran; releases its claim. After handedOver() it acts as finishUnknown().
    void abandon(uint64_t call, TimePoint now);

    void receive(const HostId& from, const ClaimMessage&, TimePoint now);
    void tick(TimePoint now);
    std::optional<TimePoint> nextWakeup() const;
    std::vector<ClaimOutput> takeOutputs();

    size_t openCalls() const { return m_calls.size(); }

private:
    enum class Phase : uint8_t {
        Asking,
        Granted,
    };

    struct Call {
        uint64_t number { 0 };
        std::string key;
        std::vector<HostId> keepers;
        std::set<HostId> granted;
        std::set<HostId> answered;
        Phase phase { Phase::Asking };
        bool isHandedOver { false };
        TimePoint askedAt;
        ResultCode refusal { ResultCode::ClaimNotRecorded };
    };

    /// A release or finish that some keepers have not acknowledged.
    struct Closing {
        ClaimMessage message;
        std::set<HostId> waiting;
        uint32_t sends { 0 };
        TimePoint nextSendAt;
    };

    ClaimId idOf(const Call& call) const { return { m_options.self, m_options.life, call.number }; }
    void handleReply(const HostId& from, const ClaimReply&, TimePoint now);
    void handleAck(const HostId& from, const ClaimAck&);
    void decide(uint64_t call, TimePoint now);
    bool isProofStale(TimePoint now) const;
    void refuse(uint64_t call, ResultCode, std::string answer, TimePoint now);
    void close(const Call&, ClaimMessage, TimePoint now);
    void sendClosing(uint64_t number, TimePoint now);
    void forget(uint64_t call);

    ClaimCoordinatorOptions m_options;
    KeeperView m_view;
    std::optional<TimePoint> m_provenAt;
    uint64_t m_nextNumber { 1 };
    std::unordered_map<uint64_t, Call> m_calls;
    std::unordered_map<uint64_t, uint64_t> m_callOfNumber;
    std::map<uint64_t, Closing> m_closing;
    /// Times at which asking calls fail.
    std::set<std::pair<TimePoint, uint64_t>> m_timeouts;
    /// Times at which closing claims are sent again.
    std::set<std::pair<TimePoint, uint64_t>> m_resends;
    std::vector<ClaimOutput> m_outputs;
};

} // namespace dragonflylane
