#pragma once

// Messages between the daemon that owns an upstream and the control leader.

#include "dragonflylane/DepartedProcess.h"

#include <variant>
#include <vector>

namespace dragonflylane {

/// Asks for the departures at a host, after these have been recorded.
struct DepartureRequest {
    HostId host {};
    /// The daemon process that asks.
    BootId bootId {};
    /// Empty if there is nothing to record.
    std::vector<DepartedProcess> departures {};
};

/// All departures that are recorded at the host that asked.
struct DepartureAnswer {
    HostId host {};
    BootId bootId {};
    std::vector<DepartedProcess> departures {};
};

using DepartureMessage = std::variant<DepartureRequest, DepartureAnswer>;

} // namespace dragonflylane
