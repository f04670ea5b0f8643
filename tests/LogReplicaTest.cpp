#include "dragonflylane/LogReplica.h"

#include "dragonflylane/Digest.h"
#include "dragonflylane/LogStore.h"
#include "dragonflylane/LogWire.h"
#include "dragonflylane/PlanStateMachine.h"
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

    LogReplicaOptions optionsWithSmallLimits()
    {
        return {
            .maxMessageBytes = 400, .maxInFlightMessages = 3, .snapshotIntervalEntries = 30, .retainedEntries = 7
        };
    }

    size_t firstIndexExcept(size_t a, size_t b = 99)
    {
        for (size_t i = 0;; ++i) {
            if (i != a && i != b)
                return i;
        }
    }

    void injectRandomFault(LogCluster& cluster, uint64_t choice)
    {
        size_t i = choice / 16 % cluster.nodes.size();
        size_t j = choice / 256 % cluster.nodes.size();
        LogCluster::Node& node = cluster.nodes[i];
        switch (choice % 16) {
        case 0:
        case 1:
            if (node.replica)
                cluster.crash(i);
            return;
        case 2:
            // A second disk may be lost only after the first is replaced: two losses at once exceed what three
            // replicas tolerate.
            if (node.replica && cluster.hasAllDisksAsVoters())
                cluster.loseDisk(i);
            return;
        case 3:
            cluster.partition(i);
            return;
        case 4:
            cluster.setLinkBlocked(i, j, true);
            return;
        case 5:
            node.isSuspended = !node.isSuspended;
            return;
        case 6:
        case 7:
            cluster.healPartitions();
            return;
        case 8:
        case 9:
            // Restarts while messages of the previous start are still in flight.
            if (node.replica)
                cluster.crash(i, true);
            cluster.start(i);
            return;
        case 10:
            node.syncProbability = j == 0 ? 0.01 : 1.0 / static_cast<double>(j);
            return;
        default:
            if (!node.replica)
                cluster.start(i);
        }
    }

    void runWithRandomFaults(size_t size, uint64_t seed)
    {
        LogCluster cluster(size, seed, optionsWithSmallLimits());
        std::mt19937_64 random(seed + 1);
        cluster.faults = { .loss = static_cast<double>(random() % 20) / 100,
            .duplication = static_cast<double>(random() % 20) / 100,
            .maxDelay = milliseconds(std::array { 1, 20, 60, 500 }[random() % 4]) };
        for (int round = 0; round < 80 && cluster.violation.empty(); ++round) {
            injectRandomFault(cluster, random());
            for (size_t i = 0; i < size; ++i) {
                if (cluster.nodes[i].replica && !cluster.nodes[i].isSuspended)
                    cluster.propose(i, std::to_string(random()));
            }
            cluster.run(milliseconds(random() % 700));
        }
        cluster.healPartitions();
        cluster.faults = {};
        for (size_t i = 0; i < size; ++i) {
            cluster.nodes[i].isSuspended = false;
            cluster.nodes[i].syncProbability = 1;
            if (!cluster.nodes[i].replica)
                cluster.start(i);
        }
        RC_ASSERT(cluster.violation == std::string());
        RC_ASSERT(cluster.commitsMoreEntries());
        RC_ASSERT(cluster.converges());
        RC_ASSERT(cluster.violation == std::string());
    }

} // namespace

// Guards against lost or reordered commits, two leaders in one term, and wrong proofs of freshness under random
// combinations of crashes, lost disks, partitions, suspended processes, slow disks and lossy links.
RC_GTEST_PROP(LogReplicaTest, ThreeReplicasMatchTheReferenceList, (uint64_t seed))
{
    runWithRandomFaults(3, seed);
}

RC_GTEST_PROP(LogReplicaTest, FiveReplicasMatchTheReferenceList, (uint64_t seed))
{
    runWithRandomFaults(5, seed);
}

// Guards against a bootstrap that never elects a leader or creates two logs.
TEST(LogReplicaTest, EmptyDisksBootstrapOneLog)
{
    for (size_t size : { 1, 3, 5 }) {
        LogCluster cluster(size, size, {}, true);
        size_t leader = cluster.waitForLeader();
        EXPECT_EQ(cluster.nodes[leader].replica->membership().voters.size(), size);
        EXPECT_TRUE(cluster.commitsMoreEntries());
        EXPECT_TRUE(cluster.converges());
        EXPECT_EQ(cluster.violation, "");
    }
}

