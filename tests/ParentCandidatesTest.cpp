#include "dragonflylane/ParentCandidates.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::seconds;

    const TimePoint start { seconds(100) };
    const HostId self { "self" };

    ParentCandidates makeCandidates()
    {
        ParentCandidates candidates;
        candidates.set({ { HostId("a") }, { HostId("b") }, { self }, { HostId("c") } }, start);
        return candidates;
    }

} // namespace

// Guards against a daemon that tries one candidate again and again, or itself, or the parent that it has.
TEST(ParentCandidatesTest, SearchContinuesAfterTheLastOneTried)
{
    ParentCandidates candidates = makeCandidates();
    EXPECT_EQ(candidates.next(self, std::nullopt, start), 0U);
    candidates.setTried(0);
    EXPECT_EQ(candidates.next(self, std::nullopt, start), 1U);
    EXPECT_EQ(candidates.next(self, HostId("b"), start), 3U);
    candidates.setTried(3);
    EXPECT_EQ(candidates.next(self, std::nullopt, start), 0U);
    candidates.setTried(0);
    candidates.startOver();
    EXPECT_EQ(candidates.next(self, std::nullopt, start), 0U);
}

// Guards against attempts to reach a host that is to be avoided, and against avoiding it for longer.
TEST(ParentCandidatesTest, BlockedCandidatesAreSkippedUntilTheirTime)
{
    ParentCandidates candidates = makeCandidates();
    EXPECT_EQ(candidates.firstUnblocked(start), std::nullopt);
    candidates.block(HostId("a"), start + seconds(3));
    candidates.block(HostId("b"), start + seconds(2));
    candidates.block(HostId("c"), start + seconds(4));
    EXPECT_EQ(candidates.next(self, std::nullopt, start), std::nullopt);
    EXPECT_EQ(candidates.firstUnblocked(start), start + seconds(2));
    EXPECT_EQ(candidates.next(self, std::nullopt, start + seconds(2)), 1U);
    EXPECT_FALSE(candidates.isBlocked(HostId("b"), start + seconds(2)));
}

// Guards against forgetting which hosts are to be avoided when the membership changes.
TEST(ParentCandidatesTest, NewCandidatesStayBlocked)
{
    ParentCandidates candidates = makeCandidates();
    candidates.block(HostId("a"), start + seconds(3));
    candidates.set({ { HostId("a") }, { HostId("d") } }, start + seconds(1));
    EXPECT_EQ(candidates.indexOf(HostId("d")), 1U);
    EXPECT_EQ(candidates.indexOf(HostId("b")), std::nullopt);
    EXPECT_EQ(candidates.next(self, std::nullopt, start + seconds(1)), 1U);
}

} // namespace dragonflylane
