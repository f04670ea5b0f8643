#pragma once

// The owner daemon's part of a call: admission, forwarding to the local upstream (the one on this daemon's host), and
// the announcement of that upstream to the mesh. All requests to the upstream pass through this task, so it can tell
// whether a request was sent.

#include "dragonflylane/Admission.h"
#include "dragonflylane/BootClock.h"
#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/DepartureList.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/LogRateLimiter.h"
#include "dragonflylane/MemberRecord.h"
#include "dragonflylane/NestedCallThrottle.h"
#include "dragonflylane/OwnerStatements.h"
#include "dragonflylane/ParentCall.h"
#include "dragonflylane/RecentCompletions.h"
#include "dragonflylane/ResponseDelayEstimator.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/RunningCalls.h"
#include "dragonflylane/UnansweredRequests.h"
#include "dragonflylane/UpstreamClient.h"
#include "dragonflylane/UpstreamPerformance.h"
#include "dragonflylane/UpstreamPhase.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dragonflylane {

namespace wire {
    class ForwardRequest;
    class ForwardResponse;
}

class BodyBudget;
class CrashTask;
class Journal;
class Metrics;

/// Registration that an upstream sends to its daemon.
struct Announcement {
    UpstreamId id;
    ServiceName service;
    Endpoint address;
    uint32_t slots { 0 };
    UpstreamPhase phase { UpstreamPhase::Ready };
    /// Version of its software; empty if not stated.
    UpstreamVersion version {};
    /// Identifies the process: differs after each restart of the upstream.
    std::string instance;
    /// Start of the process, in milliseconds of the upstream's wall clock; zero if not stated. An announcement of the
    /// process that started later takes precedence.
    uint64_t startedAt { 0 };
    /// Increases with each announcement of one process; zero if not stated.
    Sequence sequence;

    ProcessId process() const;
};

/// A process of an upstream as it names itself when it leaves; see Announcement.
struct LeavingProcess {
    UpstreamId id;
    std::string instance;
    /// Zero if not stated: the process that was announced last.
    uint64_t startedAt { 0 };

    ProcessId process() const;
};

struct OwnerTaskOptions {
    HostId self;
    CallHeaderNames headerNames {};
    uint64_t maxBodyBytes { 1 << 20 };
    /// See UpstreamClientOptions::acceptsCloseDelimited.
    bool acceptsCloseDelimitedResponses { false };
    /// See UpstreamClientOptions.
    BodyBudget* bodies { nullptr };
    /// Selects RankedAdmission (by priority and target latency) instead of OwnerAdmission (slots shared between
    /// idempotent and non-idempotent requests).
    bool usesRankedAdmission { false };
    /// See UpstreamPerformanceOptions.
    bool pacesUpstream { true };
    bool reportsSpeed { true };
    /// Nested calls have the priority of their parent calls and go first within it, see RankedAdmission.
    bool ordersNestedCalls { true };
    /// With ranked admission: refuses calls whose nested calls find no capacity, see NestedCallThrottle.
    bool throttlesNestedCalls { true };
    /// An upstream that drains serves calls for at least this long after the drain was acknowledged.
    Duration upstreamDrainTime { std::chrono::seconds(2) };
    /// An upstream that has not announced itself for this long is considered stopped.
    Duration lease { std::chrono::seconds(3) };
    /// Delay between the loss of a connection and the connection attempt that checks whether the upstream is alive. A
    /// crashing process needs some time until its port refuses connections.
    Duration crashProbeDelay { std::chrono::milliseconds(20) };
    /// Requests whose connection was lost within this time before the upstream was found dead count as in flight at the
    /// crash.
    Duration crashWindow { std::chrono::seconds(3) };
};

/// Owns the admission queue and the connections of one upstream.
class OwnerTask {
public:
    /// Receives Ok once what was acknowledged outlasts a restart of every daemon, or QuorumLost if that wasn't possible
    /// in time. It holds in this process in either case.
    using Acknowledge = std::function<void(ResultCode)>;

