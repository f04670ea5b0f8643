#include "dragonflylane/UpstreamSelector.h"

#include "dragonflylane/Digest.h"
#include "dragonflylane/HalfLife.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace dragonflylane {

namespace {

    // Number of random samples of a tier before it is scanned instead. Bounds the cost of choose().
    constexpr int maxSamples = 8;

    // A report older than this many half-lives is ignored. At low load even a small remainder of it would decide the
    // comparison.
    constexpr int maxReportHalfLives = 8;

    // Load per slot that is added per unit of success rate below minSuccessRate.
    constexpr double failurePenalty = 4;

    struct RankedCandidate {
        uint64_t hash { 0 };
        size_t index { 0 };
    };

    struct RankedDataCentre {
        bool isOwn { false };
        bool isOwnRegion { false };
        uint64_t hash { 0 };
        std::vector<RankedCandidate> members;
        size_t taken { 0 };
    };

    bool appendNext(RankedDataCentre& dataCentre, std::vector<size_t>& subset)
    {
        if (dataCentre.taken == dataCentre.members.size())
            return false;
        subset.push_back(dataCentre.members[dataCentre.taken].index);
        ++dataCentre.taken;
        return true;
    }

} // namespace

UpstreamSelector::UpstreamSelector(UpstreamSelectorOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
}

void UpstreamSelector::rebuild(std::span<const UpstreamCandidate> candidates, TimePoint /* now */)
{
    std::vector<Entry> entries;
    std::unordered_map<UpstreamId, size_t> index;
    for (auto& tier : m_tiers)
        tier.clear();
    for (size_t chosen : chooseSubset(candidates)) {
        const UpstreamCandidate& candidate = candidates[chosen];
        if (!index.emplace(candidate.id, entries.size()).second)
            continue;
        Entry entry;
        auto known = m_index.find(candidate.id);
        if (known != m_index.end() && m_entries[known->second].candidate.owner == candidate.owner)
            entry = std::move(m_entries[known->second]);
        else
            entry.number = m_nextNumber++;
        // The statistics of the previous process of the upstream do not apply to the new one.
        if (entry.candidate.readySince != candidate.readySince) {
            entry.unavailableUntil.reset();
            entry.ejectedUntil.reset();
            entry.failures = 0;
            entry.successRate = 1;
            entry.relativeServiceTime = {};
            entry.paceLimit.reset();
        }
        entry.candidate = candidate;
        entry.tier = tierOf(candidate);
        m_tiers[entry.tier].push_back(entries.size());
        entries.push_back(std::move(entry));
    }
    m_entries = std::move(entries);
    m_index = std::move(index);
}

std::optional<Choice> UpstreamSelector::choose(std::span<const HostId> tried, TimePoint now)
{
    std::optional<size_t> best = localUpstream(tried, now);
    if (!best || comparesSpeeds()) {
        std::optional<size_t> other = chooseInTiers(tried, now);
        if (!best || (other && isMuchFaster(*other, *best, now)))
            best = other;
    }
    if (!best)
        best = chooseIgnoringEjection(tried, now);
    if (!best)
        return std::nullopt;
    Entry& entry = m_entries[*best];
    ++entry.outstanding;
    return Choice { entry.candidate.id, entry.candidate.owner, entry.number };
}

std::optional<size_t> UpstreamSelector::chooseInTiers(std::span<const HostId> tried, TimePoint now)
{
    std::optional<size_t> best;
    double spillLoad
        = tried.empty() ? m_options.spillLoad : std::min(m_options.spillLoad, m_options.spillLoadAfterRefusal);
    for (size_t tier = 0; tier < tierCount; ++tier) {
        std::optional<size_t> found = chooseInTier(tier, tried, now);
        if (!found)
            continue;
        if (!best || expectedFinish(m_entries[*found], now) < expectedFinish(m_entries[*best], now))
            best = found;
        if (loadPerSlot(m_entries[*found], now) < spillLoad)
            break;
    }
    return best;
}

std::optional<Choice> UpstreamSelector::chooseOwner(const HostId& owner, TimePoint now)
{
    for (Entry& entry : m_entries) {
        if (entry.candidate.owner != owner || entry.unavailableUntil > now)
            continue;
        ++entry.outstanding;
        return Choice { entry.candidate.id, entry.candidate.owner, entry.number };
    }
    return std::nullopt;
}

