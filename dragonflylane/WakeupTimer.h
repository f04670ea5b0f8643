#pragma once

// Timer for the next wakeup time that a module of decision logic requests.

#include "dragonflylane/BootClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace dragonflylane {

/// Timer that is rearmed after each input of a module. Owned by one task.
class WakeupTimer {
public:
    WakeupTimer(boost::asio::io_context& context, std::function<void()> callback)
        : m_timer(context)
        , m_callback(std::move(callback))
    {
    }

    /// Replaces the pending wakeup. Does nothing if the timer is already armed for this time.
    void arm(TimePoint when)
    {
        if (m_isArmed && when == m_when)
            return;
        m_isArmed = true;
        m_when = when;
        Duration delay = std::max(when - BootClock::now(), Duration::zero());
        m_timer.expires_after(std::min<Duration>(delay, maxDelay));
        m_timer.async_wait([this](boost::system::error_code error) {
            if (error)
                return;
            m_isArmed = false;
            m_callback();
        });
    }

    void cancel()
    {
        m_isArmed = false;
        m_timer.cancel();
    }

private:
    // The steady clock of the timer does not advance while the system is suspended, whereas BootClock does. Shorter
    // delays bound the resulting delay of a wakeup; a callback may therefore run before its time.
    static constexpr std::chrono::seconds maxDelay { 10 };

    boost::asio::steady_timer m_timer;
    std::function<void()> m_callback;
    TimePoint m_when;
    bool m_isArmed { false };
};

} // namespace dragonflylane
