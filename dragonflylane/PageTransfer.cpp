#include "dragonflylane/PageTransfer.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    constexpr uint64_t rangeCount = 8;

} // namespace

void PageTransfer::start(TimePoint now)
{
    constexpr uint64_t rangeSize = UINT64_MAX / rangeCount + 1;
    m_ranges.clear();
    for (uint64_t i = 0; i < rangeCount; ++i)
        m_ranges.push_back({ .first = i * rangeSize, .last = i * rangeSize + (rangeSize - 1), .due = now });
}

size_t PageTransfer::expireRequests(const Backoff& backoff, TimePoint now)
{
    size_t expired = 0;
    for (Range& range : m_ranges) {
        if (range.number == 0 || range.due > now)
            continue;
        fail(range, backoff, now);
        ++expired;
    }
    return expired;
}

void PageTransfer::restartRequests(TimePoint now)
{
    for (Range& range : m_ranges) {
        range.number = 0;
        range.due = now;
    }
}

PageTransfer::Range* PageTransfer::nextDue(TimePoint now)
{
    if (inFlight() >= m_options.maxInFlight)
        return nullptr;
    auto due = std::find_if(
        m_ranges.begin(), m_ranges.end(), [&](const Range& range) { return range.number == 0 && range.due <= now; });
    return due == m_ranges.end() ? nullptr : &*due;
}

void PageTransfer::setRequested(Range& range, uint32_t number, TimePoint now)
{
    range.number = number;
    range.due = now + m_options.timeout;
}

bool PageTransfer::finish(const GossipPageEnd& page, const Backoff& backoff, TimePoint now)
{
    auto range = std::find_if(m_ranges.begin(), m_ranges.end(),
        [&](const Range& item) { return item.number != 0 && item.number == page.number; });
    if (range == m_ranges.end())
        return false;
    // A page that makes no progress was incomplete.
    if (page.isLast)
        m_ranges.erase(range);
    else if (page.next <= range->first)
        fail(*range, backoff, now);
    else
        *range = { .first = page.next, .last = range->last, .due = now };
    return true;
}

TimePoint PageTransfer::nextWakeup() const
{
    TimePoint next = TimePoint::max();
    bool mayRequest = inFlight() < m_options.maxInFlight;
    for (const Range& range : m_ranges) {
        if (range.number != 0 || mayRequest)
            next = std::min(next, range.due);
    }
    return next;
}

size_t PageTransfer::inFlight() const
{
    return static_cast<size_t>(
        std::count_if(m_ranges.begin(), m_ranges.end(), [](const Range& range) { return range.number != 0; }));
}

void PageTransfer::fail(Range& range, const Backoff& backoff, TimePoint now)
{
    range.number = 0;
    range.due = now + backoff(range.attempts++);
}

} // namespace dragonflylane