// Guards against a replica that creates a second log because its disk is empty after a loss.
TEST(LogReplicaTest, LostDiskOfTheBootstrapLeaderCreatesNoSecondLog)
{
    LogCluster cluster(3, 7, {}, true);
    cluster.waitForLeader();
    EXPECT_TRUE(cluster.commitsMoreEntries());
    cluster.loseDisk(0);
    cluster.start(0);
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_TRUE(cluster.converges());
    EXPECT_EQ(cluster.violation, "");
}

namespace {

    /// Entries are committed on the leader and one follower. The follower loses its disk and returns, and the leader
    /// crashes, so only the follower that missed the entries and the replica with the new disk are left.
    void loseSecondHostBeforeCatchUp(LogCluster& cluster)
    {
        size_t leader = cluster.waitForLeader();
        size_t behind = firstIndexExcept(leader);
        size_t upToDate = firstIndexExcept(leader, behind);
        cluster.partition(behind);
        EXPECT_TRUE(cluster.commitsMoreEntries());
        cluster.loseDisk(upToDate);
        cluster.crash(leader);
        cluster.start(upToDate);
        cluster.healPartitions();
        cluster.run(seconds(5));
        if (cluster.leader() >= 0)
            cluster.propose(static_cast<size_t>(cluster.leader()), "after the loss");
        cluster.run(seconds(1));
        cluster.start(leader);
        cluster.run(seconds(5));
    }

} // namespace

// Guards against the loss of committed entries if a second host fails before the new replica of the first has caught
// up.
TEST(LogReplicaTest, SecondHostLostBeforeCatchUpLosesNothing)
{
    LogCluster cluster(3, 11);
    loseSecondHostBeforeCatchUp(cluster);
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_TRUE(cluster.converges());
    EXPECT_EQ(cluster.violation, "");
}

// Shows that the learner phase prevents this loss.
TEST(LogReplicaTest, WithoutLearnerPhaseCommittedEntriesAreLost)
{
    LogCluster cluster(3, 11, { .learnerBeforeVoter = false });
    loseSecondHostBeforeCatchUp(cluster);
    EXPECT_NE(cluster.violation, "");
}

// Guards against a replaced replica that does not become a voter, so that the next failure stops the log.
TEST(LogReplicaTest, SecondHostLostAfterCatchUpLeavesAQuorum)
{
    LogCluster cluster(3, 13, optionsWithSmallLimits());
    size_t leader = cluster.waitForLeader();
    EXPECT_TRUE(cluster.commitsMoreEntries(100));
    size_t lost = firstIndexExcept(leader);
    cluster.loseDisk(lost);
    cluster.start(lost);
    EXPECT_FALSE(cluster.nodes[lost].replica->isVoter());
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.hasAllDisksAsVoters(); }));
    cluster.crash(leader);
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_EQ(cluster.violation, "");
}

// Guards against the replacement of a voter by a replica that does not have the log.
TEST(LogReplicaTest, LearnerWithoutTheLogReplacesNoVoter)
{
    LogCluster cluster(3, 13);
    size_t leader = cluster.waitForLeader();
    size_t lost = firstIndexExcept(leader);
    cluster.loseDisk(lost);
    cluster.run(seconds(3));
    cluster.delayedHost = cluster.nodes[lost].options.self;
    cluster.start(lost);
    cluster.run(seconds(3));
    EXPECT_FALSE(cluster.hasAllDisksAsVoters());
    EXPECT_EQ(cluster.nodes[leader].replica->membership().voters.size(), 3U);
    cluster.delayedHost.reset();
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.hasAllDisksAsVoters(); }));
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

    Outputs drainOutputs(LogReplica& replica)
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

// Guards against a granted vote that is lost in a crash, and against two votes in one term.
TEST(LogReplicaTest, VoteWaitsForItsSyncAndIsGivenOnce)
{
    LogReplica replica = makeReplica();
    TimePoint now = startTime + seconds(1);
    replica.receive(voteRequest(b, 5), now);
    Outputs outputs = drainOutputs(replica);
    EXPECT_TRUE(outputs.sent.empty());
    ASSERT_EQ(outputs.writes.size(), 1U);
    EXPECT_EQ(outputs.writes[0].write.hardState, (LogHardState { Term(5), b.id }));
    replica.persisted(outputs.writes[0].token, now);
    outputs = drainOutputs(replica);
    ASSERT_EQ(outputs.sent.size(), 1U);
    EXPECT_TRUE(std::get<LogVoteResponse>(outputs.sent[0].body).granted);
    replica.receive(voteRequest(c, 5), now);
    outputs = drainOutputs(replica);
    ASSERT_EQ(outputs.sent.size(), 1U);
    EXPECT_FALSE(std::get<LogVoteResponse>(outputs.sent[0].body).granted);
}

