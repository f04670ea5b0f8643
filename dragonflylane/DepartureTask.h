#pragma once

// Has the control leader record departures of the upstream on this host, and learns after a start which it has
// recorded. On a control host also serves the requests of other daemons: the leader answers them, any other host passes
// them on to the leader and the answers back. docs/design/departures.md says why.

#include "dragonflylane/DepartureRecorder.h"
#include "dragonflylane/LogRateLimiter.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dragonflylane {

class LogTask;
class Metrics;

class DepartureTask {
public:
    struct Hooks {
        /// The control hosts in the order in which they are to be asked.
        std::function<std::vector<HostId>()> controlHosts;
        /// The recorded departures at this host have become known, or more of them have.
        std::function<void(const std::vector<DepartedProcess>&)> recorded;
        /// On a control host: the requests in quarantine; called while this host leads.
        std::function<std::vector<CrashRecord>()> quarantined;
        /// The leader's answer to `quarantined`.
        std::function<void(const std::vector<CrashRecord>&)> quarantineKnown;
        /// What is recorded can't be learned for now: DepartureRecorder::isInformed() holds without an answer.
        std::function<void()> answerTimedOut;
    };

    /// The log is null on hosts without a control role.
    DepartureTask(boost::asio::io_context&, HostId self, BootId, PeerHub&, LogTask*, Metrics&, Hooks);

    void start();
    void stop();

    /// See DepartureRecorder.
    void record(const DepartedProcess&, DepartureRecorder::Callback);
    void earlierRecordFound() { m_recorder.earlierRecordFound(); }
    bool isInformed() const { return m_recorder.isInformed(BootClock::now()); }

private:
    /// Where an answer is sent; without a link, to this daemon itself.
    struct Requester {
        LinkId link;
        HostId host;
    };

    void handleFrame(const PeerFrame&);
    void handleRequest(const DepartureRequest&, const Requester&);
    void handleAnswer(const DepartureAnswer&);
    void passOn(const DepartureRequest&, const Requester&);
    void submit(const DepartureRequest&, std::vector<DepartedProcess>, const Requester&);
    void answer(const DepartureRequest&, const Requester&);
    void sendRequest(const DepartureRequest&);
    HostId selectControlHost();
    void logDeparture(std::string_view event, const DepartedProcess&);
    void work();

    HostId m_self;
    PeerHub& m_hub;
    LogTask* m_log;
    Metrics& m_metrics;
    Hooks m_hooks;
    DepartureRecorder m_recorder;
    WakeupTimer m_timer;
    /// The control host that is asked.
    HostId m_controlHost;
    /// Since when its answer is awaited.
    std::optional<TimePoint> m_askedSince;
    /// Hosts whose departures are being written to the log.
    std::set<HostId> m_submitted;
    /// On a control host that doesn't lead: the links on which answers are passed back.
    std::map<HostId, LinkId> m_links;
    LogRateLimiter m_logLimiter { { .perSecond = 2, .burst = 10 } };
    bool m_hasTimedOut { false };
    bool m_isStopped { false };
};

} // namespace dragonflylane
