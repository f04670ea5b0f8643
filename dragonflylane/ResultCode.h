#pragma once

// Result codes of all components. Their numbers and names appear in logs, metrics, HTTP responses and frames between
// daemons, so numbers are never reused. A test compares the table in docs/RESULT_CODES.md with this list.

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// The names in logs and metrics stand in the table in ResultCode.cpp; some differ from the enumerators.
enum class ResultCode : uint16_t {
    Ok = 0,

    // A call was refused and did not run. Except for UpstreamRefused, no byte of it reached an upstream.
    NoRoute = 101,
    CallerNotAllowed = 102,
    NoUpstream = 103,
    DeadlineExceeded = 104,
    QueueFull = 105,
    WouldMissDeadline = 106,
    UpstreamDraining = 107,
    DaemonLeaving = 108,
    ConfigNotProven = 109,
    RequestQuarantined = 110,
    SuspectAlreadyRunning = 111,
    ClaimNotRecorded = 112,
    DuplicateTableFull = 113,
    KeeperNotReady = 114,
    EpochMismatch = 115,
    UpstreamChanged = 116,
    UpstreamUnreachable = 117,
    OwnerUnreachable = 118,
    RetryBudgetExhausted = 119,
    MalformedRequest = 120,
    RequestTooLarge = 121,
    RequestTimeout = 122,
    TooManyConnections = 123,
    TooManyHops = 124,
    CallerGone = 125,
    UpstreamRefused = 126,
    BodyMemoryFull = 127,
    ApiKeyUnknown = 128,
    AllotmentExceeded = 129,
    NestedCallsRefused = 130,

    // A call may or may not have run.
    OwnerLost = 201,
    UpstreamLost = 202,
    UpstreamTimeout = 203,
    AnswerTruncated = 204,
    AnswerTooLarge = 205,
    DuplicateRunning = 206,
    DuplicateUnknown = 207,
    MalformedAnswer = 208,
    UpstreamShed = 209,
    AnswerMemoryFull = 210,

    // Plans and operators.
    UnknownService = 301,
    DanglingRoute = 302,
    ZeroWeights = 303,
    CallCycle = 304,
    DuplicatePrefix = 305,
    ServiceInUse = 306,
    InvalidName = 307,
    PlanTooLarge = 308,
    MalformedPlan = 309,
    EmptyPlan = 310,
    PlanNotFound = 311,
    PlanConflict = 312,
    NotLeader = 313,
    QuorumLost = 314,
    OutcomeUncertain = 315,
    UnknownOperator = 316,
    InvalidValue = 317,
    UnknownItem = 318,
    NotFound = 319,
    TooManyPlans = 320,
    DuplicateApiKey = 321,
    RolloutConflict = 322,

    // Settings and storage.
    SettingUnknown = 401,
    SettingMissing = 402,
    SettingOutOfRange = 403,
    SettingInvalid = 404,
    FileUnreadable = 405,
    LogDamaged = 406,
    StorageFailed = 407,
    ListenFailed = 408,

    // Protocol between daemons.
    WrongMesh = 501,
    WrongProof = 502,
    MalformedFrame = 503,
    FrameTooLarge = 504,
    PeerTimeout = 505,
    BaseMismatch = 506,
    DigestMismatch = 507,
    StaleTerm = 508,
    StaleRevision = 509,
    InvalidConfiguration = 510,
    TooManyChildren = 511,
    SnapshotLimit = 512,
    PeerClosed = 513,
    MembershipChangePending = 514,
};

/// Whether the request ran at an upstream.
enum class RunState : uint8_t {
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran and was answered, or the code is not about a call.
    Answered,
};

/// One row of the table of result codes.
struct ResultCodeInfo {
    ResultCode code;
    std::string_view name;
    std::string_view message;
};

/// All codes in numeric order.
std::span<const ResultCodeInfo> allResultCodes();
/// Name for logs and metrics, such as "queue_full".
std::string_view name(ResultCode);
/// One sentence for people.
std::string_view message(ResultCode);
/// Derived from the range of the number: 1xx NotRun, 2xx Unknown, otherwise Answered.
RunState runState(ResultCode);
/// Process exit code: 0 for Ok, 2 for settings and storage (4xx), otherwise the first digit of the code.
int exitCode(ResultCode);

const std::error_category& resultCategory();
std::error_code make_error_code(ResultCode);
/// The result code of an error. StorageFailed for errors of other categories, such as the system's.
ResultCode resultCode(const std::error_code&);

} // namespace dragonflylane

template <> struct std::is_error_code_enum<dragonflylane::ResultCode> : std::true_type {
};
