#pragma once

// The users' bound on the requests to an upstream that states a rate limit.

#include "dragonflylane/BootClock.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace dragonflylane {

// In any four seconds, one and a half times the stated limit and five requests more.
inline constexpr std::chrono::seconds limitWindow { 4 };
inline size_t allowedRequests(double perSecond)
{
    constexpr double tolerance = 1.5;
    constexpr size_t slack = 5;
    return static_cast<size_t>(tolerance * perSecond * limitWindow.count()) + slack;
}

/// The most requests within a window of this length, among the windows that begin at or after `from`. The times are in
/// ascending order.
inline size_t mostWithin(const std::vector<TimePoint>& times, Duration window, TimePoint from = {})
{
    size_t most = 0;
    for (auto first = std::lower_bound(times.begin(), times.end(), from); first != times.end(); ++first) {
        auto last = std::lower_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
}

} // namespace dragonflylane