// Guards against a candidate that counts its own vote before it is durable.
TEST(LogReplicaTest, CandidateRequestsVotesAfterItsOwnIsSynced)
{
    LogReplica replica = makeReplica();
    TimePoint now = startTime + seconds(2);
    replica.tick(now);
    drainOutputs(replica);
    replica.receive({ b, a.id, Term(1), LogVoteResponse { true, true } }, now);
    EXPECT_EQ(replica.role(), LogRole::Candidate);
    Outputs outputs = drainOutputs(replica);
    EXPECT_TRUE(outputs.sent.empty());
    ASSERT_EQ(outputs.writes.size(), 1U);
    replica.receive({ b, a.id, Term(1), LogVoteResponse { false, true } }, now);
    EXPECT_EQ(replica.role(), LogRole::Candidate);
    replica.persisted(outputs.writes[0].token, now);
    EXPECT_EQ(replica.role(), LogRole::Leader);
}

// Guards against a proof of leadership that is dated by the arrival of the response instead of the sending of the
// request: the response may have been delayed.
TEST(LogReplicaTest, DelayedResponseProvesTheTimeOfItsRequest)
{
    LogReplica replica = makeReplica();
    TimePoint now = startTime + seconds(2);
    replica.tick(now);
    replica.receive({ b, a.id, Term(1), LogVoteResponse { true, true } }, now);
    replica.persisted(drainOutputs(replica).writes.at(0).token, now);
    replica.receive({ b, a.id, Term(1), LogVoteResponse { false, true } }, now);
    replica.persisted(drainOutputs(replica).writes.at(0).token, now);
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

// Guards against a vote that breaks the lease of a leader that this replica has just responded to, possibly before a
// restart.
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
    LogCluster cluster(3, 47);
    size_t leader = cluster.waitForLeader();
    cluster.run(seconds(1));
    cluster.nodes[leader].syncProbability = 0;
    cluster.crash(firstIndexExcept(leader));
    size_t before = cluster.committed.size();
    cluster.propose(leader, "not durable here");
    cluster.run(seconds(2));
    EXPECT_EQ(cluster.committed.size(), before);
    cluster.nodes[leader].syncProbability = 1;
    cluster.run(seconds(2));
    EXPECT_GT(cluster.committed.size(), before);
}

// Guards against a partitioned leader that keeps its subtree of the relay tree on an old configuration.
TEST(LogReplicaTest, PartitionedLeaderProvesNoFreshness)
{
    LogCluster cluster(3, 17);
    size_t oldLeader = cluster.waitForLeader();
    cluster.run(seconds(1));
    size_t follower = firstIndexExcept(oldLeader);
    EXPECT_TRUE(cluster.nodes[follower].replica->provenAt());
    cluster.partition(oldLeader);
    TimePoint partitionedAt = cluster.now;
    cluster.run(seconds(3));
    EXPECT_EQ(cluster.nodes[oldLeader].replica->quorumProvenAt(), std::nullopt);
    EXPECT_FALSE(cluster.nodes[oldLeader].replica->hasLease(cluster.clock(cluster.nodes[oldLeader])));
    EXPECT_LE(cluster.nodes[oldLeader].replica->provenAt(), partitionedAt + cluster.nodes[oldLeader].clockOffset);
    EXPECT_GT(
        cluster.nodes[follower].replica->provenAt(), cluster.now - seconds(1) + cluster.nodes[follower].clockOffset);
    EXPECT_NE(cluster.nodes[oldLeader].replica->role(), LogRole::Leader);
}

// Shows that check-quorum makes a partitioned leader step down.
TEST(LogReplicaTest, WithoutCheckQuorumTheOldLeaderKeepsAcceptingProposals)
{
    for (bool checkQuorum : { true, false }) {
        LogCluster cluster(3, 17, { .checkQuorum = checkQuorum });
        size_t oldLeader = cluster.waitForLeader();
        cluster.partition(oldLeader);
        cluster.run(seconds(10));
        auto error = cluster.propose(oldLeader, "never committed");
        EXPECT_EQ(error, checkQuorum ? std::error_code(ResultCode::NotLeader) : std::error_code());
    }
}

namespace {

    std::string confirmation(const char* plan, const char* operatorName)
    {
        return PlanStateMachine::encode(ConfirmCommand { PlanId(plan), OperatorName(operatorName) });
    }

    std::string proposal(const char* plan, const char* service)
    {
        ServiceItem item { .name = ServiceName(service) };
        PlanRequest request { .base = Revision(0), .changes = { SetItem { item } } };
        return PlanStateMachine::encode(ProposeCommand { PlanId(plan), request, OperatorName("anna") });
    }

