#include "dragonflylane/EntryService.h"

namespace dragonflylane {

EntryService::EntryService(const EntryServiceOptions& options, TimePoint now)
    : m_selector({ .self = options.self,
        .dataCentre = options.dataCentre,
        .region = options.region,
        .seed = options.seed,
        .spillLoad = options.spillLoad })
    , m_policy({ .budget = options.retryBudget, .seed = options.seed }, now)
{
}

void EntryService::recordTransit(Duration took, Duration held, TimePoint now)
{
    m_transit.learn(std::max(took - held, Duration::zero()), CallOutcome::Success, now, {});
}

void EntryService::setService(std::shared_ptr<const ServiceEntry> service, TimePoint now)
{
    if (service == m_service)
        return;
    // Upstreams that were there before this daemon are warm already.
    bool isFirst = !m_service;
    std::map<UpstreamId, Seen> seen;
    std::vector<UpstreamCandidate> candidates;
    candidates.reserve(service->upstreams.size());
    for (const UpstreamEntry& upstream : service->upstreams) {
        auto known = m_seen.find(upstream.id);
        bool isNew = known == m_seen.end() || known->second.incarnation != upstream.incarnation;
        TimePoint since = isNew ? (isFirst ? TimePoint() : now) : known->second.readySince;
        if (upstream.takesRequests())
            seen.emplace(upstream.id, Seen { upstream.incarnation, since });
        candidates.push_back({ .id = upstream.id,
            .owner = upstream.owner,
            .dataCentre = upstream.dataCentre,
            .region = RegionName(),
            .slots = upstream.slots,
            .isReady = upstream.takesRequests(),
            .readySince = since });
    }
    m_seen = std::move(seen);
    m_selector.rebuild(candidates, now);
    m_service = std::move(service);
}

} // namespace dragonflylane
