#pragma once

// Counts events of the last `window`, in constant memory. An event may be counted for up to one bucket (half a percent
// of the window) longer than the window, never shorter, so that a limit on the count also limits every window exactly.

#include "dragonflylane/BootClock.h"

#include <array>
#include <cstdint>

namespace dragonflylane {

class WindowCount {
public:
    explicit WindowCount(Duration window)
        : m_bucketLength(window / bucketCount)
    {
    }

    void add(TimePoint now)
    {
        advance(now);
        ++slot(m_current);
        ++m_total;
    }

    uint32_t total(TimePoint now)
    {
        advance(now);
        return m_total;
    }

    /// Events of the last 1/`divisor` of the window.
    uint32_t recent(TimePoint now, int64_t divisor)
    {
        advance(now);
        uint32_t sum = 0;
        for (int64_t age = 0; age <= bucketCount / divisor; ++age)
            sum += slot(m_current - age);
        return sum;
    }

    /// Time until the oldest event is no longer counted; zero if there is none.
    Duration untilFirstExpires(TimePoint now)
    {
        advance(now);
        if (m_total == 0)
            return Duration::zero();
        int64_t oldest = m_current - bucketCount;
        while (slot(oldest) == 0)
            ++oldest;
        return m_bucketLength * (oldest + bucketCount + 1) - now.time_since_epoch();
    }

private:
    static constexpr int64_t bucketCount = 200;
    // The bucket in progress is kept in addition to those of the window.
    static constexpr int64_t slotCount = bucketCount + 1;

    uint32_t& slot(int64_t bucket) { return m_slots[static_cast<size_t>((bucket + slotCount) % slotCount)]; }

    void advance(TimePoint now)
    {
        int64_t bucket = now.time_since_epoch() / m_bucketLength;
        if (bucket - m_current > slotCount) {
            m_slots.fill(0);
            m_total = 0;
            m_current = bucket;
        }
        while (m_current < bucket) {
            ++m_current;
            m_total -= slot(m_current);
            slot(m_current) = 0;
        }
    }

    Duration m_bucketLength;
    std::array<uint32_t, slotCount> m_slots {};
    int64_t m_current { 0 };
    uint32_t m_total { 0 };
};

} // namespace dragonflylane