    // The state machine after all committed entries.
    PlanStateMachine stateMachineOf(const LogCluster& cluster)
    {
        PlanStateMachine stateMachine;
        for (const LogEntry& entry : cluster.committed) {
            if (entry.kind == LogEntryKind::Command)
                stateMachine.apply(entry.payload);
        }
        return stateMachine;
    }

} // namespace

// Guards against two confirmed plans with the same base revision (I9): one operator confirms at a partitioned leader,
// the other at the leader that the majority elects.
TEST(LogReplicaTest, TwoOperatorsConfirmWhileTheLeaderIsPartitioned)
{
    for (bool checkQuorum : { true, false }) {
        LogCluster cluster(3, 17, { .checkQuorum = checkQuorum });
        size_t oldLeader = cluster.waitForLeader();
        EXPECT_FALSE(cluster.propose(oldLeader, proposal("p-1", "orders")));
        EXPECT_FALSE(cluster.propose(oldLeader, proposal("p-2", "loans")));
        cluster.run(seconds(1));
        cluster.partition(oldLeader);
        // Right after the partition the old leader still accepts the command, but cannot commit it.
        EXPECT_FALSE(cluster.propose(oldLeader, confirmation("p-1", "anna")));
        cluster.run(seconds(3));
        size_t newLeader = oldLeader;
        for (size_t i = 0; i < cluster.nodes.size(); ++i) {
            if (i != oldLeader && cluster.nodes[i].replica->role() == LogRole::Leader)
                newLeader = i;
        }
        ASSERT_NE(newLeader, oldLeader);
        EXPECT_FALSE(cluster.propose(newLeader, confirmation("p-2", "berta")));
        cluster.run(seconds(1));
        EXPECT_EQ(stateMachineOf(cluster).find(PlanId("p-2"))->status, PlanStatus::Confirmed);
        cluster.healPartitions();
        cluster.run(seconds(3));
        // The first operator retries.
        EXPECT_FALSE(cluster.propose(static_cast<size_t>(cluster.leader()), confirmation("p-1", "anna")));
        cluster.run(seconds(1));
        PlanStateMachine stateMachine = stateMachineOf(cluster);
        EXPECT_EQ(stateMachine.state().revision(), Revision(1));
        EXPECT_EQ(stateMachine.find(PlanId("p-1"))->status, PlanStatus::Conflicted);
        EXPECT_EQ(stateMachine.find(PlanId("p-2"))->status, PlanStatus::Confirmed);
        for (const LogCluster::Node& node : cluster.nodes)
            EXPECT_EQ(node.applied, cluster.committed.size());
    }
}

// Guards against old messages, delivered in a burst after a delay, that renew the proof of freshness.
TEST(LogReplicaTest, BurstOfOldMessagesRenewsNoProof)
{
    LogCluster cluster(3, 19);
    size_t leader = cluster.waitForLeader();
    cluster.run(seconds(1));
    size_t follower = firstIndexExcept(leader);
    LogCluster::Node& node = cluster.nodes[follower];
    cluster.delayedHost = node.options.self;
    TimePoint delayedSince = cluster.clock(node);
    cluster.run(milliseconds(400));
    cluster.partition(leader);
    cluster.run(seconds(5));
    cluster.healPartitions();
    cluster.crash(leader);
    cluster.delayedHost.reset();
    cluster.run(milliseconds(10));
    EXPECT_LE(node.replica->provenAt(), delayedSince);
}

// Guards against a leader that still acts as the leader when it resumes after a long suspension.
TEST(LogReplicaTest, SuspendedLeaderStepsDownWhenItResumes)
{
    LogCluster cluster(3, 23);
    size_t oldLeader = cluster.waitForLeader();
    cluster.run(seconds(1));
    cluster.nodes[oldLeader].isSuspended = true;
    cluster.run(seconds(5));
    EXPECT_FALSE(cluster.nodes[oldLeader].replica->hasLease(cluster.clock(cluster.nodes[oldLeader])));
    EXPECT_EQ(cluster.propose(oldLeader, "late"), ResultCode::NotLeader);
    cluster.nodes[oldLeader].isSuspended = false;
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_TRUE(cluster.converges());
    EXPECT_EQ(cluster.violation, "");
}

// Shows that pre-vote prevents a replica that returns from a partition from deposing the leader.
TEST(LogReplicaTest, WithoutPreVoteAReturningReplicaDeposesTheLeader)
{
    for (bool preVote : { true, false }) {
        LogCluster cluster(3, 29, { .preVote = preVote });
        size_t leader = cluster.waitForLeader();
        Term before = cluster.nodes[leader].replica->term();
        cluster.partition(firstIndexExcept(leader));
        cluster.run(seconds(10));
        cluster.healPartitions();
        cluster.run(seconds(10));
        Term after = cluster.nodes[cluster.waitForLeader()].replica->term();
        EXPECT_EQ(after == before, preVote);
    }
}