    /// Functions of the daemon that the task calls.
    struct Hooks {
        /// Publishes the record of the upstream to the mesh; empty if there is no upstream.
        std::function<void(std::optional<UpstreamRecord>)> publishUpstream;
        /// Highest incarnation of this upstream in the membership records; zero if there is none.
        std::function<Incarnation(const UpstreamId&)> knownIncarnation;
        /// Generation of this host. Increases when the membership shows records of an earlier process of this daemon.
        /// Announcements may arrive before the daemon has joined, so the upstream's incarnation is raised afterwards if
        /// the generation has increased.
        std::function<uint64_t()> hostGeneration;
        /// True once the departures that were recorded before the start of this process are known.
        std::function<bool()> areDeparturesKnown;
        /// Has a departure recorded.
        std::function<void(const DepartedProcess&, Acknowledge)> recordDeparture;
    };
    using Responder = std::function<void(wire::ForwardResponse)>;
    using CallId = uint64_t;
    /// Where a call comes from. Only responses to peers are sent over the network link of this host.
    enum class CallSource : uint8_t {
        ThisDaemon,
        Peer,
    };

    OwnerTask(boost::asio::io_context&, OwnerTaskOptions, const LinkPacer&, CrashTask&, Metrics&, Journal&, Hooks);
    ~OwnerTask();
    OwnerTask(const OwnerTask&) = delete;
    OwnerTask& operator=(const OwnerTask&) = delete;

    /// Applies an announcement and renews the lease. An announcement that is older than the current one (by process
    /// start, then by sequence) is ignored. The latest one waits until the recorded departures are known, since its
    /// process may have left. Acknowledged at once unless the upstream is draining.
    void announce(const Announcement&, const Acknowledge&);
    /// Drains the upstream because its process is about to stop. Later announcements of that process are ignored.
    void withdraw(const LeavingProcess&, const Acknowledge&);
    /// The departures that are recorded at this host: announcements from before them are ignored.
    void adoptDepartures(const std::vector<DepartedProcess>&);
    /// Applies the announcement that has waited for the recorded departures.
    void applyHeldAnnouncement();
    /// An earlier process of this daemon has published this record. Its departure, if any, holds again: later
    /// announcements of that process are ignored as they would have been before the restart.
    void adoptEarlierRecord(const UpstreamRecord&);
    /// Sets or clears the drain that the configuration asks for.
    void setPlannedDrain(const std::function<bool(const UpstreamId&)>& isDrained);

    /// Runs a call or refuses it. Calls the responder exactly once unless the call is cancelled.
    CallId handle(wire::ForwardRequest, Responder, CallSource);
    void cancel(CallId);
    /// The call with this request id that the upstream is running. A call that was cancelled is found until its
    /// deadline, since the upstream may go on with it. O(1).
    std::optional<ParentCall> findRunning(std::string_view requestId) const;
    /// A nested call of this running call was refused for lack of capacity or not served in time.
    void nestedCallRefused(const ParentCall&);

    /// Removes the upstream from the membership record, or marks it as stopped if it is leaving, so that it gets no new
    /// calls. Calls that still arrive are served.
    void unpublishUpstream();
    /// Refuses new calls; calls in flight continue.
    void refuseNewCalls();
    /// Refuses the calls that have not been sent to the upstream, so that their entry daemons know that they did not
    /// run.
    void refuseQueuedCalls();
    bool isIdle() const { return m_calls.empty(); }

    const std::optional<Announcement>& upstream() const { return m_announcement; }
    Incarnation incarnation() const { return m_incarnation; }
    LoadReport load() const;
    const UpstreamPerformance& performance() const { return m_performance; }
    bool isDraining() const { return m_isPlannedDrain || isAnnouncedDrain(); }

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    /// Whether the requests that are running at a death may have caused it.
    enum class RunningRequests : uint8_t {
        Suspected,
        Unsuspected,
    };

