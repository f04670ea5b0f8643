#pragma once

// Queue of log outputs that change the replicated state machine. They are applied in order and in time slices, so that
// the task handles messages between slices.
//
// Without slices, a restart of all processes causes repeated elections: the replicas apply the whole log while they
// elect a leader. With a fraction of a core that takes longer than the election timeout, so each leader that is busy
// applying is deposed, until all replicas have applied the whole log.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/LogReplica.h"

#include <deque>
#include <functional>

namespace dragonflylane {

/// Outputs that are still to be applied, in order.
class LogBacklog {
public:
    void push(LogOutput output) { m_outputs.push_back(std::move(output)); }
    bool isEmpty() const { return m_outputs.empty(); }

    /// Applies outputs until the time slice is used up, but at least one. Returns true if there were any.
    bool applySlice(const std::function<TimePoint()>& now, const std::function<void(LogOutput&)>& apply)
    {
        bool hadAny = !m_outputs.empty();
        TimePoint began = now();
        while (!m_outputs.empty()) {
            LogOutput output = std::move(m_outputs.front());
            m_outputs.pop_front();
            apply(output);
            if (now() - began >= maxSliceDuration)
                break;
        }
        return hadAny;
    }

private:
    // Half of the default LogReplicaOptions::heartbeatInterval.
    static constexpr std::chrono::milliseconds maxSliceDuration { 50 };

    std::deque<LogOutput> m_outputs;
};

} // namespace dragonflylane
