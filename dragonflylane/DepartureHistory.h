#pragma once

// The departures of upstreams at all hosts: a part of the replicated state machine, so each replica must make the same
// changes in the same order. O(log n) for n hosts, O(n) if a host has to be forgotten.

#include "dragonflylane/DepartureList.h"

#include <map>
#include <vector>

namespace dragonflylane {

/// The departures at one host.
struct HostDepartures {
    HostId host {};
    DepartureList departures {};
};

class DepartureHistory {
public:
    /// If there were departures at more hosts, the host where the last one is the longest ago is forgotten.
    static constexpr size_t maxHosts = 16'384;

    /// Returns false if nothing has changed.
    bool add(const HostId&, const std::vector<DepartedProcess>&);
    /// Empty if none is known.
    const DepartureList& at(const HostId&) const;
    /// The host with the latest departure comes last.
    std::vector<HostDepartures> all() const;
    size_t hostCount() const { return m_hosts.size(); }

private:
    struct Entry {
        DepartureList departures;
        /// Counts the changes of the history.
        uint64_t changedAt { 0 };
    };

    std::map<HostId, Entry> m_hosts;
    uint64_t m_changes { 0 };
};

} // namespace dragonflylane
