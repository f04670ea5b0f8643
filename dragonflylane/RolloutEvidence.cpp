#include "dragonflylane/RolloutEvidence.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    // Bounds the memory of the leader; more routes to one service are only counted together.
    constexpr size_t maxRoutes = 256;

    AnswerCounts answersOf(const RolloutCounts& counts)
    {
        return { .answers = counts.ended - counts.unanswered, .bad = counts.failed + counts.slow };
    }

    void addTo(RolloutCounts& sum, const RolloutCounts& counts)
    {
        sum.sent += counts.sent;
        sum.ended += counts.ended;
        sum.unanswered += counts.unanswered;
        sum.failed += counts.failed;
        sum.slow += counts.slow;
        sum.runTime += counts.runTime;
    }

    void subtractFrom(RolloutCounts& sum, const RolloutCounts& counts)
    {
        sum.sent -= counts.sent;
        sum.ended -= counts.ended;
        sum.unanswered -= counts.unanswered;
        sum.failed -= counts.failed;
        sum.slow -= counts.slow;
        sum.runTime -= counts.runTime;
    }

    bool isAtLeast(const RolloutCounts& counts, const RolloutCounts& earlier)
    {
        return counts.sent >= earlier.sent && counts.ended >= earlier.ended && counts.unanswered >= earlier.unanswered
            && counts.failed >= earlier.failed && counts.slow >= earlier.slow;
    }

} // namespace

RolloutEvidence::RolloutEvidence(ServiceName service, UpstreamVersion target)
    : m_service(std::move(service))
    , m_targetVersion(std::move(target))
{
}

void RolloutEvidence::add(const RolloutReport& report, TimePoint now)
{
    Daemon& daemon = m_daemons[report.host];
    if (!isNewReport(daemon, report))
        return;
    if (daemon.process != report.process)
        daemon = { .process = report.process };
    daemon.number = report.number;
    daemon.reportedAt = now;
    std::map<uint64_t, VersionAnswers> answers;
    VersionAnswers sum;
    for (const RolloutTally& tally : report.tallies) {
        bool isTarget = tally.version == m_targetVersion;
        // A report from before or after this roll-out may be about another target.
        if (tally.service != m_service || (!isTarget && !tally.version.isEmpty()))
            continue;
        RolloutCounts increase = takeIncrease(daemon, { isTarget, tally.routeKey }, tally.counts);
        addTo(isTarget ? m_target : m_others, increase);
        AnswerCounts counts = answersOf(increase);
        VersionAnswers& route = answers[tally.routeKey];
        (isTarget ? route.target : route.others) = counts;
        AnswerCounts& total = isTarget ? sum.target : sum.others;
        total.answers += counts.answers;
        total.bad += counts.bad;
        if (!isTarget && increase.sent > 0)
            daemon.sentToOthersAt = now;
    }
    for (const auto& [routeKey, counts] : answers) {
        if (m_routes.contains(routeKey) || m_routes.size() < maxRoutes)
            m_routes[routeKey].add(counts, now);
    }
    m_allRoutes.add(sum, now);
}

bool RolloutEvidence::isNewReport(const Daemon& daemon, const RolloutReport& report) const
{
    return daemon.process != report.process || report.number > daemon.number;
}

RolloutCounts RolloutEvidence::takeIncrease(Daemon& daemon, const TallyKey& key, const RolloutCounts& counts)
{
    RolloutCounts& known = daemon.counts[key];
    RolloutCounts increase = counts;
    // The daemon starts at zero again when a roll-out starts.
    if (isAtLeast(counts, known))
        subtractFrom(increase, known);
    known = counts;
    return increase;
}

double RolloutEvidence::score() const
{
    double score = m_allRoutes.score();
    for (const auto& [routeKey, comparison] : m_routes)
        score = std::max(score, comparison.score());
    return score;
}

bool RolloutEvidence::hasRequestsAtOthers(TimePoint now) const
{
    return std::any_of(m_daemons.begin(), m_daemons.end(), [now](const auto& item) {
        const Daemon& daemon = item.second;
        if (now - daemon.reportedAt > reportLifetime)
            return false;
        bool isWaiting = std::any_of(daemon.counts.begin(), daemon.counts.end(),
            [](const auto& tally) { return !tally.first.isTarget && tally.second.sent > tally.second.ended; });
        return isWaiting || now - daemon.sentToOthersAt < quietTime;
    });
}

} // namespace dragonflylane
