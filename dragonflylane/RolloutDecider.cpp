#include "dragonflylane/RolloutDecider.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    constexpr uint32_t fullShare = ItemLimits::sharePermille;

    /// Share of the target from a part of the duration on.
    struct RolloutStep {
        double from;
        uint32_t sharePermille;
    };

    // The first share lasts for most of the time, since a version may turn bad later. The steps together stay well
    // below a tenth of the requests, so that a version that is bad at the full share can be rolled back within that.
    constexpr RolloutStep steps[] = {
        { .from = 0, .sharePermille = 40 },
        { .from = 0.55, .sharePermille = 100 },
        { .from = 0.64, .sharePermille = 250 },
        { .from = 0.73, .sharePermille = fullShare },
    };
    constexpr uint32_t firstShare = steps[0].sharePermille;

    // From here on a roll-out at the full share no longer waits for the last requests at the old upstreams.
    constexpr double completeInAnyCaseFrom = 0.88;
    // A roll-out that is not completed by then is rolled back.
    constexpr double rollBackFrom = 0.93;

} // namespace

RolloutDecider::RolloutDecider(const RolloutItem& item, TimePoint now, RolloutDeciderOptions options)
    : m_options(options)
    , m_item(item)
    , m_evidence(item.service, item.target)
    , m_startedAt(now - item.elapsed)
{
    follow(item, now);
}

void RolloutDecider::follow(const RolloutItem& item, TimePoint now)
{
    bool isFallback = item.sharePermille < m_item.sharePermille && item.state == RolloutState::Running;
    m_fallbacks += isFallback && m_item.sharePermille > firstShare ? 1 : 0;
    m_item = item;
    m_startedAt = std::min<TimePoint>(m_startedAt, now - item.elapsed);
    if (item.sharePermille != fullShare)
        m_fullSince.reset();
    else if (!m_fullSince)
        m_fullSince = now;
}

void RolloutDecider::add(const RolloutReport& report, TimePoint now)
{
    m_evidence.add(report, now);
    updateVerdict(now);
}

void RolloutDecider::updateVerdict(TimePoint now)
{
    double score = m_evidence.score();
    if (score < m_options.badScore)
        m_badSince.reset();
    else if (!m_badSince)
        m_badSince = now;
    if (score >= m_options.doubtScore)
        m_doubtedAt = now;
}

std::optional<AdvanceRolloutCommand> RolloutDecider::decide(TimePoint now)
{
    if (m_item.state != RolloutState::Running)
        return std::nullopt;
    if (isBad(now))
        return advance(RolloutState::RolledBack, 0, now);
    if (mayComplete(now))
        return advance(RolloutState::Completed, fullShare, now);
    if (progress(now) >= rollBackFrom)
        return advance(RolloutState::RolledBack, 0, now);
    uint32_t share = plannedShare(now);
    bool isFallback = share < m_item.sharePermille && m_item.sharePermille > firstShare;
    if (isFallback && m_fallbacks >= m_options.maxFallbacks)
        return advance(RolloutState::RolledBack, 0, now);
    if (share == m_item.sharePermille && elapsed(now) - m_item.elapsed < m_options.elapsedInterval)
        return std::nullopt;
    return advance(RolloutState::Running, share, now);
}

bool RolloutDecider::isBad(TimePoint now) const
{
    return m_badSince && now - *m_badSince >= m_options.verdictTime;
}

bool RolloutDecider::isInDoubt(TimePoint now) const
{
    return m_doubtedAt && now - *m_doubtedAt < m_options.doubtTime;
}

bool RolloutDecider::mayComplete(TimePoint now) const
{
    if (!m_fullSince || isInDoubt(now) || m_evidence.targetAnswers() < m_options.minAnswers)
        return false;
    Duration fullShareTime = now - *m_fullSince;
    if (progress(now) >= completeInAnyCaseFrom)
        return fullShareTime >= m_options.minLateFullShareTime;
    auto watchTime = std::chrono::duration_cast<Duration>(m_item.duration * m_options.minFullSharePart);
    bool isWatched = fullShareTime >= std::max(m_options.minFullShareTime, watchTime);
    return isWatched && !m_evidence.hasRequestsAtOthers(now);
}

uint32_t RolloutDecider::plannedShare(TimePoint now) const
{
    uint32_t share = firstShare;
    for (const RolloutStep& step : steps) {
        if (progress(now) >= step.from)
            share = step.sharePermille;
    }
    if (isInDoubt(now))
        share = firstShare;
    bool isFirstStep = progress(now) < steps[1].from;
    return isFirstStep && isOverExposed() ? 0 : share;
}

bool RolloutDecider::isOverExposed() const
{
    uint64_t sent = m_evidence.target().sent;
    double all = static_cast<double>(sent + m_evidence.others().sent);
    return static_cast<double>(sent) > m_options.maxFirstPart * all + static_cast<double>(m_options.maxFirstRequests);
}

double RolloutDecider::progress(TimePoint now) const
{
    auto duration = std::chrono::duration_cast<Duration>(m_item.duration);
    return static_cast<double>(elapsed(now).count())
        / static_cast<double>(std::max<Duration>(duration, Duration(1)).count());
}

AdvanceRolloutCommand RolloutDecider::advance(RolloutState state, uint32_t sharePermille, TimePoint now) const
{
    return { .service = m_item.service,
        .target = m_item.target,
        .state = state,
        .sharePermille = sharePermille,
        .elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed(now)) };
}

} // namespace dragonflylane
