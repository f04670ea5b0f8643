#pragma once

// Runs the log replica of a control host: writes to disk on a separate thread, exchanges messages over the peer links,
// and applies committed commands to the replicated state machine.

#include "dragonflylane/LogBacklog.h"
#include "dragonflylane/LogReplica.h"
#include "dragonflylane/PlanStateMachine.h"
#include "dragonflylane/WakeupTimer.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace dragonflylane {

class Journal;
class LogStore;
struct LogStoreReport;
class Metrics;
class PeerHub;
struct PeerFrame;

/// Owns the replica, its store and the state machine.
class LogTask {
public:
    struct Hooks {
        /// The state machine has changed, by one or more entries.
        std::function<void(const PlanStateMachine&, Term)> committed;
        /// The current value of LogReplica::provenAt(), after all committed entries have been applied.
        std::function<void(std::optional<TimePoint>)> proved;
        /// The data folder cannot be written or a snapshot cannot be restored; the process must end.
        std::function<void(std::error_code)> failed;
    };
    using Callback = std::function<void(std::error_code, const ApplyOutcome&)>;

    LogTask(boost::asio::io_context&, LogReplicaOptions, PeerHub&, Metrics&, Journal&, Hooks);
    ~LogTask();
    LogTask(const LogTask&) = delete;
    LogTask& operator=(const LogTask&) = delete;

    /// Opens the data folder and starts the replica. On an error, `detail` names the file and the offset.
    std::error_code start(const std::string& dataFolder, std::string& detail);
    void stop();

    /// Replicates a command and reports its outcome once this replica has applied it. After NotLeader and the errors of
    /// LogReplica::propose() the command is not in the log; after OutcomeUncertain it may still be committed.
    void submit(const PlanCommand&, Callback);

    /// See LogReplica::setControlHosts().
    void setControlHosts(std::vector<HostId> hosts, std::vector<HostId> bootstrapHosts);

    const PlanStateMachine& stateMachine() const { return m_stateMachine; }
    const LogReplica& replica() const { return *m_replica; }
    /// True if reads of the state machine are current: all committed entries are applied, and this replica is a leader
    /// with a lease or a follower with a recent proof of freshness (LogReplica::provenAt()).
    bool isCurrent(TimePoint now) const;
    /// True if this replica leads and reads of the state machine are current.
    bool isLeading(TimePoint now) const;
    void exportMetrics() const;

private:
    std::error_code openStore(RecoveredLog&, LogStoreReport&);
    struct PendingCommand {
        Term term;
        TimePoint submitted;
        Callback callback;
    };

    void handleFrame(const PeerFrame&);
    void handleOutputs();
    void applyBacklogSlice();
    void handle(LogSend&);
    void handle(LogPersist&);
    void handle(LogApply&);
    void handle(LogRestore&);
    void handle(const LogTakeSnapshot&);
    void handle(const LogRoleChange&);
    std::error_code writeDurably(const LogWrite&);
    void completeCommand(LogIndex, Term, const ApplyOutcome&);
    void failExpiredCommands(TimePoint now);

    boost::asio::io_context& m_context;
    LogReplicaOptions m_options;
    PeerHub& m_hub;
    Metrics& m_metrics;
    Journal& m_journal;
    Hooks m_hooks;
    std::unique_ptr<LogStore> m_store;
    std::unique_ptr<LogReplica> m_replica;
    PlanStateMachine m_stateMachine;
    /// Outputs that are still to be applied to the state machine, in order.
    LogBacklog m_backlog;
    bool m_isApplyPosted { false };
    std::map<LogIndex, PendingCommand> m_pendingCommands;
    boost::asio::thread_pool m_diskThread { 1 };
    WakeupTimer m_timer;
    std::atomic<bool> m_isStopped { false };
    /// Set while handleOutputs() runs. Outputs that are produced meanwhile are handled by its loop.
    bool m_isHandlingOutputs { false };
};

} // namespace dragonflylane
