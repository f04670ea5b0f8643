#pragma once

// Messages between entry daemons (coordinators of claims) and keepers, and between keepers (5.4).

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/KeeperSelection.h"
#include "dragonflylane/ResultCode.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflylane {

/// Names one claim. A coordinator that restarts takes another life, so it cannot release claims of its former life.
struct ClaimId {
    HostId coordinator;
    uint64_t life { 0 };
    uint64_t number { 0 };

    auto operator<=>(const ClaimId&) const = default;
    bool operator==(const ClaimId&) const = default;
};

/// The key that records are stored under: an idempotency key is valid for one method and target. Not for one service,
/// because a plan may change a split between a request and its resend.
std::string claimKey(std::string_view method, std::string_view target, const IdempotencyKey&);

/// Coordinator to keeper.
struct ClaimRequest {
    ClaimId id;
    Epoch epoch;
    std::string key;

    bool operator==(const ClaimRequest&) const = default;
};

enum class ClaimStatus : uint8_t {
    Granted,
    /// An earlier claim exists and its request has not finished.
    Running,
    /// The request of an earlier claim finished; the answer is attached.
    Finished,
    /// The request of an earlier claim finished or failed, and its answer is not stored.
    Unknown,
    /// Refused with a code; nothing is recorded.
    Refused,
};

/// Keeper to coordinator.
struct ClaimReply {
    ClaimId id;
    ClaimStatus status { ClaimStatus::Refused };
    ResultCode code { ResultCode::Ok };
    std::string answer;

    bool operator==(const ClaimReply&) const = default;
};

/// Coordinator to keeper: nothing was handed over under this claim and nothing will be.
struct ClaimRelease {
    ClaimId id;
    std::string key;

    bool operator==(const ClaimRelease&) const = default;
};

/// Coordinator to keeper: the request has an outcome.
struct ClaimFinish {
    ClaimId id;
    std::string key;
    /// False if the outcome is unknown or the answer is too large to be stored.
    bool hasAnswer { false };
    std::string answer;

    bool operator==(const ClaimFinish&) const = default;
};

/// Keeper to coordinator: a release or a finish was received.
struct ClaimAck {
    ClaimId id;

    bool operator==(const ClaimAck&) const = default;
};

enum class RecordState : uint8_t {
    Running,
    Finished,
    Unknown,
};

/// One duplicate record in a transfer.
struct DuplicateRecord {
    std::string key;
    RecordState state { RecordState::Running };
    /// Usually one; several after a transfer from keepers that had granted different coordinators.
    std::vector<ClaimId> claims;
    std::string answer;
    /// Time since the claim, so that the copy expires with the original.
    Duration age { 0 };

    bool operator==(const DuplicateRecord&) const = default;
};

/// Keys of which a keeper may lack records: those for which a majority of the keepers in this view is missing. Ends
/// once the records that may be lacking have expired.
struct KeeperGap {
    KeeperView view;
    std::vector<HostId> missing;
    Duration remaining { 0 };

    bool covers(std::string_view key) const;
    /// True if no key can have a majority of missing keepers.
    bool isEmpty() const;
    bool operator==(const KeeperGap&) const = default;
};

enum class TransferPurpose : uint8_t {
    /// The requester became responsible for keys in a new epoch.
    NewEpoch,
    /// The requester lost its memory within the epoch.
    Restart,
};

/// Keeper to keeper: asks for the records that the requester is responsible for.
struct TransferRequest {
    Epoch epoch;
    TransferPurpose purpose { TransferPurpose::NewEpoch };
    /// Distinguishes successive transfers, so that a late chunk of an earlier one is ignored.
    uint64_t transfer { 0 };
    /// Continue after this key; empty at the start.
    std::string afterKey;

    bool operator==(const TransferRequest&) const = default;
};

struct TransferChunk {
    Epoch epoch;
    TransferPurpose purpose { TransferPurpose::NewEpoch };
    uint64_t transfer { 0 };
    std::string afterKey;
    /// False if the sender cannot tell which records it may lack; the transfer then does not count.
    bool isComplete { false };
    bool isLast { false };
    /// Keys of which the sender may lack records.
    std::vector<KeeperGap> gaps;
    std::vector<DuplicateRecord> records;

    bool operator==(const TransferChunk&) const = default;
};

using ClaimMessage
    = std::variant<ClaimRequest, ClaimReply, ClaimRelease, ClaimFinish, ClaimAck, TransferRequest, TransferChunk>;

/// A message to send to a host. Messages may be lost, duplicated and reordered.
struct ClaimSend {
    HostId to;
    ClaimMessage message;
};

// Limits that both sides and the codec enforce.
inline constexpr size_t maxClaimKeyBytes = 512;
inline constexpr size_t maxStoredAnswerBytes = 4096;
inline constexpr size_t maxClaimsPerRecord = 8;
inline constexpr size_t maxRecordsPerChunk = 64;
inline constexpr size_t maxKeeperGaps = 8;

/// How long a coordinator waits for a majority. A restarted keeper waits as long before it copies records, so that a
/// claim that it granted before the crash has reached the other keepers or has failed by then.
inline constexpr Duration claimTimeout = std::chrono::milliseconds(500);

/// Keepers and coordinators refuse claims while the configuration that they hold was last proved to be current longer
/// ago than this. Below the retention time, see DuplicateRecords; regions lose each other for minutes, and keyed
/// requests should go on meanwhile.
inline constexpr Duration claimProofLimit = std::chrono::minutes(5);

} // namespace dragonflylane
