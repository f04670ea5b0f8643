#include "dragonflylane/GuardedRun.h"

#include <boost/asio/post.hpp>
#include <gtest/gtest.h>
#include <stdexcept>
#include <string>
#include <vector>

namespace dragonflylane {

// An exception in one handler must not terminate the process, which would break all other calls in progress.
TEST(GuardedRunTest, LoopContinuesAfterException)
{
    boost::asio::io_context context;
    std::vector<std::string> caught;
    int handled = 0;
    for (int i = 0; i < 3; ++i) {
        boost::asio::post(context, [] { throw std::out_of_range("no such service"); });
        boost::asio::post(context, [&] { ++handled; });
    }
    runGuarded(context, { .caught = [&](const std::exception& exception) { caught.emplace_back(exception.what()); } });
    EXPECT_EQ(handled, 3);
    EXPECT_EQ(caught, std::vector<std::string>(3, "no such service"));
}

// A process in which every handler throws must terminate instead of running on indefinitely.
TEST(GuardedRunTest, RethrowsAfterTooManyExceptions)
{
    boost::asio::io_context context;
    unsigned caught = 0;
    for (int i = 0; i < 100; ++i)
        boost::asio::post(context, [] { throw std::logic_error("damaged"); });
    GuardedRunOptions options { .maxExceptions = 5, .caught = [&](const std::exception&) { ++caught; } };
    EXPECT_THROW(runGuarded(context, options), std::logic_error);
    EXPECT_EQ(caught, 5U);
}

// Stopping the loop must end the run even if work is left.
TEST(GuardedRunTest, ReturnsWhenStopped)
{
    boost::asio::io_context context;
    auto work = boost::asio::make_work_guard(context);
    boost::asio::post(context, [&] { context.stop(); });
    runGuarded(context, { .caught = [](const std::exception&) {} });
    EXPECT_TRUE(context.stopped());
}

} // namespace dragonflylane