void UpstreamSelector::finished(
    const Choice& choice, SelectionOutcome outcome, const std::optional<LoadReport>& report, TimePoint now)
{
    auto found = m_index.find(choice.upstream);
    if (found == m_index.end() || m_entries[found->second].number != choice.entry)
        return;
    Entry& entry = m_entries[found->second];
    if (entry.outstanding > 0)
        --entry.outstanding;
    if (report)
        recordReport(entry, *report, now);
    switch (outcome) {
    case SelectionOutcome::Success:
        entry.failures = 0;
        if (entry.ejections > 0)
            --entry.ejections;
        recordResult(entry, true, now);
        break;
    case SelectionOutcome::Error:
        recordResult(entry, false, now);
        break;
    case SelectionOutcome::Failure:
    case SelectionOutcome::Timeout:
        recordResult(entry, false, now);
        ++entry.failures;
        if (entry.failures >= m_options.ejectAfter)
            eject(entry, now);
        break;
    case SelectionOutcome::Unavailable:
        entry.unavailableUntil = now + m_options.unavailableFor;
        break;
    case SelectionOutcome::Refused:
    case SelectionOutcome::Ignored:
        break;
    }
}

std::vector<UpstreamId> UpstreamSelector::subset() const
{
    std::vector<UpstreamId> ids;
    ids.reserve(m_entries.size());
    for (const Entry& entry : m_entries)
        ids.push_back(entry.candidate.id);
    return ids;
}

bool UpstreamSelector::isEjected(const UpstreamId& id, TimePoint now) const
{
    auto found = m_index.find(id);
    return found != m_index.end() && m_entries[found->second].ejectedUntil > now;
}

uint32_t UpstreamSelector::outstanding(const UpstreamId& id) const
{
    auto found = m_index.find(id);
    return found == m_index.end() ? 0 : m_entries[found->second].outstanding;
}

size_t UpstreamSelector::tierOf(const UpstreamCandidate& candidate) const
{
    if (!m_options.preferNearest || candidate.dataCentre == m_options.dataCentre)
        return 0;
    return candidate.region == m_options.region ? 1 : 2;
}

// Takes the share of the own data centre first, then one upstream of each other data centre in turn, so that the loss
// of a data centre or a switch affects only a part of the subset. The own data centre fills what is left.
std::vector<size_t> UpstreamSelector::chooseSubset(std::span<const UpstreamCandidate> candidates) const
{
    uint64_t seed = stableHash(m_options.self.value());
    std::map<DataCentreName, RankedDataCentre> grouped;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamCandidate& candidate = candidates[i];
        if (!candidate.isReady || candidate.slots == 0)
            continue;
        RankedDataCentre& dataCentre = grouped[candidate.dataCentre];
        dataCentre.isOwn = candidate.dataCentre == m_options.dataCentre;
        dataCentre.isOwnRegion = candidate.region == m_options.region;
        dataCentre.members.push_back({ stableHash(candidate.id.value(), seed), i });
    }
    std::vector<RankedDataCentre> order;
    for (auto& [name, dataCentre] : grouped) {
        dataCentre.hash = stableHash(name.value(), seed);
        size_t kept = std::min(dataCentre.members.size(), m_options.subsetSize);
        std::partial_sort(dataCentre.members.begin(), dataCentre.members.begin() + static_cast<std::ptrdiff_t>(kept),
            dataCentre.members.end(),
            [](const RankedCandidate& a, const RankedCandidate& b) { return a.hash > b.hash; });
        dataCentre.members.resize(kept);
        order.push_back(std::move(dataCentre));
    }
    std::sort(order.begin(), order.end(), [](const RankedDataCentre& a, const RankedDataCentre& b) {
        if (a.isOwn != b.isOwn)
            return a.isOwn;
        if (a.isOwnRegion != b.isOwnRegion)
            return a.isOwnRegion;
        return a.hash > b.hash;
    });

    std::vector<size_t> subset;
    auto ownCount
        = static_cast<size_t>(std::ceil(m_options.ownDataCentreShare * static_cast<double>(m_options.subsetSize)));
    if (!order.empty() && order.front().isOwn) {
        while (subset.size() < ownCount && appendNext(order.front(), subset)) { }
    }
    bool progress = true;
    while (progress && subset.size() < m_options.subsetSize) {
        progress = false;
        for (RankedDataCentre& dataCentre : order) {
            if (dataCentre.isOwn || subset.size() >= m_options.subsetSize)
                continue;
            progress |= appendNext(dataCentre, subset);
        }
    }
    if (!order.empty() && order.front().isOwn) {
        while (subset.size() < m_options.subsetSize && appendNext(order.front(), subset)) { }
    }
    return subset;
}

