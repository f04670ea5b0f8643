#include "dragonflylane/LogSink.h"
#include "dragonflylane/LogRateLimiter.h"

#include <chrono>
#include <gtest/gtest.h>
#include <memory>
#include <spdlog/logger.h>
#include <string>
#include <unistd.h>

namespace dragonflylane {

// A daemon must not block on a full log pipe that nobody reads. Lines are dropped while the pipe is full, and a line
// with their count is written when there is space again.
TEST(LogSinkTest, FullPipeDropsLinesInsteadOfBlocking)
{
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    auto sink = std::make_shared<LogSink>(ends[1]);
    spdlog::logger logger("test", sink);
    const std::string text(200, 'x');
    constexpr int lines = 20'000;
    auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < lines; ++i)
        logger.info(text);
    // A blocking write would never return.
    EXPECT_LT(std::chrono::steady_clock::now() - start, std::chrono::seconds(20));
    EXPECT_GT(sink->dropped(), 0U);
    EXPECT_LT(sink->dropped(), static_cast<uint64_t>(lines));
    std::string buffer(1 << 20, '\0');
    EXPECT_GT(read(ends[0], buffer.data(), buffer.size()), 0);
    uint64_t dropped = sink->dropped();
    logger.info("after");
    ssize_t bytes = read(ends[0], buffer.data(), buffer.size());
    ASSERT_GT(bytes, 0);
    std::string rest(buffer, 0, static_cast<size_t>(bytes));
    EXPECT_NE(rest.find("event=log_lines_dropped count=" + std::to_string(dropped)), std::string::npos) << rest;
    EXPECT_NE(rest.find("after"), std::string::npos);
    close(ends[0]);
    close(ends[1]);
}

// The log volume must not grow with the load: lines beyond the configured rate are suppressed and counted.
TEST(LogRateLimiterTest, LimitsRateAndCountsSuppressedLines)
{
    LogRateLimiter limiter({ .perSecond = 10, .burst = 5 });
    TimePoint now { std::chrono::seconds(1000) };
    uint64_t admitted = 0;
    uint64_t suppressed = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += std::chrono::milliseconds(1);
        if (auto line = limiter.admit(now)) {
            ++admitted;
            suppressed += line->suppressed;
        }
    }
    EXPECT_GE(admitted, 100U);
    EXPECT_LE(admitted, 106U);
    EXPECT_GE(admitted + suppressed, 9'800U);
}

} // namespace dragonflylane
