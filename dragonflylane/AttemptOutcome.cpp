#include "dragonflylane/AttemptOutcome.h"

namespace dragonflylane {

SelectionOutcome selectionOutcome(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return SelectionOutcome::Success;
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
    case ResultCode::CallerGone:
        return SelectionOutcome::Ignored;
    default:
        return SelectionOutcome::Failure;
    }
}

} // namespace dragonflylane