double UpstreamSelector::slowStartWeight(const Entry& entry, TimePoint now) const
{
    Duration age = now - entry.candidate.readySince;
    // An owner that paces its upstream limits the load of all entry daemons together.
    if (!m_options.slowStartEnabled || age >= m_options.slowStart || entry.paceLimit)
        return 1;
    double share = static_cast<double>(age.count()) / static_cast<double>(m_options.slowStart.count());
    return std::max(m_options.minSlowStartWeight, share);
}

// Without responses the success rate returns towards one, since only another attempt can show that the upstream has
// recovered.
double UpstreamSelector::successRate(const Entry& entry, TimePoint now) const
{
    return 1 - (1 - entry.successRate) * decayFactor(now - entry.successRateUpdatedAt, m_options.successRateHalfLife);
}

void UpstreamSelector::recordResult(Entry& entry, bool isSuccess, TimePoint now)
{
    entry.successRate = successRate(entry, now);
    entry.successRate += m_options.successRateWeight * ((isSuccess ? 1 : 0) - entry.successRate);
    entry.successRateUpdatedAt = now;
}

void UpstreamSelector::recordReport(Entry& entry, const LoadReport& report, TimePoint now)
{
    double reported = static_cast<double>(report.running) + report.queued;
    entry.loadFromOthers = std::max(0.0, reported - entry.outstanding);
    entry.reportedLimit = report.limit;
    entry.reportedAt = now;
    entry.paceLimit = report.paceLimit;
    if (report.speed)
        recordSpeed(entry, *report.speed, now);
}

void UpstreamSelector::recordSpeed(Entry& entry, const SpeedReport& report, TimePoint now)
{
    if (report.usualServiceTime <= Duration::zero())
        return;
    double usualRatio = m_typicalServiceTimes.record(report.routeKey, report.usualServiceTime);
    entry.relativeServiceTime.record(usualRatio, report.slowness, now, m_options.relativeServiceTime);
    m_latestRoute = report.routeKey;
    m_hasSpeeds = true;
}

double UpstreamSelector::relativeServiceTime(const Entry& entry, TimePoint now) const
{
    return m_options.useSpeeds ? entry.relativeServiceTime.value(now, m_options.relativeServiceTime) : 1;
}

double UpstreamSelector::expectedFinish(const Entry& entry, TimePoint now) const
{
    double load = loadPerSlot(entry, now);
    // A call waits for a slot of a full upstream, however fast it is: the speed counts only while slots are free.
    double freeShare = std::clamp(1 - load, 0.0, 1.0);
    return std::pow(relativeServiceTime(entry, now), freeShare) * (1 + load);
}

double UpstreamSelector::loadPerSlot(const Entry& entry, TimePoint now) const
{
    double load = entry.outstanding;
    double capacity = entry.candidate.slots;
    if (m_options.useReports && entry.reportedAt
        && now - *entry.reportedAt < maxReportHalfLives * m_options.reportHalfLife) {
        double share = decayFactor(now - *entry.reportedAt, m_options.reportHalfLife);
        load += entry.loadFromOthers * share;
        double limit = std::min<double>(entry.reportedLimit, capacity);
        capacity -= (capacity - limit) * share;
    }
    if (entry.paceLimit && entry.reportedAt && now - *entry.reportedAt < m_options.paceLimitHold)
        capacity = std::min<double>(capacity, *entry.paceLimit);
    // An upstream that fails fast has few outstanding requests, so its failures count as load.
    double deficit = m_options.avoidFailing ? std::max(0.0, m_options.minSuccessRate - successRate(entry, now)) : 0;
    return load / std::max(1.0, capacity) + deficit * failurePenalty;
}

bool UpstreamSelector::isUsable(const Entry& entry, std::span<const HostId> tried, TimePoint now) const
{
    if (entry.ejectedUntil > now || entry.unavailableUntil > now)
        return false;
    return std::find(tried.begin(), tried.end(), entry.candidate.owner) == tried.end();
}

