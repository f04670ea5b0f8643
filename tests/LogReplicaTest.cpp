#include "dragonflylane/LogReplica.h"

#include "dragonflylane/Digest.h"
#include "dragonflylane/LogStore.h"
#include "dragonflylane/LogWire.h"
#include "dragonflylane/PlanBook.h"
#include "dragonflylane/ResultCode.h"
#include "tests/LogCluster.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    LogReplicaOptions smallLimits()
    {
        return { .maxMessageBytes = 400, .maxInFlightMessages = 3, .snapshotEveryEntries = 30, .keepEntries = 7 };
    }

    size_t otherThan(size_t a, size_t b = 99)
    {
        for (size_t i = 0;; ++i) {
            if (i != a && i != b)
                return i;
        }
    }

    void randomFault(Cluster& cluster, uint64_t choice)
    {
        size_t i = choice / 16 % cluster.nodes.size();
        size_t j = choice / 256 % cluster.nodes.size();
        Cluster::Node& node = cluster.nodes[i];
        switch (choice % 16) {
        case 0:
        case 1:
            if (node.replica)
                cluster.crash(i);
            return;
        case 2:
            // A second disk may be lost only after the first is replaced; two losses at once lose data by design.
            if (node.replica && cluster.isWhole())
                cluster.loseDisk(i);
            return;
        case 3:
            cluster.cut(i);
            return;
        case 4:
            cluster.setLink(i, j, true);
            return;
        case 5:
            node.isFrozen = !node.isFrozen;
            return;
        case 6:
        case 7:
            cluster.heal();
            return;
        case 8:
        case 9:
            // A restart so quick that messages of the life before are still in flight.
            if (node.replica)
                cluster.crash(i, true);
            cluster.start(i);
            return;
        case 10:
            node.syncChance = j == 0 ? 0.01 : 1.0 / static_cast<double>(j);
            return;
        default:
            if (!node.replica)
                cluster.start(i);
        }
    }

    void runRandomly(size_t size, uint64_t seed)
    {
        Cluster cluster(size, seed, smallLimits());
        std::mt19937_64 random(seed + 1);
        cluster.faults = { .loss = static_cast<double>(random() % 20) / 100,
            .duplication = static_cast<double>(random() % 20) / 100,
            .maxDelay = milliseconds(std::array { 1, 20, 60, 500 }[random() % 4]) };
        for (int round = 0; round < 80 && cluster.violation.empty(); ++round) {
            randomFault(cluster, random());
            for (size_t i = 0; i < size; ++i) {
                if (cluster.nodes[i].replica && !cluster.nodes[i].isFrozen)
                    cluster.propose(i, std::to_string(random()));
            }
            cluster.run(milliseconds(random() % 700));
        }
        cluster.heal();
        cluster.faults = {};
        for (size_t i = 0; i < size; ++i) {
            cluster.nodes[i].isFrozen = false;
            cluster.nodes[i].syncChance = 1;
            if (!cluster.nodes[i].replica)
                cluster.start(i);
        }
        RC_ASSERT(cluster.violation == std::string());
        RC_ASSERT(cluster.commitsMore());
        RC_ASSERT(cluster.converges());
        RC_ASSERT(cluster.violation == std::string());
    }

} // namespace

// Guards against lost or reordered commits, two leaders of one term, and false proofs under every mix of faults.
RC_GTEST_PROP(LogReplicaTest, ThreeReplicasAgreeWithTheNaiveList, (uint64_t seed))
{
    runRandomly(3, seed);
}

RC_GTEST_PROP(LogReplicaTest, FiveReplicasAgreeWithTheNaiveList, (uint64_t seed))
{
    runRandomly(5, seed);
}

// Guards against a first start that never elects a leader, or that creates two logs.
TEST(LogReplicaTest, EmptyDisksCreateOneLog)
{
    for (size_t size : { 1, 3, 5 }) {
        Cluster cluster(size, size, {}, true);
        size_t leader = cluster.waitForLeader();
        EXPECT_EQ(cluster.nodes[leader].replica->membership().voters.size(), size);
        EXPECT_TRUE(cluster.commitsMore());
        EXPECT_TRUE(cluster.converges());
        EXPECT_EQ(cluster.violation, "");
    }
}

