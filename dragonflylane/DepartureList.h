#pragma once

// The latest departures of upstream processes at one host.
//
//     departures.add({ upstream, { .process = process, .sequence = sequence, .isFinal = true } });
//     if (departures.find(announcement.id, announcement.process(), announcement.sequence))
//         ... // the announcement was made before its process began to leave
//
// All operations are O(maxProcesses).

#include "dragonflylane/DepartedProcess.h"

#include <vector>

namespace dragonflylane {

class DepartureList {
public:
    /// If more processes depart, the oldest departure is forgotten.
    static constexpr size_t maxProcesses = 8;

    /// Departures of one process are merged. Returns false if nothing has changed.
    bool add(const DepartedProcess&);
    /// True if this departure, or one that says more of the same process, has been added.
    bool covers(const DepartedProcess&) const;
    /// The departure that outdates an announcement with this sequence; null if there is none.
    const UpstreamDeparture* find(const UpstreamId&, ProcessId, Sequence announced) const;
    /// Removes what the other list covers.
    void removeCovered(const DepartureList& other);

    /// Oldest first.
    const std::vector<DepartedProcess>& all() const { return m_processes; }
    bool isEmpty() const { return m_processes.empty(); }

    bool operator==(const DepartureList&) const = default;

private:
    const DepartedProcess* findProcess(const UpstreamId&, ProcessId) const;

    std::vector<DepartedProcess> m_processes;
};

} // namespace dragonflylane
