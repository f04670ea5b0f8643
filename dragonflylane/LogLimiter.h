#pragma once

// Rate limiter for log lines of one kind, which counts the lines it suppresses.
//
//     static LogLimiter limiter({ .perSecond = 20, .burst = 40 });
//     if (auto admitted = limiter.admit(now))
//         Event("call_refused").with(...).with("left_out", admitted->leftOut);

#include "dragonflylane/BootClock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace dragonflylane {

struct LogLimiterOptions {
    double perSecond { 20 };
    double burst { 40 };
};

/// Token bucket for one kind of line.
class LogLimiter {
public:
    struct Admitted {
        /// Lines of this kind that were suppressed since the last admitted one.
        uint64_t leftOut { 0 };
    };

    explicit LogLimiter(LogLimiterOptions options = {})
        : m_options(options)
        , m_tokens(options.burst)
    {
    }

    /// Returns nullopt if the line must be suppressed.
    std::optional<Admitted> admit(TimePoint now)
    {
        std::chrono::duration<double> elapsed = std::max(Duration::zero(), now - m_at);
        m_tokens = std::min(m_options.burst, m_tokens + elapsed.count() * m_options.perSecond);
        m_at = now;
        if (m_tokens < 1) {
            ++m_leftOut;
            return std::nullopt;
        }
        m_tokens -= 1;
        Admitted admitted { m_leftOut };
        m_leftOut = 0;
        return admitted;
    }

private:
    LogLimiterOptions m_options;
    double m_tokens;
    TimePoint m_at;
    uint64_t m_leftOut { 0 };
};

} // namespace dragonflylane
