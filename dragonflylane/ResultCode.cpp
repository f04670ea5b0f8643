#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <string>

namespace dragonflylane {

namespace {

    constexpr ResultCodeInfo resultCodeTable[] = {
        { ResultCode::Ok, "ok", "The operation succeeded." },
        { ResultCode::NoRoute, "no_route", "No route matches the request path." },
        { ResultCode::CallerNotAllowed, "caller_not_allowed", "No call rule lets this caller call the service." },
        { ResultCode::NoUpstream, "no_upstream", "The service has no upstream that can take the request." },
        { ResultCode::DeadlineExceeded, "deadline_exceeded",
            "The deadline passed before the request was handed over." },
        { ResultCode::QueueFull, "queue_full", "The queue of the upstream is full." },
        { ResultCode::WouldMissDeadline, "would_miss_deadline", "The request could not finish before its deadline." },
        { ResultCode::UpstreamDraining, "upstream_draining", "The upstream is draining and takes no new work." },
        { ResultCode::DaemonLeaving, "daemon_leaving", "The daemon is shutting down and takes no new work." },
        { ResultCode::ConfigNotProven, "no_floor",
            "The daemon has restarted and has not yet proved that its configuration is current." },
        { ResultCode::RequestQuarantined, "request_quarantined",
            "The request is quarantined because it crashed two upstreams." },
        { ResultCode::SuspectAlreadyRunning, "suspect_already_running",
            "The upstream already runs a request that is suspected of a crash." },
        { ResultCode::ClaimNotRecorded, "claim_not_recorded", "No majority of keepers recorded the idempotency key." },
        { ResultCode::DuplicateTableFull, "duplicate_table_full", "The table of idempotency keys is full." },
        { ResultCode::KeeperNotReady, "keeper_not_ready",
            "The keeper has not yet taken over the records of the previous epoch." },
        { ResultCode::EpochMismatch, "epoch_mismatch", "The keeper has a different epoch of the keeper view." },
        { ResultCode::UpstreamChanged, "upstream_changed", "The upstream was replaced since it was selected." },
        { ResultCode::UpstreamUnreachable, "upstream_unreachable", "No connection to the upstream could be opened." },
        { ResultCode::OwnerUnreachable, "owner_unreachable", "No connection to the owner daemon could be opened." },
        { ResultCode::RetryBudgetExhausted, "retry_budget_exhausted", "The retry budget of the service is used up." },
        { ResultCode::MalformedRequest, "malformed_request",
            "The request is not valid HTTP or its headers contradict one another." },
        { ResultCode::RequestTooLarge, "request_too_large", "The request exceeds a size limit." },
        { ResultCode::RequestTimeout, "request_timeout", "The caller did not send the whole request in time." },
        { ResultCode::TooManyConnections, "too_many_connections", "The daemon has reached its connection limit." },
        { ResultCode::TooManyHops, "too_many_hops", "The call is nested too deeply." },
        { ResultCode::CallerGone, "caller_gone", "The caller closed its connection before the hand-over." },
        { ResultCode::UpstreamRefused, "upstream_refused",
            "The upstream refused the request and stated that it did not run." },
        { ResultCode::BodyMemoryFull, "body_memory_full", "The memory for request and answer bodies is used up." },
        { ResultCode::ApiKeyUnknown, "api_key_unknown", "The request has no API key of a tenant." },
        { ResultCode::AllotmentExceeded, "allotment_exceeded", "The tenant has used up its allotment of requests." },
        { ResultCode::NestedCallsRefused, "nested_calls_refused",
            "Services that this request would call have no capacity." },
        { ResultCode::OwnerLost, "owner_lost",
            "The connection to the owner daemon was lost after the request was sent." },
        { ResultCode::UpstreamLost, "upstream_lost", "The upstream closed the connection before it answered." },
        { ResultCode::UpstreamTimeout, "upstream_timeout", "The upstream did not answer before the deadline." },
        { ResultCode::AnswerTruncated, "answer_truncated", "The upstream sent fewer bytes than it announced." },
        { ResultCode::AnswerTooLarge, "answer_too_large", "The answer exceeds the size limit." },
        { ResultCode::DuplicateRunning, "duplicate_running",
            "A request with the same idempotency key is still running." },
        { ResultCode::DuplicateUnknown, "duplicate_unknown",
            "The outcome of the first request with this idempotency key is not known." },
        { ResultCode::MalformedAnswer, "malformed_answer", "The answer of the upstream is not valid HTTP." },
        { ResultCode::UpstreamShed, "upstream_shed", "The upstream refused the request to shed load." },
        { ResultCode::AnswerMemoryFull, "answer_memory_full",
            "The memory for bodies was used up before the answer was whole." },
        { ResultCode::UnknownService, "unknown_service", "The plan names a service that does not exist." },
        { ResultCode::DanglingRoute, "dangling_route", "A route would point at a service that does not exist." },
        { ResultCode::ZeroWeights, "zero_weights", "The weights of a split sum to zero." },
        { ResultCode::CallCycle, "call_cycle", "The call rules would form a cycle." },
        { ResultCode::DuplicatePrefix, "duplicate_prefix", "Two routes would have the same path prefix." },
        { ResultCode::ServiceInUse, "service_in_use", "The service is still used by a route or a call rule." },
        { ResultCode::InvalidName, "invalid_name",
            "A name is empty, too long or has a character that is not allowed." },
        { ResultCode::PlanTooLarge, "plan_too_large", "The plan has too many changes or bytes." },
        { ResultCode::MalformedPlan, "malformed_plan", "The plan is not valid JSON of the expected form." },
        { ResultCode::EmptyPlan, "empty_plan", "The plan changes nothing." },
        { ResultCode::PlanNotFound, "plan_not_found", "No plan has this id." },
        { ResultCode::PlanConflict, "plan_conflict", "Another plan was confirmed on the same base revision." },
        { ResultCode::NotLeader, "not_leader", "This control host is not the leader." },
        { ResultCode::QuorumLost, "quorum_lost", "No quorum of control hosts can be reached." },
        { ResultCode::OutcomeUncertain, "outcome_uncertain", "The outcome is not known; ask again with the plan id." },
        { ResultCode::UnknownOperator, "unknown_operator", "The operator token is missing or unknown." },
        { ResultCode::InvalidValue, "invalid_value", "A value of the plan is out of range." },
        { ResultCode::UnknownItem, "unknown_item", "The plan removes an item that does not exist." },
        { ResultCode::NotFound, "not_found", "Nothing is known under this id." },
        { ResultCode::TooManyPlans, "too_many_plans", "The operator has too many plans that are not confirmed." },
        { ResultCode::DuplicateApiKey, "duplicate_api_key", "Two tenants would have the same API key." },
        { ResultCode::RolloutConflict, "rollout_conflict", "Another roll-out of the service is running." },
        { ResultCode::SettingUnknown, "setting_unknown", "The settings file has an unknown key." },
        { ResultCode::SettingMissing, "setting_missing", "A required setting is missing." },
        { ResultCode::SettingOutOfRange, "setting_out_of_range", "A setting is out of its range." },
        { ResultCode::SettingInvalid, "setting_invalid", "A setting has an invalid value." },
        { ResultCode::FileUnreadable, "file_unreadable", "A file cannot be read." },
        { ResultCode::LogDamaged, "log_damaged", "The log file is damaged before its tail." },
        { ResultCode::StorageFailed, "storage_failed", "Writing to the data folder failed." },
        { ResultCode::ListenFailed, "listen_failed", "A listener could not be opened." },
        { ResultCode::WrongMesh, "wrong_mesh", "The peer belongs to another mesh." },
        { ResultCode::WrongProof, "wrong_proof", "The peer does not know the shared secret." },
        { ResultCode::MalformedFrame, "malformed_frame", "A frame cannot be decoded." },
        { ResultCode::FrameTooLarge, "frame_too_large", "A frame exceeds the size limit." },
        { ResultCode::PeerTimeout, "peer_timeout", "The peer sent nothing within the heartbeat deadline." },
        { ResultCode::BaseMismatch, "base_mismatch", "A delta does not start from the held revision." },
        { ResultCode::DigestMismatch, "digest_mismatch", "The digest of a revision differs from the expected one." },
        { ResultCode::StaleTerm, "stale_term", "A message carries a term lower than one seen." },
        { ResultCode::StaleRevision, "stale_revision", "A message carries a revision lower than the held one." },
        { ResultCode::InvalidConfiguration, "invalid_configuration", "A revision does not pass validation." },
        { ResultCode::TooManyChildren, "too_many_children", "The relay has reached its limit of children." },
        { ResultCode::SnapshotLimit, "snapshot_limit", "The relay already sends the most snapshots it may." },
        { ResultCode::PeerClosed, "peer_closed", "The peer closed the connection." },
        { ResultCode::MembershipChangePending, "membership_change_pending",
            "Another change of the voters is still open." },
    };

