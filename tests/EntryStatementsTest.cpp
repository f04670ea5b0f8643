#include "dragonflylane/EntryStatements.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    const TimePoint start { std::chrono::seconds(1000) };
    const ProcessStatement limited { .process = ProcessId(1), .rateLimit = RequestRate { 4 } };

    UpstreamId upstream(size_t number)
    {
        return UpstreamId("u-" + std::to_string(number));
    }

} // namespace

// Guards against a statement that is kept after the upstream no longer makes it.
TEST(EntryStatementsTest, LatestAnswerReplacesOrErasesTheStatement)
{
    EntryStatements known;
    known.record(upstream(1), limited, start);
    ASSERT_NE(known.find(upstream(1), start), nullptr);
    EXPECT_EQ(*known.find(upstream(1), start), limited);
    EXPECT_EQ(known.find(upstream(2), start), nullptr);
    known.record(upstream(1), ProcessStatement { .process = ProcessId(2), .isLeaving = true }, start);
    EXPECT_TRUE(known.find(upstream(1), start)->isLeaving);
    known.record(upstream(1), std::nullopt, start);
    EXPECT_EQ(known.find(upstream(1), start), nullptr);
}

// Guards against memory that grows with the number of upstreams that ever made a statement.
TEST(EntryStatementsTest, IsBoundedInNumberAndTime)
{
    EntryStatements known({ .maxUpstreams = 3, .maxAge = std::chrono::seconds(60) });
    for (size_t i = 0; i < 5; ++i)
        known.record(upstream(i), limited, start + std::chrono::seconds(i));
    EXPECT_EQ(known.size(), 3U);
    EXPECT_EQ(known.find(upstream(1), start + std::chrono::seconds(4)), nullptr);
    EXPECT_NE(known.find(upstream(2), start + std::chrono::seconds(4)), nullptr);
    EXPECT_EQ(known.find(upstream(2), start + std::chrono::seconds(63)), nullptr);
}

} // namespace dragonflylane