// Guards against a replica that takes the loss of its disk for a first start and creates a second log.
TEST(LogReplicaTest, LostDiskOfTheCreatorDoesNotCreateAnotherLog)
{
    Cluster cluster(3, 7, {}, true);
    cluster.waitForLeader();
    EXPECT_TRUE(cluster.commitsMore());
    cluster.loseDisk(0);
    cluster.start(0);
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_TRUE(cluster.converges());
    EXPECT_EQ(cluster.violation, "");
}

namespace {

    /// Entries are committed on the leader and one follower; the follower loses its disk and returns, and the leader
    /// is lost. Only the follower that missed the entries and the new disk remain.
    void loseSecondHostBeforeCatchUp(Cluster& cluster)
    {
        size_t leader = cluster.waitForLeader();
        size_t behind = otherThan(leader);
        size_t holder = otherThan(leader, behind);
        cluster.cut(behind);
        EXPECT_TRUE(cluster.commitsMore());
        cluster.loseDisk(holder);
        cluster.crash(leader);
        cluster.start(holder);
        cluster.heal();
        cluster.run(seconds(5));
        if (cluster.leader() >= 0)
            cluster.propose(static_cast<size_t>(cluster.leader()), "after the loss");
        cluster.run(seconds(1));
        cluster.start(leader);
        cluster.run(seconds(5));
    }

} // namespace

// Guards against the loss of committed entries when a second host is lost before the repair of the first has finished.
TEST(LogReplicaTest, SecondHostLostBeforeCatchUpLosesNothing)
{
    Cluster cluster(3, 11);
    loseSecondHostBeforeCatchUp(cluster);
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_TRUE(cluster.converges());
    EXPECT_EQ(cluster.violation, "");
}

// Shows that learner-before-voter prevents this loss.
TEST(LogReplicaTest, WithoutLearnerPhaseCommittedEntriesAreLost)
{
    Cluster cluster(3, 11, { .learnerBeforeVoter = false });
    loseSecondHostBeforeCatchUp(cluster);
    EXPECT_NE(cluster.violation, "");
}

// Guards against a repaired replica that does not count as a voter, so that the next loss stops the log.
TEST(LogReplicaTest, SecondHostLostAfterCatchUpLeavesAQuorum)
{
    Cluster cluster(3, 13, smallLimits());
    size_t leader = cluster.waitForLeader();
    EXPECT_TRUE(cluster.commitsMore(100));
    size_t lost = otherThan(leader);
    cluster.loseDisk(lost);
    cluster.start(lost);
    EXPECT_FALSE(cluster.nodes[lost].replica->isVoter());
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isWhole(); }));
    cluster.crash(leader);
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_EQ(cluster.violation, "");
}

// Guards against a claim to replace a voter by a replica that does not hold the log.
TEST(LogReplicaTest, LearnerWithoutTheLogReplacesNobody)
{
    Cluster cluster(3, 13);
    size_t leader = cluster.waitForLeader();
    size_t lost = otherThan(leader);
    cluster.loseDisk(lost);
    cluster.run(seconds(3));
    cluster.stalled = cluster.nodes[lost].options.self;
    cluster.start(lost);
    cluster.run(seconds(3));
    EXPECT_FALSE(cluster.isWhole());
    EXPECT_EQ(cluster.nodes[leader].replica->membership().voters.size(), 3U);
    cluster.stalled.reset();
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.isWhole(); }));
    EXPECT_EQ(cluster.violation, "");
}

namespace {

    const LogMember a { ReplicaId("a/1"), HostId("a") };
    const LogMember b { ReplicaId("b/1"), HostId("b") };
    const LogMember c { ReplicaId("c/1"), HostId("c") };
    constexpr TimePoint startTime { seconds(50) };

    LogReplica makeReplica()
    {
        RecoveredLog log;
        log.replicaId = a.id;
        log.snapshot.membership.voters = { a, b, c };
        return { { .self = a.host }, log, startTime };
    }

    struct Outputs {
        std::vector<LogMessage> sent;
        std::vector<LogPersist> writes;
    };

