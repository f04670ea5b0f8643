#include "dragonflylane/RolloutRecorder.h"

#include "dragonflylane/RoutingTable.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    // Weight of the latest answer in the mean of the run times.
    constexpr double meanWeight = 0.05;

} // namespace

RolloutRecorder::RolloutRecorder(HostId self, uint64_t process)
    : m_self(std::move(self))
    , m_process(process)
{
}

void RolloutRecorder::setRoutingTable(const RoutingTable& routingTable)
{
    std::map<ServiceName, UpstreamVersion> targets;
    for (ServiceIndex index = 0; index < routingTable.serviceCount(); ++index) {
        const ServiceName& service = routingTable.service(index).name;
        const RolloutItem* rollout = routingTable.rollout(service);
        if (rollout && rollout->state == RolloutState::Running)
            targets.emplace(service, rollout->target);
    }
    std::erase_if(m_tallies, [&](const auto& item) {
        const ServiceName& service = item.second.key.service;
        auto target = targets.find(service);
        return target == targets.end() || target->second != m_targets.at(service);
    });
    std::erase_if(m_ids, [&](const auto& item) { return !m_tallies.contains(item.second); });
    m_targets = std::move(targets);
}

RolloutAttemptId RolloutRecorder::begin(const ServiceName& service, const UpstreamVersion& version, uint64_t routeKey)
{
    auto target = m_targets.find(service);
    if (target == m_targets.end())
        return {};
    Key key { .service = service, .isTarget = version == target->second, .routeKey = routeKey };
    auto known = m_ids.find(key);
    if (known == m_ids.end() && m_tallies.size() >= maxTallies)
        return {};
    if (known == m_ids.end()) {
        known = m_ids.emplace(key, RolloutAttemptId(m_nextId++)).first;
        m_tallies.emplace(known->second, Tally { .key = key });
    }
    ++m_tallies.at(known->second).counts.sent;
    return known->second;
}

void RolloutRecorder::end(RolloutAttemptId attempt, RolloutOutcome outcome, Duration runTime)
{
    auto found = m_tallies.find(attempt);
    if (found == m_tallies.end())
        return;
    Tally& tally = found->second;
    ++tally.counts.ended;
    if (outcome == RolloutOutcome::Unanswered) {
        ++tally.counts.unanswered;
        return;
    }
    auto microseconds = std::chrono::duration_cast<std::chrono::microseconds>(runTime);
    tally.counts.runTime += microseconds;
    if (outcome == RolloutOutcome::Failed) {
        ++tally.counts.failed;
        return;
    }
    if (isSlow(tally.key, runTime))
        ++tally.counts.slow;
    // The first answers count equally, the later ones with a fixed weight.
    ++tally.meanAnswers;
    double weight = std::max(meanWeight, 1 / static_cast<double>(tally.meanAnswers));
    tally.meanRunTime += weight * (static_cast<double>(microseconds.count()) - tally.meanRunTime);
}

bool RolloutRecorder::isSlow(const Key& key, Duration runTime) const
{
    const Tally* others = findTally({ .service = key.service, .isTarget = false, .routeKey = key.routeKey });
    if (!others || others->meanAnswers < minAnswersForMean)
        return false;
    return std::chrono::duration<double, std::micro>(runTime).count() > slowFactor * others->meanRunTime;
}

const RolloutRecorder::Tally* RolloutRecorder::findTally(const Key& key) const
{
    auto found = m_ids.find(key);
    return found == m_ids.end() ? nullptr : &m_tallies.at(found->second);
}

std::optional<RolloutReport> RolloutRecorder::report()
{
    if (m_targets.empty())
        return std::nullopt;
    RolloutReport report { .host = m_self, .process = m_process, .number = ++m_reports };
    for (const auto& [key, id] : m_ids) {
        report.tallies.push_back({ .service = key.service,
            .version = key.isTarget ? m_targets.at(key.service) : UpstreamVersion(),
            .routeKey = key.routeKey,
            .counts = m_tallies.at(id).counts });
    }
    return report;
}

} // namespace dragonflylane