    /// An announcement that waits until the recorded departures are known.
    struct HeldAnnouncement {
        Announcement announcement;
        TimePoint arrivedAt;
    };

    bool isAnnouncedDrain() const;
    const UpstreamDeparture* departureBefore(const Announcement&) const;
    void apply(const Announcement&);
    void hold(const Announcement&);
    void drainIfDeparted();
    DepartedProcess drainOf(const Announcement&) const;
    void updateDeparture();
    std::optional<UpstreamRecord> makeRecord() const;
    bool isOutdated(const Announcement&) const;
    bool statesNotRun(const HttpResponse&) const;
    void recordStatements(const HttpResponse&, TimePoint now);
    void applyStatements(const StatementChange&, TimePoint now);
    void startIncarnation(const Announcement&);
    void raiseIncarnation();
    Incarnation minIncarnation() const;
    void publish();
    std::string drainCause() const;
    void applyDrain();
    void checkLease();
    CallTicket makeTicket(const Call&, TimePoint now) const;
    ResultCode checkRequest(const wire::ForwardRequest&) const;
    ResultCode checkCrashState(Call&) const;
    bool isSuspectRunning() const;
    bool passesThrottle(const Call&);
    void dispatch(const CallPtr&);
    void sendToUpstream(const CallPtr&);
    void finish(const CallPtr&, UpstreamResult);
    void recordPerformance(const Call&, const UpstreamResult&, TimePoint now);
    /// Applies the number of calls that may run at the same time.
    void applySlots();
    void answer(const CallPtr&, ResultCode, HttpResponse, Duration retryAfter = {});
    void logRefusal(const Call&, ResultCode, Duration expectedWait);
    void logSuspect(const Call&);
    void applyChanges(const AdmissionChanges&);
    void recordUnanswered(const Call&, const UpstreamResult&);
    void recordSignOfLife(TimePoint at);
    std::vector<Fingerprint> takeSuspects(TimePoint now);
    void probeUpstream();
    void declareDead(std::string_view evidence, RunningRequests = RunningRequests::Suspected);
    void refuseQueued(ResultCode);
    void armTimer();

    boost::asio::io_context& m_context;
    OwnerTaskOptions m_options;
    CrashTask& m_crash;
    Metrics& m_metrics;
    Journal& m_journal;
    Hooks m_hooks;

    std::optional<Announcement> m_announcement;
    Incarnation m_incarnation;
    bool m_isStopped { true };
    bool m_isPlannedDrain { false };
    bool m_isUnpublished { false };
    bool m_refusesNewCalls { false };
    TimePoint m_leaseEnd;
    std::optional<HeldAnnouncement> m_held;
    /// Processes that have withdrawn, or whose departure an earlier process of this daemon has acknowledged.
    DepartureList m_departures;
    /// Set while the current process drains.
    std::optional<UpstreamDeparture> m_departure;
    /// The latest record with a departure that an earlier process of this daemon has published. Published again until
    /// an upstream is announced, so that it outlasts further restarts.
    std::optional<UpstreamRecord> m_earlierRecord;

    std::unique_ptr<Admission> m_admission;
    ResponseDelayEstimator m_responseDelay;
    std::shared_ptr<UpstreamClient> m_client;
    CallId m_nextCall { 1 };
    std::unordered_map<CallId, CallPtr> m_calls;
    RunningCalls m_runningCalls;
    NestedCallThrottle m_throttle;
    UnansweredRequests m_unanswered;
    RecentCompletions m_completions;
    bool m_isProbing { false };
    OwnerStatements m_statements;
    UpstreamPerformance m_performance;
    /// The slots that m_admission was given last.
    uint32_t m_appliedSlots { 0 };
    LogRateLimiter m_refusalLogLimiter;
    LogRateLimiter m_suspectLogLimiter;
    WakeupTimer m_timer;
};

} // namespace dragonflylane
