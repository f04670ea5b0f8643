#pragma once

// Fingerprints that the present process of an upstream has answered successfully (5.5).
//
//     completions.record(fingerprint, now);                            // an answer arrived
//     auto suspects = completions.without(inFlight, now);              // the upstream died: report only these
//     completions.clear();                                             // another process of the upstream
//
// A request that the same process answered shortly before is not what crashed it. Without this filter, several copies
// of a crashing request in flight at once cause two deaths before the first completion can clear the popular requests
// beside them. The memory is bounded: the fingerprint answered longest ago is forgotten first, which only means that
// it is reported again. Each operation costs O(log n) per fingerprint.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <list>
#include <map>
#include <span>
#include <vector>

namespace dragonflylane {

struct RecentCompletionsOptions {
    /// An older answer proves nothing, since the state of the upstream has changed since.
    Duration window { std::chrono::minutes(1) };
    /// At about 120 bytes each, 1,024 fingerprints take 120 KB.
    size_t maxFingerprints { 1024 };

    /// Switch that reports every request in flight, for a test.
    bool enabled { true };
};

class RecentCompletions {
public:
    explicit RecentCompletions(RecentCompletionsOptions = {});

    void record(Fingerprint, TimePoint now);
    void clear();

    /// The given fingerprints without those that were answered within the window.
    std::vector<Fingerprint> without(std::span<const Fingerprint>, TimePoint now) const;
    size_t size() const { return m_entries.size(); }

private:
    struct Completion {
        Fingerprint fingerprint;
        TimePoint at;
    };

    bool contains(Fingerprint, TimePoint now) const;

    RecentCompletionsOptions m_options;
    /// Ordered by the time of the last answer.
    std::list<Completion> m_order;
    std::map<Fingerprint, std::list<Completion>::iterator> m_entries;
};

} // namespace dragonflylane
