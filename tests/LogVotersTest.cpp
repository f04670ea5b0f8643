// Automatic voters of the log: bootstrap, addition of voters, and their replacement by other hosts.

#include "tests/LogCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t bootstrapHostCount = 3;

    LogReplicaOptions automaticVoterOptions(size_t target = 5)
    {
        return { .automaticVoters = true,
            .targetVoters = target,
            .canBootstrap = true,
            .bootstrapHostCount = bootstrapHostCount };
    }

    size_t voterCount(const LogCluster& cluster)
    {
        return cluster.leader() < 0 ? 0 : cluster.at(cluster.leader()).membership().voters.size();
    }

    bool isVoter(const LogCluster& cluster, size_t host)
    {
        if (cluster.leader() < 0)
            return false;
        const auto& voters = cluster.at(cluster.leader()).membership().voters;
        return std::ranges::count(voters, cluster.nodes[host].options.self, &LogMember::host) > 0;
    }

} // namespace

// Guards against a bootstrap that depends on the number of hosts or creates more than one log.
TEST(LogVotersTest, BootstrapHostsCreateOneLogThatGrowsToItsTarget)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        LogCluster cluster(5, seed, automaticVoterOptions(), true);
        ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 5; }, seconds(5))) << seed;
        EXPECT_TRUE(cluster.commitsMoreEntries()) << seed;
        EXPECT_TRUE(cluster.converges()) << seed;
        EXPECT_EQ(cluster.violation, "") << seed;
    }
}

// Guards against a bootstrap that waits for a bootstrap host that never starts.
TEST(LogVotersTest, OneBootstrapHostMayBeMissingAtTheFirstStart)
{
    for (size_t missing = 0; missing < bootstrapHostCount; ++missing) {
        LogCluster cluster(5, 7, automaticVoterOptions(), true);
        cluster.crash(missing);
        EXPECT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 4; }, seconds(5))) << missing;
        EXPECT_TRUE(cluster.commitsMoreEntries()) << missing;
        cluster.start(missing);
        EXPECT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 5; }, seconds(5))) << missing;
        EXPECT_EQ(cluster.violation, "") << missing;
    }
}

// Guards against an acknowledged command that is on no more disks than may be lost at once.
TEST(LogVotersTest, CommandsWaitForEnoughVoters)
{
    LogCluster cluster(5, 3, automaticVoterOptions(), true);
    cluster.crash(3);
    cluster.crash(4);
    ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 3; }, seconds(5)));
    cluster.run(seconds(5));
    size_t leader = cluster.waitForLeader();
    EXPECT_EQ(cluster.propose(leader, "early"), ResultCode::QuorumLost);
    cluster.start(3);
    ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 4; }, seconds(5)));
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_EQ(cluster.violation, "");
}

// Guards against a log that loses its quorum because hosts that failed for good stay voters. Two hosts fail and are
// replaced one after the other, then two more fail at once.
TEST(LogVotersTest, FailedHostsAreReplacedAsVoters)
{
    LogCluster cluster(7, 5, automaticVoterOptions(), true);
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
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_EQ(cluster.violation, "");
}

// Guards against a log that accepts nothing any more after the disks of its voters were full for a few seconds, one
// after another. A full disk finishes no write; the leader's is among them.
TEST(LogVotersTest, DisksThatWereFullInTurnDelayNoLaterCommand)
{
    constexpr size_t size = 5;
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        LogCluster cluster(size, seed, automaticVoterOptions(), true);
        ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == size; }, seconds(5))) << seed;
        for (size_t turn = 0; turn < 2 * size; ++turn) {
            size_t full = turn % 2 == 0 ? cluster.waitForLeader() : (turn + seed) % size;
            cluster.nodes[full].syncProbability = 0;
            TimePoint end = cluster.now + milliseconds(1500 + 700 * (turn % 5));
            size_t before = cluster.committed.size();
            while (cluster.now < end) {
                if (cluster.leader() >= 0)
                    cluster.propose(static_cast<size_t>(cluster.leader()), "change");
                cluster.run(milliseconds(200));
            }
            EXPECT_GT(cluster.committed.size(), before) << "seed " << seed << " turn " << turn;
            cluster.nodes[full].syncProbability = 1;
            cluster.run(milliseconds(300));
        }
        EXPECT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == size; }, seconds(5))) << seed;
        TimePoint recovered = cluster.now;
        EXPECT_TRUE(cluster.commitsMoreEntries()) << seed;
        EXPECT_LT(cluster.now - recovered, seconds(1)) << seed;
        EXPECT_TRUE(cluster.converges()) << seed;
        EXPECT_EQ(cluster.violation, "") << seed;
    }
}

// Guards against a replica that considers itself a voter forever because it was down when it was replaced.
TEST(LogVotersTest, ReplacedVoterReturnsAsNonVoter)
{
    LogCluster cluster(6, 11, automaticVoterOptions(), true);
    cluster.crash(5);
    ASSERT_TRUE(cluster.runUntil([&] { return voterCount(cluster) == 5; }, seconds(5)));
    cluster.crash(1);
    cluster.start(5);
    ASSERT_TRUE(cluster.runUntil([&] { return isVoter(cluster, 5) && !isVoter(cluster, 1); }, seconds(4)));
    Term before = cluster.at(cluster.leader()).term();
    cluster.start(1);
    EXPECT_TRUE(cluster.runUntil([&] { return !cluster.at(1).isVoter(); }, seconds(5)));
    EXPECT_EQ(cluster.at(cluster.leader()).term(), before);
    // It replaces the next voter that fails.
    cluster.crash(2);
    EXPECT_TRUE(cluster.runUntil([&] { return isVoter(cluster, 1) && !isVoter(cluster, 2); }, seconds(5)));
    EXPECT_EQ(cluster.violation, "");
}

// Guards against a host that returns with an empty disk and creates a second log or votes for one. Hosts start, crash
// and are partitioned in random order during the bootstrap, and one disk is lost.
RC_GTEST_PROP(LogVotersTest, NoFaultDuringTheBootstrapCreatesTwoLogs, (uint64_t seed))
{
    LogCluster cluster(5, seed, automaticVoterOptions(), true);
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
            cluster.partition(host, random() % 2 == 0);
            break;
        default:
            if (!cluster.nodes[host].replica)
                cluster.start(host);
        }
    }
    cluster.healPartitions();
    for (size_t host = 0; host < cluster.nodes.size(); ++host) {
        if (!cluster.nodes[host].replica)
            cluster.start(host);
    }
    cluster.run(seconds(8));
    RC_ASSERT(cluster.violation.empty());
    // At most one disk was lost, so a majority of the bootstrap hosts could still found the log.
    RC_ASSERT(cluster.leader() >= 0);
    RC_ASSERT(cluster.commitsMoreEntries());
}

} // namespace dragonflylane