    Outputs take(LogReplica& replica)
    {
        Outputs result;
        for (LogOutput& output : replica.takeOutputs()) {
            if (auto* send = std::get_if<LogSend>(&output))
                result.sent.push_back(send->message);
            if (auto* persist = std::get_if<LogPersist>(&output))
                result.writes.push_back(*persist);
        }
        return result;
    }

    LogMessage voteRequest(const LogMember& from, uint64_t term)
    {
        return { from, a.id, Term(term), LogVoteRequest {} };
    }

} // namespace

// Guards against a vote that a crash makes the replica forget, and against two votes in one term.
TEST(LogReplicaTest, VoteWaitsForItsSyncAndIsGivenOnce)
{
    LogReplica replica = makeReplica();
    TimePoint now = startTime + seconds(1);
    replica.receive(voteRequest(b, 5), now);
    Outputs outputs = take(replica);
    EXPECT_TRUE(outputs.sent.empty());
    ASSERT_EQ(outputs.writes.size(), 1U);
    EXPECT_EQ(outputs.writes[0].write.hardState, (LogHardState { Term(5), b.id }));
    replica.persisted(outputs.writes[0].token, now);
    outputs = take(replica);
    ASSERT_EQ(outputs.sent.size(), 1U);
    EXPECT_TRUE(std::get<LogVoteResponse>(outputs.sent[0].body).granted);
    replica.receive(voteRequest(c, 5), now);
    outputs = take(replica);
    ASSERT_EQ(outputs.sent.size(), 1U);
    EXPECT_FALSE(std::get<LogVoteResponse>(outputs.sent[0].body).granted);
}

// Guards against a candidate that counts its own vote before it is durable.
TEST(LogReplicaTest, CandidateAsksForVotesAfterItsOwnIsSynced)
{
    LogReplica replica = makeReplica();
    TimePoint now = startTime + seconds(2);
    replica.tick(now);
    take(replica);
    replica.receive({ b, a.id, Term(1), LogVoteResponse { true, true } }, now);
    EXPECT_EQ(replica.role(), LogRole::Candidate);
    Outputs outputs = take(replica);
    EXPECT_TRUE(outputs.sent.empty());
    ASSERT_EQ(outputs.writes.size(), 1U);
    replica.receive({ b, a.id, Term(1), LogVoteResponse { false, true } }, now);
    EXPECT_EQ(replica.role(), LogRole::Candidate);
    replica.persisted(outputs.writes[0].token, now);
    EXPECT_EQ(replica.role(), LogRole::Leader);
}

// Guards against a proof at the time of the answer instead of the question: the answer may have been delayed.
TEST(LogReplicaTest, DelayedAnswerProvesTheTimeOfItsQuestion)
{
    LogReplica replica = makeReplica();
    TimePoint now = startTime + seconds(2);
    replica.tick(now);
    replica.receive({ b, a.id, Term(1), LogVoteResponse { true, true } }, now);
    replica.persisted(take(replica).writes.at(0).token, now);
    replica.receive({ b, a.id, Term(1), LogVoteResponse { false, true } }, now);
    replica.persisted(take(replica).writes.at(0).token, now);
    ASSERT_EQ(replica.role(), LogRole::Leader);
    LogAppendResponse answer;
    answer.accepted = true;
    answer.matchIndex = LogIndex(1);
    answer.askedAt = now;
    EXPECT_EQ(replica.quorumProvenAt(), std::nullopt);
    replica.receive({ b, a.id, Term(1), answer }, now + milliseconds(500));
    EXPECT_EQ(replica.quorumProvenAt(), now);
    EXPECT_FALSE(replica.hasLease(now + milliseconds(540)));
}

// Guards against a vote that breaks the lease of a leader to which this replica may just have answered.
TEST(LogReplicaTest, NoVoteIsGivenShortlyAfterAStartOrAHeartbeat)
{
    LogReplica replica = makeReplica();
    replica.receive(voteRequest(b, 5), startTime + milliseconds(599));
    EXPECT_EQ(replica.term(), Term());
    replica.receive({ c, a.id, Term(2), LogAppendRequest {} }, startTime + milliseconds(700));
    replica.receive(voteRequest(b, 5), startTime + milliseconds(1299));
    EXPECT_EQ(replica.term(), Term(2));
    replica.receive(voteRequest(b, 5), startTime + milliseconds(1301));
    EXPECT_EQ(replica.term(), Term(5));
}

