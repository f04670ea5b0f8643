#pragma once

// State that an entry daemon keeps for each service that it calls: the candidate upstreams, the retry budget, the
// success rate of redirects, the schedule of retries by callers, and the network delay to owner daemons.
//
// While a roll-out is running or after it was rolled back, the upstreams of its target version and those of the other
// versions have selectors of their own: a subset that is chosen from all of them could leave out one of the two.

#include "dragonflylane/RedirectSuccessRate.h"
#include "dragonflylane/RetryAfterPolicy.h"
#include "dragonflylane/RetryPolicy.h"
#include "dragonflylane/RoutingTable.h"
#include "dragonflylane/ServiceTimeEstimate.h"
#include "dragonflylane/UpstreamSelector.h"

#include <map>
#include <memory>
#include <optional>
#include <span>

namespace dragonflylane {

struct EntryServiceStateOptions {
    HostId self;
    DataCentreName dataCentre;
    RegionName region;
    uint64_t seed { 1 };
    RetryBudgetOptions retryBudget {};
    double spillLoad { UpstreamSelectorOptions().spillLoad };
    bool usesUpstreamSpeeds { true };
};

/// Versions of upstreams to which a request may be sent.
enum class VersionGroup : uint8_t {
    Any,
    /// The target version of the running roll-out, otherwise any other version.
    TargetFirst,
    /// The target version only.
    Target,
    /// The versions other than the target.
    Others,
};

/// What decides to which versions an attempt may be sent.
struct VersionQuery {
    const RequestId& request;
    /// An earlier attempt has reached an upstream.
    bool isRetry { false };
    /// The configuration was proven current a moment ago. Otherwise a roll-back may not have arrived.
    bool isConfigRecent { false };
};

/// Upstream selector, retry policy and statistics of one service.
class EntryServiceState {
public:
    EntryServiceState(const EntryServiceStateOptions&, TimePoint now);

    /// Updates the candidate upstreams from a new routing table. The roll-out is null if the service has none. Does
    /// nothing if both are the same as before.
    void setService(std::shared_ptr<const ServiceEntry>, const RolloutItem*, TimePoint now);

    /// Requests are divided by a hash of their id, so that the attempts of one request stay with one group.
    VersionGroup versionsFor(const VersionQuery&) const;
    /// See UpstreamSelector.
    std::optional<Choice> choose(VersionGroup, std::span<const HostId> tried, TimePoint now);
    std::optional<Choice> chooseOwner(VersionGroup, const HostId&, TimePoint now);
    void finished(const Choice&, SelectionOutcome, const std::optional<LoadReport>&, TimePoint now);
    /// See UpstreamSelector; of the versions other than the target.
    Duration typicalServiceTime(uint64_t routeKey) const { return m_selector.typicalServiceTime(routeKey); }
    /// Number of upstreams from which choose() selects.
    size_t size(VersionGroup) const;

    RetryPolicy& policy() { return m_policy; }
    RedirectSuccessRate& redirectSuccessRate() { return m_redirectSuccessRate; }
    RetryAfterPolicy& retryAfter() { return m_retryAfter; }
    /// Records the network delay of a call to another host: its total latency less the time that the owner daemon
    /// reported to have held it.
    void recordNetworkDelay(Duration total, Duration heldByOwner, TimePoint now);
    /// Mean network delay of calls to other hosts, both ways together.
    Duration networkDelay(TimePoint now) const { return m_networkDelay.mean(now, {}); }
    /// Never null for a choice of choose().
    const UpstreamEntry* find(const UpstreamId& id) const { return m_service->find(id); }
    uint32_t maxAttempts() const { return m_service->maxAttempts; }

private:
    struct ReadyUpstream {
        Incarnation incarnation;
        TimePoint readySince;
    };

    bool separatesVersions() const { return m_targetSelector != nullptr; }
    bool isTarget(const UpstreamEntry& upstream) const;
    void setRollout(const RolloutItem*);

    UpstreamSelectorOptions m_selectorOptions;
    /// All upstreams, or those of versions other than the target.
    UpstreamSelector m_selector;
    /// The upstreams of the target version; null if versions are not separated.
    std::unique_ptr<UpstreamSelector> m_targetSelector;
    std::optional<RolloutItem> m_rollout;
    /// The service lists an upstream of another version than the target, in any phase.
    bool m_hasOtherVersions { false };
    RetryPolicy m_policy;
    RedirectSuccessRate m_redirectSuccessRate;
    RetryAfterPolicy m_retryAfter;
    ServiceTimeEstimate m_networkDelay;
    std::shared_ptr<const ServiceEntry> m_service;
    std::map<UpstreamId, ReadyUpstream> m_readyUpstreams;
};

} // namespace dragonflylane