// An upstream in slow start is skipped with a probability, so that it gets its reduced share of the traffic at any
// load.
std::optional<size_t> UpstreamSelector::sample(
    size_t tier, std::span<const HostId> tried, std::optional<size_t> other, TimePoint now)
{
    const std::vector<size_t>& members = m_tiers[tier];
    if (members.empty())
        return std::nullopt;
    for (int i = 0; i < maxSamples; ++i) {
        size_t index = members[randomBelow(members.size())];
        const Entry& entry = m_entries[index];
        if (index == other || !isUsable(entry, tried, now))
            continue;
        double share = slowStartWeight(entry, now);
        if (share >= 1 || random() < share)
            return index;
    }
    // Only the first sample must succeed. A scan for the second one could always find an upstream in slow start if it
    // is the only other one, whatever its weight.
    if (other)
        return std::nullopt;
    size_t start = randomBelow(members.size());
    for (size_t i = 0; i < members.size(); ++i) {
        size_t index = members[(start + i) % members.size()];
        if (isUsable(m_entries[index], tried, now))
            return index;
    }
    return std::nullopt;
}

std::optional<size_t> UpstreamSelector::chooseInTier(size_t tier, std::span<const HostId> tried, TimePoint now)
{
    std::optional<size_t> best = sample(tier, tried, std::nullopt, now);
    if (!best || !m_options.twoChoices)
        return best;
    uint32_t samples = comparesSpeeds() ? m_options.samplesWithSpeeds : 2;
    for (uint32_t i = 1; i < samples; ++i) {
        std::optional<size_t> other = sample(tier, tried, best, now);
        if (other && expectedFinish(m_entries[*other], now) < expectedFinish(m_entries[*best], now))
            best = other;
    }
    return best;
}

std::optional<size_t> UpstreamSelector::localUpstream(std::span<const HostId> tried, TimePoint now)
{
    if (!m_options.preferLocalUpstream || !m_options.preferNearest)
        return std::nullopt;
    auto own = std::find_if(m_entries.begin(), m_entries.end(),
        [&](const Entry& entry) { return entry.candidate.owner == m_options.self; });
    if (own == m_entries.end() || !isUsable(*own, tried, now)
        || loadPerSlot(*own, now) >= m_options.localUpstreamMaxLoad)
        return std::nullopt;
    double share = slowStartWeight(*own, now);
    if (share < 1 && random() >= share)
        return std::nullopt;
    return static_cast<size_t>(own - m_entries.begin());
}

// Compares the service time of the local upstream, without the wait: it is asked only while it has spare capacity.
bool UpstreamSelector::isMuchFaster(size_t other, size_t local, TimePoint now) const
{
    if (other == local)
        return false;
    double distance = 0;
    Duration typical = m_typicalServiceTimes.find(m_latestRoute);
    if (typical > Duration::zero())
        distance = static_cast<double>(m_networkDelay.count()) / static_cast<double>(typical.count());
    double otherFinish = expectedFinish(m_entries[other], now) + distance;
    return relativeServiceTime(m_entries[local], now) > m_options.localUpstreamMaxSlowness * otherFinish;
}

// If only ejected upstreams are left, an attempt that will probably fail is better than none.
std::optional<size_t> UpstreamSelector::chooseIgnoringEjection(std::span<const HostId> tried, TimePoint now) const
{
    std::optional<size_t> best;
    for (size_t i = 0; i < m_entries.size(); ++i) {
        const Entry& entry = m_entries[i];
        if (entry.unavailableUntil > now)
            continue;
        if (std::find(tried.begin(), tried.end(), entry.candidate.owner) != tried.end())
            continue;
        if (!best || entry.outstanding < m_entries[*best].outstanding)
            best = i;
    }
    return best;
}

size_t UpstreamSelector::ejectedCount(TimePoint now) const
{
    return static_cast<size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [now](const Entry& entry) { return entry.ejectedUntil > now; }));
}

void UpstreamSelector::eject(Entry& entry, TimePoint now)
{
    if (!m_options.ejectOutliers || entry.ejectedUntil > now)
        return;
    auto allowed = static_cast<size_t>(m_options.maxEjectedShare * static_cast<double>(m_entries.size()));
    if (ejectedCount(now) >= allowed)
        return;
    // The ejection time doubles with each further ejection; each success takes one doubling back.
    constexpr uint32_t maxDoublings = 8;
    Duration time = m_options.ejection * (1 << std::min(entry.ejections, maxDoublings));
    entry.ejectedUntil = now + std::min(time, m_options.maxEjection);
    ++entry.ejections;
    // After the ejection time, a single failure ejects the upstream again.
    entry.failures = m_options.ejectAfter - 1;
}

double UpstreamSelector::random()
{
    return std::uniform_real_distribution<double>(0, 1)(m_random);
}

size_t UpstreamSelector::randomBelow(size_t bound)
{
    return static_cast<size_t>(m_random() % bound);
}

} // namespace dragonflylane
