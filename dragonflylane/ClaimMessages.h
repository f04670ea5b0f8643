#pragma once

// Messages of the idempotency protocol (5.4): between entry daemons, which coordinate claims, and keepers, which store
// the idempotency records; and between keepers.

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

/// Identifies one claim.
struct ClaimId {
    HostId coordinator;
    /// Boot ID of the coordinator, so that after a restart it cannot release the claims of its previous run. The wire
    /// field is `life`.
    uint64_t bootId { 0 };
    uint64_t number { 0 };

    auto operator<=>(const ClaimId&) const = default;
    bool operator==(const ClaimId&) const = default;
};

/// Returns the key under which the idempotency record is stored. An idempotency key is scoped to a tenant, so that no
/// tenant gets the response of another, and to a method and a target, but not to a service, because a plan may change
/// the traffic split between a request and its retry.
std::string claimKey(const TenantName&, std::string_view method, std::string_view target, const IdempotencyKey&);

/// Coordinator to keeper: claims a key.
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
    /// The request of an earlier claim finished; the response is attached.
    Finished,
    /// The request of an earlier claim finished or failed, and its response is not stored.
    Unknown,
    /// Refused with a code; nothing is recorded.
    Refused,
};

/// Keeper to coordinator: result of a ClaimRequest.
struct ClaimReply {
    ClaimId id;
    ClaimStatus status { ClaimStatus::Refused };
    ResultCode code { ResultCode::Ok };
    std::string answer;

    bool operator==(const ClaimReply&) const = default;
};

/// Coordinator to keeper: no request was or will be forwarded under this claim.
struct ClaimRelease {
    ClaimId id;
    std::string key;

    bool operator==(const ClaimRelease&) const = default;
};

/// Coordinator to keeper: the request has an outcome.
struct ClaimFinish {
    ClaimId id;
    std::string key;
    /// False if the outcome is unknown or the response is too large to be stored.
    bool hasAnswer { false };
    std::string answer;

    bool operator==(const ClaimFinish&) const = default;
};

/// Keeper to coordinator: acknowledges a release or a finish.
struct ClaimAck {
    ClaimId id;

    bool operator==(const ClaimAck&) const = default;
};

enum class RecordState : uint8_t {
    Running,
    Finished,
    Unknown,
};

/// One idempotency record in a transfer; the items of `records` in TransferChunk of wire/claim.thrift.
struct IdempotencyRecord {
    std::string key;
    RecordState state { RecordState::Running };
    /// Usually one; several after a transfer from keepers that had granted different coordinators.
    std::vector<ClaimId> claims;
    std::string answer;
    /// Time since the claim, so that the copy expires at the same time as the original.
    Duration age { 0 };

    bool operator==(const IdempotencyRecord&) const = default;
};

/// A set of keys for which a keeper may lack records: those for which a majority of the keepers in this view is in
/// `missing`. A gap ends once all records that may be lacking have expired.
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
    /// The requester became a keeper of further keys in a new epoch.
    NewEpoch,
    /// The requester restarted within the epoch and lost its records.
    Restart,
};

/// Keeper to keeper: requests the records of the keys that the requester is a keeper of.
struct TransferRequest {
    Epoch epoch;
    TransferPurpose purpose { TransferPurpose::NewEpoch };
    /// Identifies the transfer, so that a late chunk of an earlier one is ignored.
    uint64_t transfer { 0 };
    /// Continue after this key; empty at the start.
    std::string afterKey;

    bool operator==(const TransferRequest&) const = default;
};

/// Keeper to keeper: a part of the records of a transfer.
struct TransferChunk {
    Epoch epoch;
    TransferPurpose purpose { TransferPurpose::NewEpoch };
    uint64_t transfer { 0 };
    std::string afterKey;
    /// False if the sender cannot determine which records it may lack. The transfer is then repeated.
    bool isComplete { false };
    bool isLast { false };
    /// Keys for which the sender may lack records.
    std::vector<KeeperGap> gaps;
    std::vector<IdempotencyRecord> records;

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

/// How long a coordinator waits for a majority. A restarted keeper waits at least as long before it copies records, so
/// that a claim that it granted before the crash has reached the other keepers or has failed by then.
inline constexpr Duration claimTimeout = std::chrono::milliseconds(500);

/// Keepers and coordinators refuse claims if their configuration was last proven current longer ago than this.
/// Must be below the retention time (see IdempotencyRecords). It is minutes long because network partitions between
/// regions last minutes, and requests with an idempotency key should be served meanwhile.
inline constexpr Duration claimMaxConfigurationAge = std::chrono::minutes(5);

} // namespace dragonflylane
