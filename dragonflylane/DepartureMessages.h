#pragma once

// Messages between the daemon that owns an upstream and the control leader.

#include "dragonflylane/CrashQuarantine.h"
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

    bool operator==(const DepartureRequest&) const = default;
};

/// All departures that are recorded at the host that asked. Also the requests in quarantine, which must not reach its
/// upstream either.
struct DepartureAnswer {
    HostId host {};
    BootId bootId {};
    std::vector<DepartedProcess> departures {};
    std::vector<CrashRecord> quarantine {};

    bool operator==(const DepartureAnswer&) const = default;
};

using DepartureMessage = std::variant<DepartureRequest, DepartureAnswer>;

} // namespace dragonflylane
