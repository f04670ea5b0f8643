#pragma once

// What the result of an attempt tells UpstreamSelector about the upstream and its owner.

#include "dragonflylane/ResultCode.h"
#include "dragonflylane/UpstreamSelector.h"

namespace dragonflylane {

SelectionOutcome selectionOutcome(ResultCode);

} // namespace dragonflylane
