#include "dragonflylane/RolloutTask.h"

#include "dragonflylane/ConfigState.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/LogTask.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/RolloutJson.h"
#include "dragonflylane/RolloutRecorder.h"
#include "dragonflylane/RolloutWire.h"

namespace dragonflylane {

namespace {

    constexpr std::chrono::milliseconds reportInterval { 200 };

    void logDecision(const RolloutDecider& decider, const AdvanceRolloutCommand& command)
    {
        const RolloutCounts& target = decider.evidence().target();
        const RolloutCounts& others = decider.evidence().others();
        Event("rollout_decided", command.state == RolloutState::RolledBack ? EventLevel::Warning : EventLevel::Info)
            .with("service", command.service)
            .with("target", command.target)
            .with("state", name(command.state))
            .with("share_permille", command.sharePermille)
            .with("elapsed_ms", command.elapsed.count())
            .with("score", static_cast<int64_t>(decider.evidence().score()))
            .with("target_sent", target.sent)
            .with("target_answers", target.ended - target.unanswered)
            .with("target_failed", target.failed)
            .with("target_slow", target.slow)
            .with("other_sent", others.sent)
            .with("other_answers", others.ended - others.unanswered)
            .with("other_failed", others.failed)
            .with("other_slow", others.slow);
    }

} // namespace

RolloutTask::RolloutTask(boost::asio::io_context& context, HostId self, PeerHub& hub, RolloutRecorder& recorder,
    LogTask* log, Metrics& metrics, Hooks hooks)
    : m_self(std::move(self))
    , m_hub(hub)
    , m_recorder(recorder)
    , m_log(log)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_timer(context, [this] { tick(); })
{
}

void RolloutTask::start()
{
    m_hub.subscribe(FrameKind::Rollout, [this](const PeerFrame& frame) { handleFrame(frame); });
}

void RolloutTask::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void RolloutTask::setState(const ConfigState& state)
{
    TimePoint now = BootClock::now();
    std::map<ServiceName, Running> ended = std::exchange(m_running, {});
    for (const RolloutItem* item : state.all<RolloutItem>()) {
        if (item->state != RolloutState::Running)
            continue;
        auto known = ended.find(item->service);
        bool isSame = known != ended.end() && known->second.decider.item().target == item->target;
        if (isSame)
            m_running.insert(ended.extract(known));
        else
            m_running.emplace(item->service, Running { RolloutDecider(*item, now) });
        m_running.at(item->service).decider.follow(*item, now);
    }
    m_metrics.set("rollouts_running", m_running.size());
    if (!m_running.empty() && !m_isStopped)
        m_timer.arm(now + reportInterval);
}

void RolloutTask::tick()
{
    if (m_isStopped || m_running.empty())
        return;
    TimePoint now = BootClock::now();
    sendReport(now);
    decideAll(now);
    m_timer.arm(now + reportInterval);
}

void RolloutTask::sendReport(TimePoint now)
{
    auto report = m_recorder.report();
    if (!report)
        return;
    if (isLeader(now))
        return accept(*report, now);
    std::vector<HostId> hosts = m_hooks.controlHosts();
    std::erase(hosts, m_self);
    m_leader.setControlHosts(std::move(hosts));
    HostId host = m_leader.target(now);
    if (!host.isEmpty())
        m_hub.sendToHost(host, FrameKind::Rollout, encode(*report));
}

void RolloutTask::handleFrame(const PeerFrame& frame)
{
    if (m_isStopped || !m_log)
        return;
    RolloutReport report;
    if (decode(frame.payload, report))
        return m_metrics.add("rollout_reports_malformed");
    TimePoint now = BootClock::now();
    if (isLeader(now)) {
        accept(report, now);
        return decideAll(now);
    }
    // A report is forwarded once, so that it can't circulate while the control hosts disagree on the leader.
    HostId leader = m_log->replica().currentLeader(now);
    bool isForwarded = frame.from != report.host;
    if (!isForwarded && !leader.isEmpty() && leader != m_self)
        m_hub.sendToHost(leader, FrameKind::Rollout, std::string(frame.payload));
}

void RolloutTask::accept(const RolloutReport& report, TimePoint now)
{
    m_metrics.add("rollout_reports_received");
    for (auto& [service, running] : m_running)
        running.decider.add(report, now);
}

bool RolloutTask::isLeader(TimePoint now) const
{
    return m_log && m_log->isLeading(now);
}

void RolloutTask::decideAll(TimePoint now)
{
    if (!isLeader(now))
        return;
    for (auto& [service, running] : m_running) {
        if (running.isPending)
            continue;
        if (auto command = running.decider.decide(now))
            submit(running, *command);
    }
}

void RolloutTask::submit(Running& running, const AdvanceRolloutCommand& command)
{
    const RolloutItem& item = running.decider.item();
    bool isChange = command.state != item.state || command.sharePermille != item.sharePermille;
    if (isChange)
        logDecision(running.decider, command);
    running.isPending = true;
    m_log->submit(command, [this, command](std::error_code error, const ApplyOutcome&) {
        auto known = m_running.find(command.service);
        if (known != m_running.end())
            known->second.isPending = false;
        if (error) {
            Event("rollout_not_advanced", EventLevel::Warning)
                .with("service", command.service)
                .with("target", command.target)
                .with("reason", error);
            return;
        }
        if (command.state == RolloutState::Completed)
            m_metrics.add("rollouts_completed");
        if (command.state == RolloutState::RolledBack)
            m_metrics.add("rollouts_rolled_back");
    });
}

} // namespace dragonflylane
