#pragma once

// What an entry daemon keeps for each service that it calls: the upstreams to choose from, the retry budget, and
// whether redirects succeed.

#include "dragonflylane/RedirectGain.h"
#include "dragonflylane/RetryPolicy.h"
#include "dragonflylane/RoutingTable.h"
#include "dragonflylane/ServiceTimeEstimate.h"
#include "dragonflylane/UpstreamSelector.h"

#include <map>
#include <memory>

namespace dragonflylane {

struct EntryServiceOptions {
    HostId self;
    DataCentreName dataCentre;
    RegionName region;
    uint64_t seed { 1 };
    RetryBudgetOptions retryBudget {};
    double spillLoad { UpstreamSelectorOptions().spillLoad };
};

/// Selector and retry policy of one service.
class EntryService {
public:
    EntryService(const EntryServiceOptions&, TimePoint now);

    /// Takes the service of a new routing table. Does nothing if it is the same object as before.
    void setService(std::shared_ptr<const ServiceEntry>, TimePoint now);

    UpstreamSelector& selector() { return m_selector; }
    RetryPolicy& policy() { return m_policy; }
    RedirectGain& redirectGain() { return m_redirectGain; }
    /// A call to another host took so long, of which its owner held it for a part; the rest is the way there and back.
    void recordTransit(Duration took, Duration held, TimePoint now);
    Duration transit(TimePoint now) const { return m_transit.mean(now, {}); }
    /// Never null for a choice of selector().
    const UpstreamEntry* find(const UpstreamId& id) const { return m_service->find(id); }
    uint32_t maxAttempts() const { return m_service->maxAttempts; }

private:
    struct Seen {
        Incarnation incarnation;
        TimePoint readySince;
    };

    UpstreamSelector m_selector;
    RetryPolicy m_policy;
    RedirectGain m_redirectGain;
    ServiceTimeEstimate m_transit;
    std::shared_ptr<const ServiceEntry> m_service;
    std::map<UpstreamId, Seen> m_seen;
};

} // namespace dragonflylane
