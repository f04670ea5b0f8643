#pragma once

// How long an upstream that is draining still gets calls that were queued before the drain.
//
//     DrainWindow window(length);
//     window.begin(now);
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

    /// Has no effect while draining: the upstream counts from the first acknowledgement.
    void begin(TimePoint now)
    {
        if (!m_end)
            m_end = now + m_length;
    }
    void cancel() { m_end.reset(); }

    bool isDraining() const { return m_end.has_value(); }
    bool maySend(TimePoint at) const { return !m_end || at < *m_end; }
    /// Empty while not draining.
    const std::optional<TimePoint>& end() const { return m_end; }

private:
    Duration m_length;
    std::optional<TimePoint> m_end;
};

} // namespace dragonflylane
