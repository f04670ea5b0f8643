#pragma once

#include "dragonflylane/BootClock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace dragonflylane {

/// Discrete event simulation: runs scheduled actions in order of their times.
class Timeline {
public:
    explicit Timeline(TimePoint start)
        : m_now(start)
    {
    }

    void at(TimePoint when, std::function<void()> action) { m_events.push({ when, m_next++, std::move(action) }); }
    TimePoint now() const { return m_now; }

    /// Runs all actions that are due before `end`, including those that are scheduled meanwhile.
    void run(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().when < end) {
            Event event = m_events.top();
            m_events.pop();
            m_now = event.when;
            event.action();
        }
    }

private:
    struct Event {
        TimePoint when;
        uint64_t number;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::pair(when, number) > std::pair(other.when, other.number);
        }
    };

    std::priority_queue<Event> m_events;
    uint64_t m_next { 0 };
    TimePoint m_now;
};

} // namespace dragonflylane
