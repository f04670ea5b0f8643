#pragma once

// State that an entry daemon keeps for each service that it calls: the candidate upstreams, the retry budget, the
// success rate of redirects, the schedule of retries by callers, and the network delay to owner daemons.

#include "dragonflylane/RedirectSuccessRate.h"
#include "dragonflylane/RetryAfterPolicy.h"
#include "dragonflylane/RetryPolicy.h"
#include "dragonflylane/RoutingTable.h"
#include "dragonflylane/ServiceTimeEstimate.h"
#include "dragonflylane/UpstreamSelector.h"

#include <map>
#include <memory>

namespace dragonflylane {

struct EntryServiceStateOptions {
    HostId self;
    DataCentreName dataCentre;
    RegionName region;
    uint64_t seed { 1 };
    RetryBudgetOptions retryBudget {};
    double spillLoad { UpstreamSelectorOptions().spillLoad };
};

/// Upstream selector, retry policy and statistics of one service.
class EntryServiceState {
public:
    EntryServiceState(const EntryServiceStateOptions&, TimePoint now);

    /// Updates the candidate upstreams from a new routing table. Does nothing if it is the same object as before.
    void setService(std::shared_ptr<const ServiceEntry>, TimePoint now);

    UpstreamSelector& selector() { return m_selector; }
    RetryPolicy& policy() { return m_policy; }
    RedirectSuccessRate& redirectSuccessRate() { return m_redirectSuccessRate; }
    RetryAfterPolicy& retryAfter() { return m_retryAfter; }
    /// Records the network delay of a call to another host: its total latency less the time that the owner daemon
    /// reported to have held it.
    void recordNetworkDelay(Duration total, Duration heldByOwner, TimePoint now);
    /// Mean network delay of calls to other hosts, both ways together.
    Duration networkDelay(TimePoint now) const { return m_networkDelay.mean(now, {}); }
    /// Never null for a choice of selector().
    const UpstreamEntry* find(const UpstreamId& id) const { return m_service->find(id); }
    uint32_t maxAttempts() const { return m_service->maxAttempts; }

private:
    struct ReadyUpstream {
        Incarnation incarnation;
        TimePoint readySince;
    };

    UpstreamSelector m_selector;
    RetryPolicy m_policy;
    RedirectSuccessRate m_redirectSuccessRate;
    RetryAfterPolicy m_retryAfter;
    ServiceTimeEstimate m_networkDelay;
    std::shared_ptr<const ServiceEntry> m_service;
    std::map<UpstreamId, ReadyUpstream> m_readyUpstreams;
};

} // namespace dragonflylane