// Guards against a leader that counts its own entries before they are durable.
TEST(LogReplicaTest, LeaderCountsItselfAfterTheSync)
{
    Cluster cluster(3, 47);
    size_t leader = cluster.waitForLeader();
    cluster.run(seconds(1));
    cluster.nodes[leader].syncChance = 0;
    cluster.crash(otherThan(leader));
    size_t before = cluster.committed.size();
    cluster.propose(leader, "not durable here");
    cluster.run(seconds(2));
    EXPECT_EQ(cluster.committed.size(), before);
    cluster.nodes[leader].syncChance = 1;
    cluster.run(seconds(2));
    EXPECT_GT(cluster.committed.size(), before);
}

// Guards against a leader behind a silent partition that keeps its subtree on an old configuration.
TEST(LogReplicaTest, LeaderBehindAPartitionStopsProving)
{
    Cluster cluster(3, 17);
    size_t old = cluster.waitForLeader();
    cluster.run(seconds(1));
    size_t follower = otherThan(old);
    EXPECT_TRUE(cluster.nodes[follower].replica->provenAt());
    cluster.cut(old);
    TimePoint cutAt = cluster.now;
    cluster.run(seconds(3));
    EXPECT_EQ(cluster.nodes[old].replica->quorumProvenAt(), std::nullopt);
    EXPECT_FALSE(cluster.nodes[old].replica->hasLease(cluster.clock(cluster.nodes[old])));
    EXPECT_LE(cluster.nodes[old].replica->provenAt(), cutAt + cluster.nodes[old].clockOffset);
    EXPECT_GT(
        cluster.nodes[follower].replica->provenAt(), cluster.now - seconds(1) + cluster.nodes[follower].clockOffset);
    EXPECT_NE(cluster.nodes[old].replica->role(), LogRole::Leader);
}

// Shows that check-quorum makes it step down.
TEST(LogReplicaTest, WithoutCheckQuorumTheOldLeaderKeepsAcceptingProposals)
{
    for (bool checkQuorum : { true, false }) {
        Cluster cluster(3, 17, { .checkQuorum = checkQuorum });
        size_t old = cluster.waitForLeader();
        cluster.cut(old);
        cluster.run(seconds(10));
        auto error = cluster.propose(old, "never committed");
        EXPECT_EQ(error, checkQuorum ? std::error_code(ResultCode::NotLeader) : std::error_code());
    }
}

namespace {

    std::string confirmation(const char* plan, const char* operatorName)
    {
        return PlanBook::encode(ConfirmCommand { PlanId(plan), OperatorName(operatorName) });
    }

    std::string proposal(const char* plan, const char* service)
    {
        ServiceItem item { .name = ServiceName(service) };
        PlanRequest request { .base = Revision(0), .changes = { SetItem { item } } };
        return PlanBook::encode(ProposeCommand { PlanId(plan), request, OperatorName("anna") });
    }

    // The plan book after the committed entries.
    PlanBook bookOf(const Cluster& cluster)
    {
        PlanBook book;
        for (const LogEntry& entry : cluster.committed) {
            if (entry.kind == LogEntryKind::Command)
                book.apply(entry.payload);
        }
        return book;
    }

} // namespace

