#pragma once

// What the result of an attempt says about its upstream, for the selection of upstreams, and about the upstream's
// version, for roll-outs.

#include "dragonflylane/ResultCode.h"
#include "dragonflylane/RolloutRecorder.h"
#include "dragonflylane/UpstreamSelector.h"

namespace dragonflylane {

/// The status is that of the HTTP response, if the code is Ok.
SelectionOutcome selectionOutcome(ResultCode, unsigned status);
RolloutOutcome rolloutOutcome(ResultCode, unsigned status);

} // namespace dragonflylane
