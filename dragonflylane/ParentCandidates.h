#pragma once

// The hosts that a daemon may attach to, in order of preference, and which of them are to be avoided for a while.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/TreePosition.h"

#include <map>
#include <optional>
#include <vector>

namespace dragonflylane {

class ParentCandidates {
public:
    /// Replaces the candidates. Those that are blocked stay so, and the next search starts with the first one.
    void set(std::vector<ParentCandidate>, TimePoint now);
    bool isEmpty() const { return m_candidates.empty(); }
    const HostId& host(size_t index) const { return m_candidates[index].host; }
    /// Position in the order of preference; nullopt if the host is not a candidate.
    std::optional<size_t> indexOf(const HostId&) const;

    /// Avoids a host until this time.
    void block(const HostId& host, TimePoint until) { m_blockedUntil[host] = until; }
    bool isBlocked(const HostId&, TimePoint now) const;
    /// Time at which the first of the blocked candidates is blocked no more; nullopt if none is blocked.
    std::optional<TimePoint> firstUnblocked(TimePoint now) const;

    /// Returns the next candidate that is not blocked, this daemon itself or its parent; nullopt if there is none. The
    /// search starts after the candidate that was tried last.
    std::optional<size_t> next(const HostId& self, const std::optional<HostId>& parent, TimePoint now) const;
    void setTried(size_t index) { m_next = (index + 1) % m_candidates.size(); }
    /// The next search starts with the most preferred candidate.
    void startOver() { m_next = 0; }

private:
    std::vector<ParentCandidate> m_candidates;
    std::map<HostId, TimePoint> m_blockedUntil;
    size_t m_next { 0 };
};

} // namespace dragonflylane