// Guards against two accepted plans on one base revision: one operator confirms at a leader behind a silent partition,
// the other at the leader that the majority elects (I9).
TEST(LogReplicaTest, TwoOperatorsConfirmWhileTheLeaderIsBehindAPartition)
{
    for (bool checkQuorum : { true, false }) {
        Cluster cluster(3, 17, { .checkQuorum = checkQuorum });
        size_t old = cluster.waitForLeader();
        EXPECT_FALSE(cluster.propose(old, proposal("p-1", "orders")));
        EXPECT_FALSE(cluster.propose(old, proposal("p-2", "loans")));
        cluster.run(seconds(1));
        cluster.cut(old);
        // Right after the cut the old leader still takes the command, but cannot commit it.
        EXPECT_FALSE(cluster.propose(old, confirmation("p-1", "anna")));
        cluster.run(seconds(3));
        size_t next = old;
        for (size_t i = 0; i < cluster.nodes.size(); ++i) {
            if (i != old && cluster.nodes[i].replica->role() == LogRole::Leader)
                next = i;
        }
        ASSERT_NE(next, old);
        EXPECT_FALSE(cluster.propose(next, confirmation("p-2", "berta")));
        cluster.run(seconds(1));
        EXPECT_EQ(bookOf(cluster).find(PlanId("p-2"))->status, PlanStatus::Confirmed);
        cluster.heal();
        cluster.run(seconds(3));
        // The first operator asks again.
        EXPECT_FALSE(cluster.propose(static_cast<size_t>(cluster.leader()), confirmation("p-1", "anna")));
        cluster.run(seconds(1));
        PlanBook book = bookOf(cluster);
        EXPECT_EQ(book.state().revision(), Revision(1));
        EXPECT_EQ(book.find(PlanId("p-1"))->status, PlanStatus::Conflicted);
        EXPECT_EQ(book.find(PlanId("p-2"))->status, PlanStatus::Confirmed);
        for (const Cluster::Node& node : cluster.nodes)
            EXPECT_EQ(node.applied, cluster.committed.size());
    }
}

// Guards against old answers, delivered in a burst after a pause, that renew a proof.
TEST(LogReplicaTest, BurstOfOldMessagesProvesNothing)
{
    Cluster cluster(3, 19);
    size_t leader = cluster.waitForLeader();
    cluster.run(seconds(1));
    size_t follower = otherThan(leader);
    Cluster::Node& node = cluster.nodes[follower];
    cluster.stalled = node.options.self;
    TimePoint stalledAt = cluster.clock(node);
    cluster.run(milliseconds(400));
    cluster.cut(leader);
    cluster.run(seconds(5));
    cluster.heal();
    cluster.crash(leader);
    cluster.stalled.reset();
    cluster.run(milliseconds(10));
    EXPECT_LE(node.replica->provenAt(), stalledAt);
}

// Guards against a leader that resumes after a long freeze and acts on its old authority.
TEST(LogReplicaTest, FrozenLeaderStepsDownWhenItResumes)
{
    Cluster cluster(3, 23);
    size_t old = cluster.waitForLeader();
    cluster.run(seconds(1));
    cluster.nodes[old].isFrozen = true;
    cluster.run(seconds(5));
    EXPECT_FALSE(cluster.nodes[old].replica->hasLease(cluster.clock(cluster.nodes[old])));
    EXPECT_EQ(cluster.propose(old, "late"), ResultCode::NotLeader);
    cluster.nodes[old].isFrozen = false;
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_TRUE(cluster.converges());
    EXPECT_EQ(cluster.violation, "");
}

// Shows that pre-vote keeps a replica that returns from a partition from deposing the leader.
TEST(LogReplicaTest, WithoutPreVoteAReturningReplicaDeposesTheLeader)
{
    for (bool preVote : { true, false }) {
        Cluster cluster(3, 29, { .preVote = preVote });
        size_t leader = cluster.waitForLeader();
        Term before = cluster.nodes[leader].replica->term();
        cluster.cut(otherThan(leader));
        cluster.run(seconds(10));
        cluster.heal();
        cluster.run(seconds(10));
        Term after = cluster.nodes[cluster.waitForLeader()].replica->term();
        EXPECT_EQ(after == before, preVote);
    }
}

// Shows that waiting for the sync keeps acknowledged entries through a loss of power on all hosts.
TEST(LogReplicaTest, WithoutWaitingForTheSyncAPowerLossLosesCommits)
{
    for (bool waitForSync : { true, false }) {
        Cluster cluster(3, 31, { .waitForSync = waitForSync });
        cluster.waitForLeader();
        for (Cluster::Node& node : cluster.nodes)
            node.syncChance = 0.02;
        EXPECT_TRUE(cluster.commitsMore());
        for (size_t i = 0; i < 3; ++i)
            cluster.crash(i, true);
        for (size_t i = 0; i < 3; ++i) {
            cluster.nodes[i].syncChance = 1;
            cluster.start(i);
        }
        EXPECT_TRUE(cluster.commitsMore());
        cluster.run(seconds(2));
        EXPECT_EQ(cluster.violation.empty(), waitForSync) << cluster.violation;
    }
}

