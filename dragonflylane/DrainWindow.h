#pragma once

// How long an upstream that is draining still gets calls that were queued before the drain.
//
//     DrainWindow window(length);
//     window.setDraining(true, now);
//     if (!window.maySend(now)) ...    // refuse the call as not run: the upstream may stop before the call ends

#include "dragonflylane/BootClock.h"

#include <optional>

namespace dragonflylane {

class DrainWindow {
public:
    explicit DrainWindow(Duration length)
        : m_length(length)
    {
    }

    /// Begins or ends the drain. A window that has begun stays as it is: the upstream counts from the first
    /// acknowledgement.
    void setDraining(bool isDraining, TimePoint now)
    {
        if (!isDraining)
            m_end.reset();
        else if (!m_end)
            m_end = now + m_length;
    }

    bool isDraining() const { return m_end.has_value(); }
    bool maySend(TimePoint at) const { return !m_end || at < *m_end; }
    /// Empty while not draining.
    const std::optional<TimePoint>& end() const { return m_end; }

private:
    Duration m_length;
    std::optional<TimePoint> m_end;
};

} // namespace dragonflylane
