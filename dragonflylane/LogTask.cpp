#include "dragonflylane/LogTask.h"

#include "dragonflylane/Event.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/LogStore.h"
#include "dragonflylane/LogWire.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/PeerHub.h"

#include <boost/asio/post.hpp>
#include <random>
#include <thread>

namespace dragonflylane {

namespace asio = boost::asio;

namespace {

    // A command that is not applied within this time is reported as OutcomeUncertain. Longer than an election.
    constexpr std::chrono::seconds submitTimeout { 4 };

    constexpr std::chrono::milliseconds writeRetryInterval { 200 };
    constexpr std::chrono::minutes maxOpenWait { 1 };

    std::string_view roleName(LogRole role)
    {
        switch (role) {
        case LogRole::Follower:
            return "follower";
        case LogRole::PreCandidate:
            return "pre_candidate";
        case LogRole::Candidate:
            return "candidate";
        case LogRole::Leader:
            return "leader";
        }
        return "invalid";
    }

    uint64_t randomNumber()
    {
        std::random_device device;
        return (static_cast<uint64_t>(device()) << 32) | device();
    }

} // namespace

LogTask::LogTask(
    asio::io_context& context, LogReplicaOptions options, PeerHub& hub, Metrics& metrics, Journal& journal, Hooks hooks)
    : m_context(context)
    , m_options(std::move(options))
    , m_hub(hub)
    , m_metrics(metrics)
    , m_journal(journal)
    , m_hooks(std::move(hooks))
    , m_timer(context, [this] {
        TimePoint now = BootClock::now();
        m_replica->tick(now);
        failExpiredCommands(now);
        handleOutputs();
    })
{
}

LogTask::~LogTask()
{
    m_diskThread.join();
}

std::error_code LogTask::start(const std::string& dataFolder, std::string& detail)
{
    std::unique_ptr<LogFiles> files;
    if (auto error = openLogFolder(dataFolder, files)) {
        detail = dataFolder + ": " + error.message();
        return ResultCode::StorageFailed;
    }
    m_store = std::make_unique<LogStore>(
        LogStoreOptions { .self = m_options.self, .random = randomNumber(), .mayBootstrap = m_options.canBootstrap },
        std::move(files));
    RecoveredLog recovered;
    LogStoreReport report;
    if (auto error = openStore(recovered, report)) {
        detail = dataFolder + "/" + report.file + ": offset " + std::to_string(report.offset) + ": " + error.message();
        return error;
    }
    if (report.tornBytes > 0) {
        Event("log_tail_truncated", EventLevel::Warning)
            .with("file", report.file)
            .with("offset", report.offset)
            .with("bytes", report.tornBytes);
    }
    Event("log_opened")
        .with("replica", recovered.replicaId)
        .with("new", static_cast<int>(report.isNew))
        .with("may_bootstrap", static_cast<int>(report.mayBootstrap))
        .with("entries", recovered.entries.size());
    m_hub.subscribe(FrameKind::Log, [this](const PeerFrame& frame) { handleFrame(frame); });
    m_options.canBootstrap = report.mayBootstrap;
    m_replica = std::make_unique<LogReplica>(m_options, std::move(recovered), BootClock::now());
    handleOutputs();
    return {};
}

// A disk that is full or fails for a while must not end the process, as it does not while the daemon runs. The host is
// as good as down until then: nothing is served yet. Damage is reported at once, since it does not pass.
std::error_code LogTask::openStore(RecoveredLog& recovered, LogStoreReport& report)
{
    std::error_code error = m_store->open(recovered, report);
    if (error != ResultCode::StorageFailed)
        return error;
    Event("log_open_failed", EventLevel::Error).with("file", report.file).with("reason", error);
    for (TimePoint end = BootClock::now() + maxOpenWait;
         error == ResultCode::StorageFailed && BootClock::now() < end;) {
        std::this_thread::sleep_for(writeRetryInterval);
        error = m_store->open(recovered, report);
    }
    return error;
}

void LogTask::stop()
{
    m_isStopped = true;
    m_timer.cancel();
}

void LogTask::submit(const PlanCommand& command, Callback callback)
{
    TimePoint now = BootClock::now();
    LogIndex index;
    if (auto error = m_replica->propose(PlanStateMachine::encode(command), now, &index))
        return callback(error, {});
    m_pendingCommands.emplace(index, PendingCommand { m_replica->term(), now, std::move(callback) });
    handleOutputs();
}

void LogTask::setControlHosts(std::vector<HostId> hosts, std::vector<HostId> bootstrapHosts)
{
    if (!m_replica || m_isStopped)
        return;
    m_replica->setControlHosts(std::move(hosts), std::move(bootstrapHosts), BootClock::now());
    handleOutputs();
}

bool LogTask::isCurrent(TimePoint now) const
{
    // Half of the time within which a change must be applied everywhere.
    constexpr std::chrono::seconds followerFreshness { 1 };
    if (!m_backlog.isEmpty())
        return false;
    if (m_replica->role() == LogRole::Leader)
        return m_replica->hasLease(now);
    auto proof = m_replica->provenAt();
    return proof && now - *proof < followerFreshness;
}

bool LogTask::isLeading(TimePoint now) const
{
    return m_replica->role() == LogRole::Leader && isCurrent(now);
}

void LogTask::exportMetrics() const
{
    m_metrics.set("log_term", m_replica->term().value());
    m_metrics.set("log_commit_index", m_replica->commitIndex().value());
    m_metrics.set("log_is_leader", m_replica->role() == LogRole::Leader ? 1 : 0);
    m_metrics.set("log_pending_commands", m_pendingCommands.size());
    m_metrics.set("config_revision_committed", m_stateMachine.state().revision().value());
}

void LogTask::handleFrame(const PeerFrame& frame)
{
    if (m_isStopped)
        return;
    m_metrics.add("control_bytes_received_log", frame.payload.size());
    LogMessage message;
    if (decode(frame.payload, message))
        return m_metrics.add("log_malformed");
    m_replica->receive(message, BootClock::now());
    handleOutputs();
}

void LogTask::handleOutputs()
{
    if (m_isStopped || m_isHandlingOutputs)
        return;
    m_isHandlingOutputs = true;
    do {
        for (LogOutput& output : m_replica->takeOutputs()) {
            if (auto* send = std::get_if<LogSend>(&output))
                handle(*send);
            else if (auto* persist = std::get_if<LogPersist>(&output))
                handle(*persist);
            else
                m_backlog.push(std::move(output));
        }
        if (!m_isApplyPosted)
            applyBacklogSlice();
    } while (m_replica->hasOutputs());
    m_isHandlingOutputs = false;
    m_timer.arm(m_replica->nextWakeup());
}

// Reports the proof of freshness only after all outputs have been applied, since it covers all committed entries.
void LogTask::applyBacklogSlice()
{
    bool isChanged = m_backlog.applySlice(
        BootClock::now, [this](LogOutput& output) { std::visit([this](auto& value) { handle(value); }, output); });
    if (isChanged)
        m_hooks.committed(m_stateMachine, m_replica->term());
    if (m_backlog.isEmpty())
        return m_hooks.proved(m_replica->provenAt());
    m_isApplyPosted = true;
    asio::post(m_context, [this] {
        m_isApplyPosted = false;
        handleOutputs();
    });
}

void LogTask::handle(LogSend& send)
{
    std::string bytes = encode(send.message);
    m_metrics.add("control_bytes_sent_log", bytes.size());
    m_hub.sendToHost(send.host, FrameKind::Log, std::move(bytes));
}

void LogTask::handle(LogPersist& persist)
{
    asio::post(m_diskThread, [this, token = persist.token, write = std::move(persist.write)] {
        TimePoint began = BootClock::now();
        std::error_code error = writeDurably(write);
        asio::post(m_context, [this, token, error, began] {
            if (m_isStopped)
                return;
            if (error)
                return m_hooks.failed(error);
            TimePoint now = BootClock::now();
            m_metrics.observe("log_sync", now - began);
            m_replica->persisted(token, now);
            handleOutputs();
        });
    });
}

// Runs on the disk thread. If the disk is full or fails for a while, this replica waits and retries. The other replicas
// continue without it, and no acknowledged entry or vote is lost.
std::error_code LogTask::writeDurably(const LogWrite& write)
{
    std::error_code error = m_store->write(write);
    if (!error)
        return error;
    asio::post(m_context, [error] { Event("log_write_failed", EventLevel::Error).with("reason", error); });
    while (error && m_store->mayRetry() && !m_isStopped) {
        std::this_thread::sleep_for(writeRetryInterval);
        error = m_store->retry();
    }
    if (!error)
        asio::post(m_context, [] { Event("log_write_resumed"); });
    return error;
}

void LogTask::handle(LogApply& apply)
{
    if (apply.entry.kind != LogEntryKind::Command)
        return completeCommand(apply.entry.index, apply.entry.term, {});
    ApplyOutcome outcome = m_stateMachine.apply(apply.entry.payload);
    if (outcome.delta) {
        Event("revision_committed")
            .with("revision", outcome.revision)
            .with("plan", outcome.plan)
            .with("term", apply.entry.term);
        m_journal.record({ .event = "revision_committed",
            .subjects = { outcome.plan.value(), "revision-" + std::to_string(outcome.revision.value()) },
            .cause = outcome.plan.value(),
            .detail = "term " + std::to_string(apply.entry.term.value()) });
    }
    completeCommand(apply.entry.index, apply.entry.term, outcome);
}

void LogTask::handle(LogRestore& restore)
{
    if (auto error = m_stateMachine.restore(restore.snapshot.data))
        return m_hooks.failed(error);
}

void LogTask::handle(const LogTakeSnapshot& request)
{
    if (auto error = m_replica->snapshotTaken(request.index, m_stateMachine.serialise(), BootClock::now()))
        Event("log_snapshot_failed", EventLevel::Error).with("reason", error);
}

void LogTask::handle(const LogRoleChange& change)
{
    Event("log_role")
        .with("role", roleName(change.role))
        .with("term", change.term)
        .with("leader", change.leader.host)
        .with("ready", static_cast<int>(change.isReady));
    m_journal.record({ .event = "log_role",
        .subjects = { m_options.self.value(), change.leader.host.value() },
        .cause = "term-" + std::to_string(change.term.value()),
        .detail = std::string(roleName(change.role)) });
}

// If the entry at the index has another term, it comes from another leader and the proposed command was not committed.
void LogTask::completeCommand(LogIndex index, Term term, const ApplyOutcome& outcome)
{
    auto node = m_pendingCommands.extract(index);
    if (node.empty())
        return;
    PendingCommand& pending = node.mapped();
    bool isOwnCommand = pending.term == term;
    m_metrics.observe("log_commit", BootClock::now() - pending.submitted);
    pending.callback(isOwnCommand ? std::error_code() : make_error_code(ResultCode::NotLeader), outcome);
}

void LogTask::failExpiredCommands(TimePoint now)
{
    while (!m_pendingCommands.empty() && now - m_pendingCommands.begin()->second.submitted > submitTimeout) {
        auto node = m_pendingCommands.extract(m_pendingCommands.begin());
        node.mapped().callback(ResultCode::OutcomeUncertain, {});
    }
}

} // namespace dragonflylane
