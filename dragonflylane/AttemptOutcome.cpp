#include "dragonflylane/AttemptOutcome.h"

namespace dragonflylane {

namespace {

    constexpr unsigned firstServerError = 500;

} // namespace

SelectionOutcome selectionOutcome(ResultCode code, unsigned status)
{
    switch (code) {
    case ResultCode::Ok:
        return status >= firstServerError ? SelectionOutcome::Error : SelectionOutcome::Success;
    case ResultCode::UpstreamTimeout:
        return SelectionOutcome::Timeout;
    case ResultCode::QueueFull:
    case ResultCode::WouldMissDeadline:
    case ResultCode::UpstreamShed:
    case ResultCode::UpstreamRefused:
    case ResultCode::SuspectAlreadyRunning:
        return SelectionOutcome::Refused;
    case ResultCode::UpstreamDraining:
    case ResultCode::DaemonLeaving:
    case ResultCode::UpstreamChanged:
    case ResultCode::UpstreamUnreachable:
    case ResultCode::OwnerUnreachable:
    case ResultCode::OwnerLost:
        return SelectionOutcome::Unavailable;
    case ResultCode::DeadlineExceeded:
    case ResultCode::RequestQuarantined:
    case ResultCode::NestedCallsRefused:
    case ResultCode::CallerGone:
        return SelectionOutcome::Ignored;
    default:
        return SelectionOutcome::Failure;
    }
}

RolloutOutcome rolloutOutcome(ResultCode code, unsigned status)
{
    switch (code) {
    case ResultCode::Ok:
        return status >= firstServerError ? RolloutOutcome::Failed : RolloutOutcome::Answered;
    case ResultCode::UpstreamTimeout:
        return RolloutOutcome::Answered;
    case ResultCode::UpstreamLost:
    case ResultCode::UpstreamShed:
    case ResultCode::AnswerTruncated:
    case ResultCode::MalformedAnswer:
        return RolloutOutcome::Failed;
    default:
        return RolloutOutcome::Unanswered;
    }
}

} // namespace dragonflylane
