#include "dragonflylane/LogSink.h"
#include "dragonflylane/LogLimiter.h"

#include <chrono>
#include <gtest/gtest.h>
#include <memory>
#include <spdlog/logger.h>
#include <string>
#include <unistd.h>

namespace dragonflylane {

// Guards against a daemon that stands still because nobody reads its log: lines are dropped at once while the pipe is
// full, and counted in a line when there is room again.
TEST(LogSinkTest, FullPipeDropsLinesInsteadOfBlocking)
{
    int ends[2];
    ASSERT_EQ(pipe(ends), 0);
    auto sink = std::make_shared<LogSink>(ends[1]);
    spdlog::logger logger("test", sink);
    const std::string text(200, 'x');
    constexpr int lines = 20'000;
    auto began = std::chrono::steady_clock::now();
    for (int i = 0; i < lines; ++i)
        logger.info(text);
    // A blocked write would never end.
    EXPECT_LT(std::chrono::steady_clock::now() - began, std::chrono::seconds(20));
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

// Guards against a log that grows with the load.
TEST(LogLimiterTest, AdmitsItsRateAndCountsTheRest)
{
    LogLimiter limiter({ .perSecond = 10, .burst = 5 });
    TimePoint now { std::chrono::seconds(1000) };
    uint64_t admitted = 0;
    uint64_t leftOut = 0;
    for (int i = 0; i < 10'000; ++i) {
        now += std::chrono::milliseconds(1);
        if (auto line = limiter.admit(now)) {
            ++admitted;
            leftOut += line->leftOut;
        }
    }
    EXPECT_GE(admitted, 100U);
    EXPECT_LE(admitted, 106U);
    EXPECT_GE(admitted + leftOut, 9'800U);
}

} // namespace dragonflylane
