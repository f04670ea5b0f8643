#pragma once

// Fingerprints of the requests that the current process of an upstream answered recently (docs/design.md, 5.5).
//
//     completions.record(fingerprint, now);                            // the upstream answered
//     auto suspects = completions.excludeCompleted(inFlight, now);     // the upstream died: report only these
//     completions.clear();                                             // the upstream was restarted
//
// A request that the same process answered shortly before its death is unlikely to have crashed it. Without this
// filter, several copies of a crashing request that run at once kill two upstreams before a completion can clear the
// popular requests that were in flight with them, and those are quarantined too. The table is bounded: the least
// recently answered fingerprint is evicted first, and is then reported after a death as any other. Each operation costs
// O(log n) per fingerprint.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <list>
#include <map>
#include <span>
#include <vector>

namespace dragonflylane {

struct RecentCompletionsOptions {
    /// Older responses are ignored, since the state of the upstream may have changed since then.
    Duration window { std::chrono::minutes(1) };
    /// At about 120 bytes each, 1,024 fingerprints take 120 KB.
    size_t maxFingerprints { 1024 };

    /// False disables the filter for a test: every request in flight is reported.
    bool enabled { true };
};

class RecentCompletions {
public:
    explicit RecentCompletions(RecentCompletionsOptions = {});

    void record(Fingerprint, TimePoint now);
    void clear();

    /// Returns the given fingerprints except those that were answered within the window.
    std::vector<Fingerprint> excludeCompleted(std::span<const Fingerprint>, TimePoint now) const;
    size_t size() const { return m_entries.size(); }

private:
    struct Completion {
        Fingerprint fingerprint;
        TimePoint at;
    };

    bool contains(Fingerprint, TimePoint now) const;

    RecentCompletionsOptions m_options;
    /// Ordered by the time of the last response.
    std::list<Completion> m_order;
    std::map<Fingerprint, std::list<Completion>::iterator> m_entries;
};

} // namespace dragonflylane
