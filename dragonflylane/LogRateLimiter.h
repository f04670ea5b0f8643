#pragma once

// Rate limiter for log lines of one kind, which counts the lines it suppresses.
//
//     static LogRateLimiter limiter({ .perSecond = 20, .burst = 40 });
//     if (auto admitted = limiter.admit(now))
//         Event("call_refused").with(...).with("left_out", admitted->suppressed);

#include "dragonflylane/BootClock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace dragonflylane {

struct LogRateLimiterOptions {
    double perSecond { 20 };
    double burst { 40 };
};

/// Token bucket for one kind of line.
class LogRateLimiter {
public:
    struct Admitted {
        /// Lines of this kind that were suppressed since the last admitted one.
        uint64_t suppressed { 0 };
    };

    explicit LogRateLimiter(LogRateLimiterOptions options = {})
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
            ++m_suppressed;
            return std::nullopt;
        }
        m_tokens -= 1;
        Admitted admitted { m_suppressed };
        m_suppressed = 0;
        return admitted;
    }

private:
    LogRateLimiterOptions m_options;
    double m_tokens;
    TimePoint m_at;
    uint64_t m_suppressed { 0 };
};

} // namespace dragonflylane
