#pragma once

// What the owner daemon of an upstream knows of recorded departures: which of its own still have to be recorded, who
// waits for that, and whether it has learned what was recorded before its start. Decision logic without I/O.
//
//     recorder.record({ upstream, departure }, now, [](ResultCode code) { ... });  // Ok: it outlasts every restart
//     if (auto request = recorder.takeRequest(now)) ...                           // send it to a control host
//     if (recorder.accept(answer, now)) ...                                       // apply recorder.recorded()
//     recorder.tick(now);

#include "dragonflylane/BootClock.h"
#include "dragonflylane/DepartureList.h"
#include "dragonflylane/DepartureMessages.h"
#include "dragonflylane/ResultCode.h"

#include <functional>
#include <optional>
#include <vector>

namespace dragonflylane {

struct DepartureRecorderOptions {
    HostId self {};
    BootId bootId {};
    TimePoint startedAt {};
    /// Requests are repeated after an eighth of the time since the first one, within these limits.
    Duration minRetryInterval { std::chrono::milliseconds(100) };
    Duration maxRetryInterval { std::chrono::seconds(2) };
    /// A departure that isn't recorded within this time is reported as QuorumLost. Shorter than the second after which
    /// an upstream gives up.
    Duration recordTimeout { std::chrono::milliseconds(800) };
    /// Without an answer for this long after the start, the daemon goes by what the members know of its earlier
    /// process, if they do. Longer than the election of a leader after a restart of all control hosts.
    Duration answerTimeout { std::chrono::seconds(5) };
};

class DepartureRecorder {
public:
    /// Receives Ok once the departure is recorded, or QuorumLost. It is recorded later all the same if it can be.
    using Callback = std::function<void(ResultCode)>;

    explicit DepartureRecorder(DepartureRecorderOptions);

    void record(const DepartedProcess&, TimePoint now, Callback);
    /// The request that is due. Empty if there is nothing to record or to ask.
    std::optional<DepartureRequest> takeRequest(TimePoint now);
    /// Returns false if the answer was meant for another process.
    bool accept(const DepartureAnswer&, TimePoint now);
    /// Reports the departures whose time to be recorded is over.
    void tick(TimePoint now);
    TimePoint nextWakeup() const;

    /// Members that were not restarted have shown the record of an earlier process of this daemon.
    void earlierRecordFound() { m_hasEarlierRecord = true; }
    /// True once the departures from before the start of this process are known from the leader, or from the members if
    /// the time to wait for the leader is over.
    bool isInformed(TimePoint now) const;
    bool hasAnswer() const { return m_hasAnswer; }
    const DepartureList& recorded() const { return m_recorded; }

private:
    struct Waiter {
        DepartedProcess departed;
        TimePoint until;
        Callback callback;
    };

    bool hasRequest() const { return !m_hasAnswer || !m_unrecorded.isEmpty(); }
    void scheduleRequest(TimePoint now);
    void finish(const std::function<bool(const Waiter&)>& isFinished, ResultCode);

    DepartureRecorderOptions m_options;
    bool m_hasAnswer { false };
    bool m_hasEarlierRecord { false };
    DepartureList m_recorded;
    DepartureList m_unrecorded;
    std::vector<Waiter> m_waiters;
    /// Since when requests have been sent without the answer that they need.
    TimePoint m_askingSince;
    TimePoint m_nextRequest;
};

} // namespace dragonflylane
