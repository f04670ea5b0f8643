#include "dragonflylane/EntryServiceState.h"

#include <random>

namespace dragonflylane {

namespace {

    std::function<double()> randomFraction(uint64_t seed)
    {
        return
            [engine = std::mt19937_64(seed)]() mutable { return std::uniform_real_distribution<double>(0, 1)(engine); };
    }

} // namespace

EntryServiceState::EntryServiceState(const EntryServiceStateOptions& options, TimePoint now)
    : m_selector({ .self = options.self,
        .dataCentre = options.dataCentre,
        .region = options.region,
        .seed = options.seed,
        .spillLoad = options.spillLoad })
    , m_policy({ .budget = options.retryBudget, .seed = options.seed }, now)
    , m_retryAfter({ .random = randomFraction(options.seed) })
{
}

void EntryServiceState::recordNetworkDelay(Duration total, Duration heldByOwner, TimePoint now)
{
    m_networkDelay.addSample(std::max(total - heldByOwner, Duration::zero()), CallOutcome::Success, now, {});
}

void EntryServiceState::setService(std::shared_ptr<const ServiceEntry> service, TimePoint now)
{
    if (service == m_service)
        return;
    // Upstreams of the first routing table were started before this daemon and need no slow start.
    bool isFirst = !m_service;
    std::map<UpstreamId, ReadyUpstream> readyUpstreams;
    std::vector<UpstreamCandidate> candidates;
    candidates.reserve(service->upstreams.size());
    for (const UpstreamEntry& upstream : service->upstreams) {
        auto known = m_readyUpstreams.find(upstream.id);
        bool isNew = known == m_readyUpstreams.end() || known->second.incarnation != upstream.incarnation;
        TimePoint since = isNew ? (isFirst ? TimePoint() : now) : known->second.readySince;
        if (upstream.acceptsRequests())
            readyUpstreams.emplace(upstream.id, ReadyUpstream { upstream.incarnation, since });
        candidates.push_back({ .id = upstream.id,
            .owner = upstream.owner,
            .dataCentre = upstream.dataCentre,
            .region = RegionName(),
            .slots = upstream.slots,
            .isReady = upstream.acceptsRequests(),
            .readySince = since });
    }
    m_readyUpstreams = std::move(readyUpstreams);
    m_selector.rebuild(candidates, now);
    m_service = std::move(service);
}

} // namespace dragonflylane