// Guards against two overlapping changes, which could form disjoint quorums.
TEST(LogReplicaTest, SecondMembershipChangeWaitsForTheFirst)
{
    using Action = LogMembershipChange::Action;
    Cluster cluster(5, 37);
    size_t leader = cluster.waitForLeader();
    const LogMembership initial = cluster.nodes[leader].replica->membership();
    const LogMember& first = initial.voters[otherThan(leader)];
    const LogMember& second = initial.voters[otherThan(leader, otherThan(leader))];
    EXPECT_EQ(cluster.change(otherThan(leader), Action::Remove, first), ResultCode::NotLeader);
    EXPECT_EQ(cluster.change(leader, Action::Remove, first), std::error_code());
    EXPECT_EQ(cluster.change(leader, Action::Remove, second), ResultCode::MembershipChangePending);
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_EQ(cluster.change(leader, Action::Remove, second), std::error_code());
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_EQ(cluster.nodes[leader].replica->membership().voters.size(), 3U);
    EXPECT_EQ(cluster.change(leader, Action::Add, first), std::error_code());
    EXPECT_EQ(cluster.change(leader, Action::Add, second), ResultCode::MembershipChangePending);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.nodes[leader].replica->membership().voters.size() == 4; }));
    // A leader that removes itself hands over after the commit.
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_EQ(cluster.change(leader, Action::Remove, initial.voters[leader]), std::error_code());
    EXPECT_TRUE(
        cluster.runUntil([&] { return cluster.leader() >= 0 && cluster.leader() != static_cast<int>(leader); }));
    EXPECT_TRUE(cluster.commitsMore());
    EXPECT_EQ(cluster.violation, "");
}

// Guards against back-up by one entry per refusal after a long divergence.
TEST(LogReplicaTest, DivergedFollowerIsRepairedWithFewRefusals)
{
    Cluster cluster(3, 41);
    size_t old = cluster.waitForLeader();
    cluster.cut(old);
    for (int i = 0; i < 500; ++i)
        cluster.propose(old, "diverged");
    cluster.run(seconds(3));
    EXPECT_TRUE(cluster.commitsMore(50));
    cluster.heal();
    cluster.refusals = 0;
    EXPECT_TRUE(cluster.converges());
    EXPECT_LT(cluster.refusals, 10U);
    EXPECT_EQ(cluster.violation, "");
}

// Guards against unbounded memory while no quorum acknowledges.
TEST(LogReplicaTest, ProposalsAreRefusedWhenMemoryIsFull)
{
    Cluster cluster(3, 43, { .maxEntriesInMemory = 100, .maxPayloadBytes = 10 });
    size_t leader = cluster.waitForLeader();
    cluster.cut(leader);
    EXPECT_EQ(cluster.propose(leader, "over eleven"), ResultCode::PlanTooLarge);
    std::error_code error;
    int accepted = 0;
    while (!(error = cluster.propose(leader, "x")) && accepted < 1000)
        ++accepted;
    EXPECT_EQ(error, ResultCode::QuorumLost);
    EXPECT_LT(accepted, 100);
}

// Guards against a crash or unlimited allocation on damaged or hostile bytes.
RC_GTEST_PROP(LogReplicaTest, DecodingDamagedMessagesReturns, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    LogAppendRequest append;
    append.previousIndex = LogIndex(random());
    append.proofAge = Duration(5);
    append.entries.resize(2);
    append.entries[0].membership.voters.push_back({ ReplicaId("a/1"), HostId("a") });
    std::string bytes = encode({ { ReplicaId("b/1"), HostId("b") }, ReplicaId("a/1"), Term(3), append });
    LogMessage decoded;
    RC_ASSERT(!decode(bytes, decoded));
    RC_ASSERT(std::get<LogAppendRequest>(decoded.body) == append);
    RC_ASSERT(decode(bytes.substr(0, random() % bytes.size()), decoded));
    for (int i = 0; i < 3; ++i)
        bytes[random() % bytes.size()] = static_cast<char>(random());
    static_cast<void>(decode(bytes, decoded));
}

} // namespace dragonflylane
