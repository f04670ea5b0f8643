// Automatic voters of the log: the first start, growth, and replacement by other hosts.

#include "tests/LogCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t founderCount = 3;

    LogReplicaOptions automatic(size_t target = 5)
    {
        return { .automaticVoters = true, .targetVoters = target, .mayFound = true, .founderCount = founderCount };
    }

    size_t voterCount(const Cluster& cluster)
    {
        return cluster.leader() < 0 ? 0 : cluster.at(cluster.leader()).membership().voters.size();
    }

    bool isVoter(const Cluster& cluster, size_t host)
    {
        if (cluster.leader() < 0)
            return false;
        const auto& voters = cluster.at(cluster.leader()).membership().voters;
        return std::ranges::count(voters, cluster.nodes[host].options.self, &LogMember::host) > 0;
    }

} // namespace

// Guards against a first start that needs the number of hosts, or that forms more than one log.
TEST(LogVotersTest, FoundersStartOneLogThatGrowsToItsTarget)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cluster cluster(5, seed, automatic(), true);
        ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 5; }, seconds(5))) << seed;
        EXPECT_TRUE(cluster.commitsMore()) << seed;
        EXPECT_TRUE(cluster.converges()) << seed;
        EXPECT_EQ(cluster.violation, "") << seed;
    }
}

// Guards against a first start that waits for a seed which never comes up.
TEST(LogVotersTest, OneFounderMayBeMissingAtTheFirstStart)
{
    for (size_t missing = 0; missing < founderCount; ++missing) {
        Cluster cluster(5, 7, automatic(), true);
        cluster.crash(missing);
        EXPECT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 4; }, seconds(5))) << missing;
        EXPECT_TRUE(cluster.commitsMore()) << missing;
        cluster.start(missing);
        EXPECT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 5; }, seconds(5))) << missing;
        EXPECT_EQ(cluster.violation, "") << missing;
    }
}

// Guards against an acknowledged change that is on no more disks than may be lost at once.
TEST(LogVotersTest, CommandsWaitForEnoughVoters)
{
    Cluster cluster(5, 3, automatic(), true);
    cluster.crash(3);
    cluster.crash(4);
    ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 3; }, seconds(5)));
    cluster.run(seconds(5));
    size_t leader = cluster.waitForLeader();
    EXPECT_EQ(cluster.propose(leader, "early"), ResultCode::QuorumLost);
    cluster.start(3);
    ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 4; }, seconds(5)));
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_EQ(cluster.violation, "");
}

// Guards against a log that loses its quorum because hosts that are gone for good stay voters: two hosts are replaced
// by others one after the other, then two more fail at once.
TEST(LogVotersTest, HostsThatAreGoneGiveTheirPlacesToOthers)
{
    Cluster cluster(7, 5, automatic(), true);
    cluster.crash(5);
    cluster.crash(6);
    ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 5; }, seconds(5)));
    for (auto [gone, added] : { std::pair<size_t, size_t>(0, 5), std::pair<size_t, size_t>(3, 6) }) {
        cluster.crash(gone);
        cluster.start(added);
        auto isReplaced
            = [&, gone = gone, added = added] { return isVoter(cluster, added) && !isVoter(cluster, gone); };
        ASSERT_TRUE(cluster.runUntil(isReplaced, seconds(4))) << gone;
        ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 5; }, seconds(1))) << gone;
    }
    cluster.crash(1);
    cluster.crash(2);
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_EQ(cluster.violation, "");
}

// Guards against a replica that counts itself a voter for ever because it was away while it was replaced.
TEST(LogVotersTest, ReplacedVoterThatReturnsStandsBy)
{
    Cluster cluster(6, 11, automatic(), true);
    cluster.crash(5);
    ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 5; }, seconds(5)));
    cluster.crash(1);
    cluster.start(5);
    ASSERT_TRUE(cluster.runUntil([&] { return isVoter(cluster, 5) && !isVoter(cluster, 1); }, seconds(4)));
    Term before = cluster.at(cluster.leader()).term();
    cluster.start(1);
    EXPECT_TRUE(cluster.runUntil([&] { return !cluster.at(1).isVoter(); }, seconds(5)));
    EXPECT_EQ(cluster.at(cluster.leader()).term(), before);
    // It takes the next place that becomes free.
    cluster.crash(2);
    EXPECT_TRUE(cluster.runUntil([&] { return isVoter(cluster, 1) && !isVoter(cluster, 2); }, seconds(5)));
    EXPECT_EQ(cluster.violation, "");
}

// Guards against a host that returns with an empty disk and founds a second log, or votes for one: any order of starts,
// crashes, cuts and one lost disk while the log is formed.
RC_GTEST_PROP(LogVotersTest, NoFaultDuringTheFirstStartFormsTwoLogs, (uint64_t seed))
{
    Cluster cluster(5, seed, automatic(), true);
    std::mt19937_64 random(seed);
    bool mayLoseDisk = true;
    for (int fault = 0; fault < 12; ++fault) {
        cluster.run(milliseconds(random() % 400));
        size_t host = random() % cluster.nodes.size();
        switch (random() % 4) {
        case 0:
            if (cluster.nodes[host].replica)
                cluster.crash(host);
            break;
        case 1:
            if (mayLoseDisk && cluster.nodes[host].replica) {
                cluster.loseDisk(host);
                mayLoseDisk = false;
            }
            break;
        case 2:
            cluster.cut(host, random() % 2 == 0);
            break;
        default:
            if (!cluster.nodes[host].replica)
                cluster.start(host);
        }
    }
    cluster.heal();
    for (size_t host = 0; host < cluster.nodes.size(); ++host) {
        if (!cluster.nodes[host].replica)
            cluster.start(host);
    }
    cluster.run(seconds(8));
    RC_ASSERT(cluster.violation.empty());
    // If most founders restarted before there was a log, nobody may found one; otherwise the log must work.
    if (cluster.leader() >= 0)
        RC_ASSERT(cluster.commitsMore());
}

} // namespace dragonflylane
