#include "bench/LoadGenerator.h"

#include "bench/DaemonFleet.h"
#include "bench/ExperimentSettings.h"
#include "bench/ExperimentUpstream.h"
#include "bench/Report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <limits>
#include <sstream>
#include <thread>

namespace dragonflylane {

namespace {

    using namespace std::chrono_literals;

    ExperimentUpstreamOptions upstreamOptions()
    {
        return { .id = "catalogue-0", .listen = freeEndpoints(1).front(), .meanServiceTime = 1ms };
    }

    std::vector<std::string> linesOf(const std::string& text)
    {
        std::istringstream stream(text);
        std::vector<std::string> lines;
        for (std::string line; std::getline(stream, line);)
            lines.push_back(line);
        return lines;
    }

} // namespace

// The schedule must be identical in all phases of a run; otherwise a figure could not be compared with its baseline.
TEST(LoadGeneratorTest, SendTimesDependOnSeedOnly)
{
    std::vector<Duration> times = intendedSendTimes(1000, 10s, 7);
    EXPECT_EQ(times, intendedSendTimes(1000, 10s, 7));
    EXPECT_NE(times, intendedSendTimes(1000, 10s, 8));
}

// Send times must form a Poisson process of the given rate. Evenly spaced sends would hide queueing.
TEST(LoadGeneratorTest, SendTimesArePoisson)
{
    std::vector<Duration> times = intendedSendTimes(1000, 100s, 7);
    EXPECT_TRUE(std::is_sorted(times.begin(), times.end()));
    EXPECT_LT(times.back(), 100s);
    // The count has a standard deviation of 316.
    EXPECT_NEAR(static_cast<double>(times.size()), 100'000, 5 * 316);
    // A share of 1/e of exponentially distributed gaps is longer than the mean.
    size_t longGaps = 0;
    for (size_t i = 1; i < times.size(); ++i)
        longGaps += times[i] - times[i - 1] > 1ms ? 1 : 0;
    EXPECT_NEAR(static_cast<double>(longGaps) / static_cast<double>(times.size()), 0.3679, 0.01);
}

// Guards against coordinated omission: with one connection and a stalled target, the latency of calls that wait for the
// connection must include the stall.
TEST(LoadGeneratorTest, LatencyCountsFromIntendedTimeWhenTargetStalls)
{
    ExperimentUpstream upstream(upstreamOptions());
    upstream.start();
    upstream.setStalled(true);
    constexpr Duration loadTime = 200ms;
    LoadResult result;
    std::thread load([&] {
        result = runLoad({ .targets = { upstream.endpoint() },
            .callsPerSecond = 500,
            .duration = loadTime,
            .seed = 7,
            .maxConnections = 1,
            .deadline = 30s });
    });
    while (upstream.received() == 0)
        std::this_thread::sleep_for(1ms);
    // The first call has been sent, so the intended send times of all calls are less than the load time from now.
    constexpr Duration stallTime = 600ms;
    std::this_thread::sleep_for(stallTime);
    upstream.setStalled(false);
    load.join();
    std::vector<Duration> times = intendedSendTimes(500, loadTime, 7);
    EXPECT_EQ(result.lookups.good, times.size());
    ASSERT_EQ(result.lookups.latencies.size(), times.size());
    // Without the time spent waiting for the connection, all calls but the first would take a few milliseconds.
    for (Duration latency : result.lookups.latencies)
        EXPECT_GE(latency, stallTime - loadTime);
}

// Every response is counted once by status and as good if it matches its request.
TEST(LoadGeneratorTest, CountsGoodResponsesByStatus)
{
    ExperimentUpstream upstream(upstreamOptions());
    upstream.start();
    LoadResult result = runLoad({ .targets = { upstream.endpoint() },
        .callsPerSecond = 500,
        .duration = 200ms,
        .seed = 9,
        .orderShare = 0.5,
        .deadline = 30s });
    EXPECT_EQ(result.sent(), intendedSendTimes(500, 200ms, 9).size());
    EXPECT_EQ(result.good(), result.sent());
    EXPECT_GT(result.lookups.good, 0U);
    EXPECT_GT(result.orders.good, 0U);
    EXPECT_EQ(result.lookups.byStatus.at(200), result.lookups.sent);
    EXPECT_EQ(upstream.received(), result.sent());
}

// Calls without a response must be counted as failed, with their latency.
TEST(LoadGeneratorTest, CountsFailures)
{
    LoadResult result
        = runLoad({ .targets = freeEndpoints(1), .callsPerSecond = 200, .duration = 100ms, .seed = 3, .deadline = 1s });
    EXPECT_GT(result.sent(), 0U);
    EXPECT_EQ(result.lookups.failed, result.sent());
    EXPECT_EQ(result.lookups.latencies.size(), result.sent());
    EXPECT_EQ(result.good(), 0U);
}

// Guards against off-by-one errors in the rank of a quantile.
TEST(LoadGeneratorTest, QuantilesAreExact)
{
    LoadCount count;
    for (int i = 100; i >= 1; --i)
        count.latencies.push_back(std::chrono::milliseconds(i));
    EXPECT_EQ(count.quantile(0.5), 50ms);
    EXPECT_EQ(count.quantile(0.99), 99ms);
    EXPECT_EQ(count.quantile(1), 100ms);
    EXPECT_EQ(count.quantile(0), 1ms);
    EXPECT_EQ(LoadCount().quantile(0.5), Duration::zero());
}

// An undefined value (NaN) must not count as a met goal.
TEST(ReportTest, GoalsAreCheckedInTheirDirection)
{
    EXPECT_TRUE((Figure { "a", 1, "s", {}, FigureGoal { 1 } }).isMet());
    EXPECT_FALSE((Figure { "a", 1.1, "s", {}, FigureGoal { 1 } }).isMet());
    EXPECT_TRUE((Figure { "a", 0.9, "share", {}, FigureGoal { 0.9, true } }).isMet());
    EXPECT_FALSE((Figure { "a", 0.8, "share", {}, FigureGoal { 0.9, true } }).isMet());
    EXPECT_FALSE((Figure { "a", std::numeric_limits<double>::quiet_NaN(), "s", {}, FigureGoal { 1 } }).isMet());
    EXPECT_FALSE((Figure { "a", std::numeric_limits<double>::infinity(), "s", {}, FigureGoal { 1 } }).isMet());
}

// Each figure must be one line of valid JSON, including values that JSON cannot represent, such as infinity.
TEST(ReportTest, RendersOneJsonLinePerFigure)
{
    Report report("overload", 42);
    report.setLoadAverage(1.5);
    report.add({ "goodput", 90, "calls/s", 10.0, FigureGoal { 81, true } });
    report.add({ "last daemon", std::numeric_limits<double>::infinity(), "s", {}, FigureGoal { 1 } });
    std::vector<std::string> lines = linesOf(report.jsonLines());
    ASSERT_EQ(lines.size(), 2U);
    boost::json::object first = boost::json::parse(lines[0]).as_object();
    EXPECT_EQ(first.at("experiment").as_string(), "overload");
    EXPECT_EQ(first.at("seed").to_number<uint64_t>(), 42U);
    EXPECT_EQ(first.at("value").to_number<double>(), 90);
    EXPECT_EQ(first.at("baseline").to_number<double>(), 10);
    EXPECT_EQ(first.at("goalKind").as_string(), "at-least");
    EXPECT_TRUE(first.at("met").as_bool());
    boost::json::object second = boost::json::parse(lines[1]).as_object();
    EXPECT_TRUE(second.at("value").is_null());
    EXPECT_FALSE(second.contains("baseline"));
    EXPECT_FALSE(second.at("met").as_bool());
    EXPECT_EQ(linesOf(report.table()).size(), 4U);
    EXPECT_NE(report.table().find("MISSED"), std::string::npos);
}

// A mistyped key must be an error; otherwise the experiment would run with the default value.
TEST(ExperimentSettingsTest, RejectsUnknownKeysAndValues)
{
    ExperimentSettings settings;
    EXPECT_EQ(parseExperiment("[experiment]\nkind = overload\nupstreams = 4\n", "x.ini", settings), "");
    EXPECT_EQ(settings.count("upstreams"), 4U);
    EXPECT_EQ(settings.number("deadline-ms"), 500);
    for (const char* text : { "", "[experiment]\nkind = other\n", "[experiment]\nkind = overload\nupstream = 4\n",
             "[experiment]\nkind = overload\nupstreams = four\n", "[experiment]\nkind = overload\nupstreams = 4x\n",
             "[experiment]\nkind = overload\nupstreams = -1\n", "[experiment]\nkind = overload\nupstreams = nan\n",
             "[experiment]\nkind = overload\nkind = overload\n", "[other]\nkind = overload\n" })
        EXPECT_TRUE(parseExperiment(text, "x.ini", settings).starts_with("x.ini: ")) << text;
}

} // namespace dragonflylane
