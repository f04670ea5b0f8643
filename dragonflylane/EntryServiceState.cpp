#include "dragonflylane/EntryServiceState.h"

#include "dragonflylane/Digest.h"

#include <algorithm>
#include <random>

namespace dragonflylane {

namespace {

    constexpr uint32_t fullShare = ItemLimits::sharePermille;

    // Independent of the hash that divides the requests of a route among services.
    constexpr uint64_t shareSeed = 2;

    // A completed roll-out restricts nothing: later releases may bring other versions.
    bool separates(const RolloutItem* rollout)
    {
        return rollout && rollout->state != RolloutState::Completed;
    }

    bool usesTarget(VersionGroup group)
    {
        return group == VersionGroup::TargetFirst || group == VersionGroup::Target;
    }

    std::optional<Choice> markTarget(std::optional<Choice> choice)
    {
        if (choice)
            choice->isTarget = true;
        return choice;
    }

    std::function<double()> randomFraction(uint64_t seed)
    {
        return
            [engine = std::mt19937_64(seed)]() mutable { return std::uniform_real_distribution<double>(0, 1)(engine); };
    }

} // namespace

EntryServiceState::EntryServiceState(const EntryServiceStateOptions& options, TimePoint now)
    : m_selectorOptions({ .self = options.self,
        .dataCentre = options.dataCentre,
        .region = options.region,
        .seed = options.seed,
        .spillLoad = options.spillLoad,
        .useSpeeds = options.usesUpstreamSpeeds })
    , m_selector(m_selectorOptions)
    , m_policy({ .budget = options.retryBudget, .seed = options.seed }, now)
    , m_retryAfter({ .random = randomFraction(options.seed) })
{
}

void EntryServiceState::recordNetworkDelay(Duration total, Duration heldByOwner, TimePoint now)
{
    m_networkDelay.addSample(std::max(total - heldByOwner, Duration::zero()), CallOutcome::Success, now, {});
    m_selector.setNetworkDelay(networkDelay(now));
    if (m_targetSelector)
        m_targetSelector->setNetworkDelay(networkDelay(now));
}

void EntryServiceState::setRollout(const RolloutItem* rollout)
{
    if (!separates(rollout)) {
        m_rollout.reset();
        m_targetSelector.reset();
        return;
    }
    m_rollout = *rollout;
    if (!m_targetSelector)
        m_targetSelector = std::make_unique<UpstreamSelector>(m_selectorOptions);
}

bool EntryServiceState::isTarget(const UpstreamEntry& upstream) const
{
    return m_rollout && upstream.version == m_rollout->target;
}

VersionGroup EntryServiceState::versionsFor(const VersionQuery& query) const
{
    if (!separatesVersions())
        return VersionGroup::Any;
    bool mayUseTarget
        = m_rollout->state == RolloutState::Running && query.isConfigRecent && m_targetSelector->size() > 0;
    if (!mayUseTarget)
        return VersionGroup::Others;
    // Requests that are sent to old upstreams at the full share would be lost when these stop.
    if (m_rollout->sharePermille == fullShare || !m_hasOtherVersions)
        return VersionGroup::Target;
    bool isInShare = stableHash(query.request.value(), shareSeed) % fullShare < m_rollout->sharePermille;
    return isInShare && !query.isRetry ? VersionGroup::TargetFirst : VersionGroup::Others;
}

std::optional<Choice> EntryServiceState::choose(VersionGroup group, std::span<const HostId> tried, TimePoint now)
{
    if (usesTarget(group) && m_targetSelector) {
        auto choice = markTarget(m_targetSelector->choose(tried, now));
        if (choice || group == VersionGroup::Target)
            return choice;
    }
    return m_selector.choose(tried, now);
}

std::optional<Choice> EntryServiceState::chooseOwner(VersionGroup group, const HostId& owner, TimePoint now)
{
    if (usesTarget(group) && m_targetSelector) {
        if (auto choice = markTarget(m_targetSelector->chooseOwner(owner, now)))
            return choice;
    }
    return group == VersionGroup::Target ? std::nullopt : m_selector.chooseOwner(owner, now);
}

// The versions may have been separated or joined since the choice. The other selector doesn't know the choice then.
void EntryServiceState::finished(
    const Choice& choice, SelectionOutcome outcome, const std::optional<LoadReport>& report, TimePoint now)
{
    if (!choice.isTarget)
        m_selector.finished(choice, outcome, report, now);
    else if (m_targetSelector)
        m_targetSelector->finished(choice, outcome, report, now);
}

size_t EntryServiceState::size(VersionGroup group) const
{
    size_t targets = m_targetSelector ? m_targetSelector->size() : 0;
    switch (group) {
    case VersionGroup::Target:
        return targets;
    case VersionGroup::TargetFirst:
        return targets + m_selector.size();
    default:
        return m_selector.size();
    }
}

void EntryServiceState::setService(
    std::shared_ptr<const ServiceEntry> service, const RolloutItem* rollout, TimePoint now)
{
    std::optional<RolloutItem> separated = separates(rollout) ? std::optional(*rollout) : std::nullopt;
    bool isSameTarget
        = separated.has_value() == m_rollout.has_value() && (!separated || separated->target == m_rollout->target);
    setRollout(rollout);
    if (service == m_service && isSameTarget)
        return;
    // Upstreams of the first routing table were started before this daemon and need no slow start.
    bool isFirst = !m_service;
    std::map<UpstreamId, ReadyUpstream> readyUpstreams;
    std::vector<UpstreamCandidate> candidates;
    std::vector<UpstreamCandidate> targets;
    candidates.reserve(service->upstreams.size());
    for (const UpstreamEntry& upstream : service->upstreams) {
        auto known = m_readyUpstreams.find(upstream.id);
        bool isNew = known == m_readyUpstreams.end() || known->second.incarnation != upstream.incarnation;
        TimePoint since = isNew ? (isFirst ? TimePoint() : now) : known->second.readySince;
        if (upstream.acceptsRequests())
            readyUpstreams.emplace(upstream.id, ReadyUpstream { upstream.incarnation, since });
        std::vector<UpstreamCandidate>& group = isTarget(upstream) ? targets : candidates;
        group.push_back({ .id = upstream.id,
            .owner = upstream.owner,
            .dataCentre = upstream.dataCentre,
            .region = RegionName(),
            .slots = upstream.slots,
            .isReady = upstream.acceptsRequests(),
            .readySince = since });
    }
    m_readyUpstreams = std::move(readyUpstreams);
    m_hasOtherVersions = !candidates.empty();
    m_selector.rebuild(candidates, now);
    if (m_targetSelector)
        m_targetSelector->rebuild(targets, now);
    m_service = std::move(service);
}

} // namespace dragonflylane