    const ResultCodeInfo& find(ResultCode code)
    {
        const auto* row = std::lower_bound(std::begin(resultCodeTable), std::end(resultCodeTable), code,
            [](const ResultCodeInfo& info, ResultCode wanted) { return info.code < wanted; });
        return row == std::end(resultCodeTable) || row->code != code ? resultCodeTable[0] : *row;
    }

    class ResultCategory final : public std::error_category {
    public:
        const char* name() const noexcept override { return "dragonflylane"; }
        std::string message(int code) const override
        {
            return std::string(dragonflylane::message(static_cast<ResultCode>(code)));
        }
    };

} // namespace

std::span<const ResultCodeInfo> allResultCodes()
{
    return resultCodeTable;
}

std::string_view name(ResultCode code)
{
    return find(code).name;
}

std::string_view message(ResultCode code)
{
    return find(code).message;
}

RunState runState(ResultCode code)
{
    auto number = static_cast<unsigned>(code);
    if (number >= 100 && number < 200)
        return RunState::NotRun;
    if (number >= 200 && number < 300)
        return RunState::Unknown;
    return RunState::Answered;
}

int exitCode(ResultCode code)
{
    if (code == ResultCode::Ok)
        return 0;
    int group = static_cast<int>(code) / 100;
    constexpr int settingsGroup = 4;
    constexpr int settingsExitCode = 2;
    return group == settingsGroup ? settingsExitCode : group;
}

const std::error_category& resultCategory()
{
    static const ResultCategory category;
    return category;
}

std::error_code make_error_code(ResultCode code)
{
    return { static_cast<int>(code), resultCategory() };
}

ResultCode resultCode(const std::error_code& error)
{
    if (!error)
        return ResultCode::Ok;
    if (error.category() != resultCategory())
        return ResultCode::StorageFailed;
    return static_cast<ResultCode>(error.value());
}

} // namespace dragonflylane
