#pragma once

// Start-time fair queueing of the calls of several tenants at one upstream.
//
//     TenantFairness fairness;
//     ticket.startTag = fairness.enqueue(tenant, expectedServiceTime);    // lower tags are served first
//     fairness.started(ticket.startTag);
//     fairness.withdrawn(tenant, expectedServiceTime);                    // it left the queue without being served
//
// Prevents the following failure mode. One tenant sends several times as many calls as the others together. Each waits
// as long as any other, so the queue holds almost only calls of that tenant, and those of the others are refused.
//
// The tag of a tenant advances by the expected service time of each of its calls, and is raised to the virtual time
// (the tag of the call that started last) when the tenant was idle. A tenant that uses less than its share is thus
// served next, whatever the others send, and nobody gains by having been idle.
//
// Bounded: at most `maxTenants` tenants. Those whose tags the virtual time has passed are forgotten, which changes
// nothing for them; they are searched for only when the table is full. All other operations are O(1).

#include "dragonflylane/BootClock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace dragonflylane {

struct TenantFairnessOptions {
    size_t maxTenants { 1024 };
    /// Lower bound of the service time of one call, for calls whose service time is not known yet.
    Duration minServiceTime { std::chrono::milliseconds(1) };
};

class TenantFairness {
public:
    explicit TenantFairness(TenantFairnessOptions options = {});

    /// Returns the start tag of the next call of the tenant and advances the tenant's tag. Calls without a tenant
    /// (key zero) get the virtual time.
    Duration enqueue(uint64_t tenantKey, Duration serviceTime);
    /// Start tag that enqueue() would return.
    Duration startTag(uint64_t tenantKey) const;
    /// A call left the queue unserved, so it does not count against its tenant.
    void withdrawn(uint64_t tenantKey, Duration serviceTime);
    void started(Duration startTag);
    /// True if the tenant has had more service than others that have calls waiting, which will overtake it.
    bool isAheadOfShare(uint64_t tenantKey) const { return startTag(tenantKey) > m_virtualTime; }
    size_t size() const { return m_nextTags.size(); }

private:
    void forgetIdle();

    TenantFairnessOptions m_options;
    Duration m_virtualTime { 0 };
    /// Start tag of the next call of each tenant.
    std::unordered_map<uint64_t, Duration> m_nextTags;
};

} // namespace dragonflylane
