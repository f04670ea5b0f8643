#pragma once

// The clock for all timeouts, leases and deadlines. It is monotonic and includes suspended time, so a lease or a
// deadline also expires while the machine or the process is stopped.

#include <chrono>

namespace dragonflylane {

/// Clock over CLOCK_BOOTTIME.
struct BootClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

} // namespace dragonflylane
