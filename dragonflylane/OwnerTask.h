#pragma once

// The owner daemon's part of a call: admission, hand-over to the upstream beside this daemon, and the announcement of
// that upstream. No other process talks to the upstream, so this task knows whether a request was handed over.

#include "dragonflylane/Admission.h"
#include "dragonflylane/AnswerRoom.h"
#include "dragonflylane/BootClock.h"
#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/LogLimiter.h"
#include "dragonflylane/RecentCompletions.h"
#include "dragonflylane/UpstreamClient.h"
#include "dragonflylane/UpstreamPhase.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
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
struct UpstreamRecord;

/// What an upstream says about itself.
struct Announcement {
    UpstreamId id;
    ServiceName service;
    Endpoint address;
    uint32_t slots { 0 };
    UpstreamPhase phase { UpstreamPhase::Ready };
    /// Differs between successive processes of the upstream.
    std::string instance;
    /// Start of the process, in milliseconds of the upstream's wall clock; zero if not stated. Of two announcements,
    /// the one of the process that started later holds.
    uint64_t startedAt { 0 };
    /// Grows with each announcement of one process; zero if not stated.
    Sequence sequence;
};

struct OwnerTaskOptions {
    HostId self;
    CallHeaderNames headerNames {};
    uint64_t maxBodyBytes { 1 << 20 };
    /// See UpstreamClientOptions.
    bool answersMayEndWithConnection { false };
    /// See UpstreamClientOptions.
    BodyBudget* bodies { nullptr };
    /// Admission by rank instead of by shares of orders and lookups.
    bool ranksCalls { false };
    /// An upstream that has not announced itself for this long is stopped.
    Duration lease { std::chrono::seconds(3) };
    /// After a lost connection the upstream gets this long to die before it is probed.
    Duration crashProbeDelay { std::chrono::milliseconds(20) };
    /// Requests lost within this time before a death were in flight when it happened.
    Duration crashWindow { std::chrono::seconds(3) };
};

/// Owns admission and connections of one upstream.
class OwnerTask {
public:
    struct Hooks {
        /// The announcement to spread; empty when there is no upstream.
        std::function<void(std::optional<UpstreamRecord>)> announced;
        /// Incarnation that the mesh last knew for this upstream, zero if none.
        std::function<Incarnation(const UpstreamId&)> knownIncarnation;
        /// Grows when this daemon learns that it restarted. Announcements may arrive before the daemon has joined and
        /// knows of its previous life, so the incarnation is raised once it does.
        std::function<uint64_t()> hostGeneration;
    };
    using Responder = std::function<void(wire::ForwardResponse)>;
    using CallId = uint64_t;
    /// Answers to peers leave over the network link of this host.
    enum class CallSource : uint8_t {
        ThisDaemon,
        Peer,
    };

    OwnerTask(boost::asio::io_context&, OwnerTaskOptions, const LinkPacer&, CrashTask&, Metrics&, Journal&, Hooks);
    ~OwnerTask();
    OwnerTask(const OwnerTask&) = delete;
    OwnerTask& operator=(const OwnerTask&) = delete;

    /// Takes an announcement, which renews the lease. One that arrives after a later one of the same process, or after
    /// the announcement of a later process, changes nothing.
    void announce(const Announcement&);
    /// The upstream has announced its end; it gets no further request, and no late announcement brings it back.
    void withdraw(const UpstreamId&, uint64_t startedAt);
    /// Marks the upstream as drained by the configuration.
    void setPlannedDrain(const std::function<bool(const UpstreamId&)>& isDrained);

    /// Answers exactly once unless cancelled.
    CallId handle(wire::ForwardRequest, Responder, CallSource);
    void cancel(CallId);

    /// Tells the mesh that the upstream takes no new work; what still comes is served.
    void retire();
    /// Refuses new work; work in flight goes on.
    void leave();
    bool isIdle() const { return m_calls.empty(); }

    const std::optional<Announcement>& upstream() const { return m_announcement; }
    Incarnation incarnation() const { return m_incarnation; }
    LoadReport load() const;
    bool isDraining() const { return m_isPlannedDrain || isAnnouncedDrain(); }

private:
    struct Call;
    using CallPtr = std::shared_ptr<Call>;

    struct LostRequest {
        Fingerprint fingerprint;
        TimePoint lostAt;
    };

    struct WithdrawnProcess {
        UpstreamId id;
        uint64_t startedAt { 0 };
    };

    bool isAnnouncedDrain() const;
    bool isWithdrawn(const UpstreamId&, uint64_t startedAt) const;
    bool isOutdated(const Announcement&) const;
    bool isNotRunAnswer(const HttpResponse&) const;
    HttpRequest toHttp(wire::ForwardRequest&, Duration remaining) const;
    void startIncarnation(const Announcement&);
    void raiseIncarnation();
    Incarnation generationFloor() const;
    void publish();
    void applyDrain();
    void checkLease();
    CallTicket ticketOf(const Call&, TimePoint now) const;
    ResultCode check(const wire::ForwardRequest&) const;
    void handOver(const CallPtr&);
    void finish(const CallPtr&, UpstreamResult);
    void answer(const CallPtr&, ResultCode, HttpResponse, Duration retryAfter = {});
    void logRefusal(const Call&, ResultCode, Duration expectedWait);
    void apply(const AdmissionChanges&);
    void noteLostRequest(const Call&, bool wasSent);
    void probeAfterLoss();
    void declareDead(std::string_view evidence);
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
    bool m_isRetired { false };
    bool m_isLeaving { false };
    TimePoint m_leaseEnd;
    /// Processes that announced their end, oldest first.
    std::deque<WithdrawnProcess> m_withdrawn;

    std::unique_ptr<Admission> m_admission;
    AnswerRoom m_answerRoom;
    std::shared_ptr<UpstreamClient> m_client;
    CallId m_nextCall { 1 };
    std::unordered_map<CallId, CallPtr> m_calls;
    std::vector<LostRequest> m_lost;
    RecentCompletions m_completions;
    bool m_isProbing { false };
    LogLimiter m_refusalLines;
    WakeupTimer m_timer;
};

} // namespace dragonflylane
