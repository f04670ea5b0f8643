#pragma once

// Counts the calls of tenants, with a bounded number of counters: the tenants with the largest allotments are counted
// by name, and all others together. A tenant without a limit on its rate comes first.
//
//     TenantCounters counters;
//     counters.setTenants(routingTable->tenants());
//     counters.count(call.tenant, ResultCode::Ok);
//     counters.render();

#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonflylane {

struct TenantEntry;

struct TenantCountersOptions {
    /// Limit on the tenants that are counted by name.
    size_t maxNamed { 32 };
};

/// Calls of one tenant, or of several, by their outcome.
struct TenantCounts {
    uint64_t served { 0 };
    /// Refused or failed for any other reason than those below.
    uint64_t refused { 0 };
    uint64_t overAllotment { 0 };

    uint64_t asked() const { return served + refused + overAllotment; }
};

class TenantCounters {
public:
    explicit TenantCounters(TenantCountersOptions options = {})
        : m_options(options)
    {
    }

    /// Selects the tenants that are counted by name. The counts of a tenant that is no longer among them are added to
    /// those of the others.
    void setTenants(const std::vector<TenantEntry>&);
    /// Counts the end of a call. Does nothing for a call without a tenant.
    void count(const TenantName&, ResultCode);
    const std::map<TenantName, TenantCounts>& named() const { return m_named; }
    const TenantCounts& others() const { return m_others; }
    /// One "name value" line for each counter that is not zero, sorted by tenant.
    std::string render() const;

private:
    TenantCountersOptions m_options;
    std::map<TenantName, TenantCounts> m_named;
    TenantCounts m_others;
};

} // namespace dragonflylane