// Shows that acknowledged entries survive a power loss on all hosts only if replicas wait for the sync.
TEST(LogReplicaTest, WithoutWaitingForTheSyncAPowerLossLosesCommits)
{
    for (bool waitForSync : { true, false }) {
        LogCluster cluster(3, 31, { .waitForSync = waitForSync });
        cluster.waitForLeader();
        for (LogCluster::Node& node : cluster.nodes)
            node.syncProbability = 0.02;
        EXPECT_TRUE(cluster.commitsMoreEntries());
        for (size_t i = 0; i < 3; ++i)
            cluster.crash(i, true);
        for (size_t i = 0; i < 3; ++i) {
            cluster.nodes[i].syncProbability = 1;
            cluster.start(i);
        }
        EXPECT_TRUE(cluster.commitsMoreEntries());
        cluster.run(seconds(2));
        EXPECT_EQ(cluster.violation.empty(), waitForSync) << cluster.violation;
    }
}

// Guards against two overlapping membership changes, which could form disjoint quorums.
TEST(LogReplicaTest, SecondMembershipChangeWaitsForTheFirst)
{
    using Action = LogMembershipChange::Action;
    LogCluster cluster(5, 37);
    size_t leader = cluster.waitForLeader();
    const LogMembership initial = cluster.nodes[leader].replica->membership();
    const LogMember& first = initial.voters[firstIndexExcept(leader)];
    const LogMember& second = initial.voters[firstIndexExcept(leader, firstIndexExcept(leader))];
    EXPECT_EQ(cluster.change(firstIndexExcept(leader), Action::Remove, first), ResultCode::NotLeader);
    EXPECT_EQ(cluster.change(leader, Action::Remove, first), std::error_code());
    EXPECT_EQ(cluster.change(leader, Action::Remove, second), ResultCode::MembershipChangePending);
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_EQ(cluster.change(leader, Action::Remove, second), std::error_code());
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_EQ(cluster.nodes[leader].replica->membership().voters.size(), 3U);
    EXPECT_EQ(cluster.change(leader, Action::Add, first), std::error_code());
    EXPECT_EQ(cluster.change(leader, Action::Add, second), ResultCode::MembershipChangePending);
    EXPECT_TRUE(cluster.runUntil([&] { return cluster.nodes[leader].replica->membership().voters.size() == 4; }));
    // A leader that removes itself steps down after the commit.
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_EQ(cluster.change(leader, Action::Remove, initial.voters[leader]), std::error_code());
    EXPECT_TRUE(
        cluster.runUntil([&] { return cluster.leader() >= 0 && cluster.leader() != static_cast<int>(leader); }));
    EXPECT_TRUE(cluster.commitsMoreEntries());
    EXPECT_EQ(cluster.violation, "");
}

// Guards against backtracking by one entry per rejected request after a long divergence.
TEST(LogReplicaTest, DivergedFollowerIsRepairedWithFewRejections)
{
    LogCluster cluster(3, 41);
    size_t oldLeader = cluster.waitForLeader();
    cluster.partition(oldLeader);
    for (int i = 0; i < 500; ++i)
        cluster.propose(oldLeader, "diverged");
    cluster.run(seconds(3));
    EXPECT_TRUE(cluster.commitsMoreEntries(50));
    cluster.healPartitions();
    cluster.rejectedAppends = 0;
    EXPECT_TRUE(cluster.converges());
    EXPECT_LT(cluster.rejectedAppends, 10U);
    EXPECT_EQ(cluster.violation, "");
}

// Guards against unbounded memory while no quorum acknowledges entries.
TEST(LogReplicaTest, ProposalsAreRejectedWhenMemoryIsFull)
{
    LogCluster cluster(3, 43, { .maxEntriesInMemory = 100, .maxPayloadBytes = 10 });
    size_t leader = cluster.waitForLeader();
    cluster.partition(leader);
    EXPECT_EQ(cluster.propose(leader, "over eleven"), ResultCode::PlanTooLarge);
    std::error_code error;
    int accepted = 0;
    while (!(error = cluster.propose(leader, "x")) && accepted < 1000)
        ++accepted;
    EXPECT_EQ(error, ResultCode::QuorumLost);
    EXPECT_LT(accepted, 100);
}

// Guards against a crash or unbounded allocation on corrupt or malicious input.
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
