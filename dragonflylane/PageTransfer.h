#pragma once

// The pages of member records that a joining daemon has yet to fetch, and when each is requested next. The records are
// divided into ranges of host hashes that are fetched side by side. Contains no clock and sends nothing.
//
//     transfer.start(now);
//     timeouts += transfer.expireRequests(backoff, now);
//     while (PageTransfer::Range* range = transfer.nextDue(now)) {
//         uint32_t number = ...;                          // send the request
//         transfer.setRequested(*range, number, now);
//     }
//     if (transfer.finish(page, backoff, now) && transfer.isDone()) ...

#include "dragonflylane/BootClock.h"
#include "dragonflylane/GossipMessages.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace dragonflylane {

struct PageTransferOptions {
    size_t maxInFlight { 1 };
    /// A request that has had no response for this long has failed.
    Duration timeout { 0 };
};

class PageTransfer {
public:
    /// A range of host hashes whose records must still be fetched.
    struct Range {
        uint64_t first { 0 };
        uint64_t last { 0 };
        /// Number of the request; zero while none is in flight.
        uint32_t number { 0 };
        unsigned attempts { 0 };
        /// When the request times out, or when the next one may be sent.
        TimePoint due;
    };

    /// Delay before the next request of a range that has failed this often.
    using Backoff = std::function<Duration(unsigned attempts)>;

    explicit PageTransfer(PageTransferOptions options)
        : m_options(options)
    {
    }

    /// Begins to fetch all records.
    void start(TimePoint now);
    void cancel() { m_ranges.clear(); }
    /// True if no range is left.
    bool isDone() const { return m_ranges.empty(); }

    /// Ends the requests that have timed out. Returns their number.
    size_t expireRequests(const Backoff&, TimePoint now);
    /// Forgets the requests in flight, so that all ranges are requested again at once.
    void restartRequests(TimePoint now);
    /// The next range to request; null if none is due or enough requests are in flight. Valid until the next call.
    Range* nextDue(TimePoint now);
    void setRequested(Range&, uint32_t number, TimePoint now);
    /// Applies the end of a page. Returns false if it answers no request in flight.
    bool finish(const GossipPageEnd&, const Backoff&, TimePoint now);
    /// When the next request is due or times out; TimePoint::max() if there is none.
    TimePoint nextWakeup() const;

private:
    size_t inFlight() const;
    static void fail(Range&, const Backoff&, TimePoint now);

    PageTransferOptions m_options;
    std::vector<Range> m_ranges;
};

} // namespace dragonflylane
