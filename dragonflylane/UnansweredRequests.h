#pragma once

// Requests that an upstream has begun and that ended without a sign of life from it. If the upstream turns out to be
// dead, they may have crashed it.
//
//     unanswered.connectionLost(fingerprint, now);     // closed or refused as by a crash
//     unanswered.gaveUp(fingerprint, sentAt, now);     // timeout or cancellation: no connection was lost
//     unanswered.upstreamIsAlive(now);                 // it has answered or announced itself
//     auto fingerprints = unanswered.takeSuspects(now);
//
// A lost connection stays a sign of a crash when another request is answered, since that answer may have been on its
// way. A request that was given up is a sign only as long as nothing at all comes from the upstream. Bounded: the
// oldest entries are dropped.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <deque>
#include <vector>

namespace dragonflylane {

struct UnansweredRequestsOptions {
    /// An entry expires after this time.
    Duration window { std::chrono::seconds(3) };
    size_t maxEntries { 256 };
};

class UnansweredRequests {
public:
    explicit UnansweredRequests(UnansweredRequestsOptions options = {})
        : m_options(options)
    {
    }

    void connectionLost(Fingerprint, TimePoint now);
    void gaveUp(Fingerprint, TimePoint sentAt, TimePoint now);
    /// `at`: a time at which the upstream was alive for certain.
    void upstreamIsAlive(TimePoint at);
    /// Removes all entries and returns those that have not expired.
    std::vector<Fingerprint> takeSuspects(TimePoint now);

private:
    struct Entry {
        Fingerprint fingerprint;
        TimePoint sentAt;
        TimePoint endedAt;
        bool isConnectionLost { false };
    };

    void add(Entry);

    UnansweredRequestsOptions m_options;
    std::deque<Entry> m_entries;
};

} // namespace dragonflylane
