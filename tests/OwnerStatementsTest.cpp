#include "dragonflylane/OwnerStatements.h"

#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/UpstreamStatement.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    const TimePoint start { std::chrono::seconds(1000) };
    const UpstreamId upstream { "u-1" };
    const ProcessId process { 1 };

    ProcessStatement known(double perSecond, ProcessId of = process)
    {
        return { .process = of, .rateLimit = RequestRate { perSecond } };
    }

    UpstreamStatement parse(const std::string& rate, const std::string& leaving = "")
    {
        CallHeaderNames names;
        HttpResponse response { .headers = { { names.upstreamRateLimit, rate }, { names.upstreamLeaving, leaving } } };
        return parseUpstreamStatement(response, names);
    }

} // namespace

// Guards against a limit above the one that some entry daemon has passed on, and against knowledge of entry daemons
// that overrides what the upstream states itself.
TEST(OwnerStatementsTest, LowestKnownLimitHoldsUntilTheFirstResponse)
{
    OwnerStatements statements;
    EXPECT_FALSE(statements.adopt(known(5), start).isRateLimitChanged);
    statements.startProcess(upstream, process, start);
    EXPECT_TRUE(statements.adopt(known(5), start).isRateLimitChanged);
    EXPECT_FALSE(statements.adopt(known(8), start).isRateLimitChanged);
    EXPECT_TRUE(statements.adopt(known(2), start).isRateLimitChanged);
    EXPECT_EQ(statements.rateLimit(), RequestRate { 2 });
    EXPECT_TRUE(statements.observe({ .rateLimit = RequestRate { 9 } }, start).isRateLimitChanged);
    EXPECT_FALSE(statements.adopt(known(2), start).isRateLimitChanged);
    EXPECT_EQ(statements.rateLimit(), RequestRate { 9 });
    EXPECT_TRUE(statements.observe({}, start).isRateLimitChanged);
    EXPECT_FALSE(statements.current());
}

// Guards against a drain that is taken back while the process runs, and against one that the next process inherits from
// the knowledge of an entry daemon.
TEST(OwnerStatementsTest, DepartureHoldsForTheWholeProcessAndNoOther)
{
    OwnerStatements statements;
    statements.startProcess(upstream, process, start);
    EXPECT_TRUE(statements.observe({ .isLeaving = true }, start).hasBegunToLeave);
    EXPECT_FALSE(statements.observe({ .isLeaving = true }, start).hasBegunToLeave);
    statements.observe({}, start);
    statements.startProcess(upstream, process, start);
    EXPECT_TRUE(statements.isLeaving());
    ProcessStatement told = *statements.current();
    statements.startProcess(upstream, ProcessId(2), start);
    EXPECT_FALSE(statements.isLeaving());
    EXPECT_FALSE(statements.adopt(told, start).hasBegunToLeave);
    EXPECT_FALSE(statements.isLeaving());
}

// Guards against values that are no rate: they neither limit the upstream nor lift the limit that it stated before.
TEST(OwnerStatementsTest, InvalidRatesAreIgnored)
{
    for (const char* text : { "nan", "inf", "-1", "1e999", "4x", "x", "0x10", " 4" })
        EXPECT_TRUE(parse(text).hasInvalidRateLimit) << text;
    EXPECT_FALSE(parse("").hasInvalidRateLimit);
    EXPECT_EQ(parse("0").rateLimit, RequestRate { 0 });
    EXPECT_EQ(parse("12.5").rateLimit, RequestRate { 12.5 });
    EXPECT_TRUE(parse("", "1").isLeaving);
    EXPECT_FALSE(parse("", "0").isLeaving);
    OwnerStatements statements;
    statements.startProcess(upstream, process, start);
    statements.observe(parse("3"), start);
    EXPECT_FALSE(statements.observe(parse("nan"), start).isRateLimitChanged);
    EXPECT_EQ(statements.rateLimit(), RequestRate { 3 });
}

} // namespace dragonflylane
