#pragma once

// Messages between QuotaShare and QuotaDivider. All amounts are requests per window.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/MemberRecord.h"

#include <vector>

namespace dragonflylane {

/// What one daemon holds and needs of one tenant's allotment.
struct QuotaDemand {
    TenantName tenant;
    /// The larger of the daemon's allowance and the requests that it admitted in the last window.
    uint32_t held { 0 };
    /// Requests that it admitted in the last window.
    uint32_t spent { 0 };
    /// Requests per window that callers send at present, refused ones included.
    uint32_t wanted { 0 };
    /// Requests that have found nothing left and wait for the answer.
    uint32_t waiting { 0 };
};

struct QuotaReport {
    HostId host;
    /// Identifies the daemon process.
    BootId life;
    /// Increases with each report of one process.
    Sequence number;
    /// Uptime of the process.
    Duration age { 0 };
    /// True if `demands` names each tenant of which the daemon holds or needs anything.
    bool isComplete { false };
    std::vector<QuotaDemand> demands;
};

struct QuotaAllowance {
    TenantName tenant;
    uint32_t allowance { 0 };
    /// Not zero: nothing is left for now.
    Duration retryAfter { 0 };
};

/// Answer to the report with the same life and number.
struct QuotaGrant {
    Term term;
    BootId life;
    Sequence number;
    /// The grant gives nothing and renews no lease, since the leader doesn't know yet what the daemon holds.
    bool needsComplete { false };
    std::vector<QuotaAllowance> allowances;
};

} // namespace dragonflylane
