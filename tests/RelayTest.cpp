#include "bench/RelaySimulation.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const RelayOptions defaults {};

    Digest digestOf(uint64_t revision)
    {
        return RelaySimulation::digestOf(Revision(revision));
    }

    /// One daemon. The test sends the messages of its parent.
    class TestDaemon {
    public:
        explicit TestDaemon(RelayMechanisms mechanisms = {})
            : m_relay(options(mechanisms), m_now)
        {
            m_relay.setCandidates({ { parent, {}, true } }, 1, m_now);
            wait(defaults.backoffBase);
            m_relay.connected(parent, m_now);
            for (RelayOutput& output : m_relay.takeOutputs())
                if (auto* send = std::get_if<RelaySend>(&output))
                    if (auto* attach = std::get_if<RelayAttach>(&send->message))
                        m_session = attach->session;
        }

        /// Heartbeat of the parent. Echo and proof age are in milliseconds.
        RelayParentHeartbeat heartbeat(uint64_t echo, uint64_t proofAge, uint64_t revision, uint64_t term) const
        {
            RelayParentHeartbeat message;
            message.session = m_session;
            message.echo = echo;
            message.proofAge = proofAge;
            message.term = Term(term);
            message.held = HeldState { Revision(revision), digestOf(revision) };
            return message;
        }

        RelayParentHeartbeat withPayload(RelayParentHeartbeat message, uint64_t revision) const
        {
            message.payload
                = RelayPayload { RelayPayload::Kind::Snapshot, "x", { Revision(revision), digestOf(revision) } };
            return message;
        }

        void receive(const RelayMessage& message) { m_relay.receive(parent, message, m_now); }

        void wait(Duration duration)
        {
            m_now += duration;
            m_relay.tick(m_now);
        }

        std::vector<RelayEvent> events(RelayEvent::Kind kind)
        {
            std::vector<RelayEvent> result;
            for (RelayOutput& output : m_relay.takeOutputs())
                if (auto* event = std::get_if<RelayEvent>(&output))
                    if (event->kind == kind)
                        result.push_back(*event);
            return result;
        }

        Relay& relay() { return m_relay; }
        TimePoint now() const { return m_now; }

        const HostId parent { "parent" };

    private:
        static RelayOptions options(RelayMechanisms mechanisms)
        {
            RelayOptions options;
            options.self = HostId("daemon");
            options.mechanisms = mechanisms;
            options.payloadFor = [](Revision, Digest) { return RelayPayload {}; };
            options.accept = [](const RelayPayload& payload) { return AcceptResult { {}, payload.to }; };
            return options;
        }

        TimePoint m_now { seconds(100) };
        Relay m_relay;
        uint32_t m_session { 0 };
    };

    /// One control host. The test sends the messages of its children.
    class TestControlHost {
    public:
        explicit TestControlHost(size_t maxSnapshots)
            : m_relay(options(maxSnapshots), m_now)
        {
        }

        RelayAttach attach(uint64_t revision) const
        {
            RelayAttach message;
            message.session = 7;
            message.held = { Revision(revision), digestOf(revision) };
            message.summary.count = 1;
            return message;
        }

        RelayChildHeartbeat report(uint64_t revision) const
        {
            RelayChildHeartbeat message;
            message.session = 7;
            message.held = HeldState { Revision(revision), digestOf(revision) };
            return message;
        }

        /// Returns the messages sent in response.
        std::vector<RelaySend> receive(const std::string& child, const RelayMessage& message)
        {
            m_relay.receive(HostId(child), message, m_now);
            return sent();
        }

        std::vector<RelaySend> publish(uint64_t revision)
        {
            m_published = { Revision(revision), digestOf(revision) };
            m_relay.setLocal(m_published.revision, m_published.digest, Term(1), m_now);
            return sent();
        }

        std::vector<RelaySend> leave()
        {
            m_relay.leave(m_now);
            return sent();
        }

        /// States for which payloads were requested.
        std::vector<HeldState> requestedStates;

    private:
        RelayOptions options(size_t maxSnapshots)
        {
            RelayOptions options;
            options.self = HostId("control-host");
            options.isControl = true;
            options.maxSnapshotsInFlight = maxSnapshots;
            options.payloadFor = [this](Revision revision, Digest digest) {
                requestedStates.push_back({ revision, digest });
                return RelayPayload { RelayPayload::Kind::Snapshot, "x", m_published };
            };
            return options;
        }

        std::vector<RelaySend> sent()
        {
            std::vector<RelaySend> result;
            for (RelayOutput& output : m_relay.takeOutputs())
                if (auto* send = std::get_if<RelaySend>(&output))
                    result.push_back(std::move(*send));
            return result;
        }

        TimePoint m_now { seconds(100) };
        HeldState m_published;
        Relay m_relay;
    };

    size_t payloadsIn(const std::vector<RelaySend>& messages)
    {
        return static_cast<size_t>(std::count_if(messages.begin(), messages.end(), [](const RelaySend& send) {
            auto* heartbeat = std::get_if<RelayParentHeartbeat>(&send.message);
            return heartbeat && heartbeat->payload;
        }));
    }

    /// Code of the refusal among the messages; Ok if there is none.
    ResultCode refusalIn(const std::vector<RelaySend>& messages)
    {
        for (const RelaySend& send : messages)
            if (auto* refusal = std::get_if<RelayRefusal>(&send.message))
                return refusal->code;
        return ResultCode::Ok;
    }

    /// Upper bound of the time from a failure to the first response of a new parent, if `unresponsiveCandidates`
    /// candidates are tried first and don't respond. The backoff doubles with each failure.
    Duration reparentBound(Duration detection, unsigned unresponsiveCandidates)
    {
        Duration bound = detection + defaults.backoffBase;
        for (unsigned failure = 1; failure <= unresponsiveCandidates; ++failure)
            bound += defaults.attemptTimeout + defaults.backoffBase * (1U << failure);
        return bound + milliseconds(20);
    }

    /// An unresponsive parent is detected by the missing responses to its children's heartbeats.
    Duration unresponsivenessDetection()
    {
        return defaults.parentTimeout;
    }

    /// Returns a daemon on the given level with at least two children, or the first daemon if there is none.
    size_t relayOnLevel(RelaySimulation& simulation, unsigned level)
    {
        for (size_t host = simulation.firstDaemon(); host < simulation.size(); ++host)
            if (simulation.position(host).level == level && simulation.relay(host).childCount() > 1)
                return host;
        return simulation.firstDaemon();
    }

    std::vector<size_t> childrenOf(RelaySimulation& simulation, size_t parent)
    {
        std::vector<size_t> result;
        for (size_t host = simulation.firstDaemon(); host < simulation.size(); ++host)
            if (simulation.parentOf(host) == parent)
                result.push_back(host);
        return result;
    }

    /// Upper bound of the proof age in the steady state: one heartbeat interval at level 1, at most one more for all
    /// other levels until the heartbeats are aligned after a change of parents, the proof interval of the control host,
    /// and the hops.
    const Duration steadyStateAge = 2 * defaults.heartbeatInterval + milliseconds(200);

    void expectNoViolations(const RelaySimulation& simulation)
    {
        EXPECT_TRUE(simulation.violations().empty()) << simulation.violations().front();
    }

    void settle(RelaySimulation& simulation)
    {
        simulation.publish();
        simulation.run(seconds(5));
        ASSERT_TRUE(simulation.allHoldPublished());
        ASSERT_TRUE(simulation.allProven(steadyStateAge));
    }

} // namespace

// Guards against relays that forward changes only at a timer, and against proofs whose age grows with each level.
TEST(RelayTest, ChangeReachesAHundredDaemonsInOneDelayPerHop)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    unsigned hops = 0;
    for (size_t host = 1; host < simulation.size(); ++host) {
        ASSERT_TRUE(simulation.depth(host));
        hops = std::max(hops, *simulation.depth(host));
        EXPECT_TRUE(simulation.relay(host).isProvenCurrent());
    }
    EXPECT_EQ(hops, 3U);
    for (int change = 0; change < 10; ++change) {
        simulation.publish();
        auto time = simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(1));
        ASSERT_TRUE(time);
        EXPECT_EQ(*time, milliseconds(1) * hops);
        simulation.run(milliseconds(700));
        EXPECT_TRUE(simulation.allProven(steadyStateAge));
    }
    expectNoViolations(simulation);
}

// Guards against larger heartbeats. The limit is 80 B/s per daemon for both directions, including framing.
TEST(RelayTest, IdleTreeStaysWithinTrafficLimit)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    const auto sent = [&] {
        uint64_t total = 0;
        for (size_t host = 0; host < simulation.size(); ++host)
            total += simulation.bytesSent(host);
        return total;
    };
    uint64_t before = sent();
    simulation.run(seconds(20));
    EXPECT_LT((sent() - before) / 20.0 / 100, 80);
}

/// How a relay fails.
enum class Failure {
    Pause,
    Kill,
    /// Killed without closing its connections.
    SilentKill,
    Partition,
};

class RelayFailureTest : public testing::TestWithParam<std::tuple<Failure, unsigned>> { };

// Guards against children that stay with a failed parent, and against cascades: if the daemons below the children
// became stale too, the whole subtree would change parents at once.
TEST_P(RelayFailureTest, ChildrenFindANewParentInTime)
{
    auto [failure, level] = GetParam();
    RelaySimulation simulation({ .daemons = 300, .dataCentres = 2 });
    settle(simulation);
    const size_t failed = relayOnLevel(simulation, level);
    ASSERT_EQ(simulation.position(failed).level, level);
    std::vector<size_t> children = childrenOf(simulation, failed);
    uint64_t movedBefore = simulation.totals().parentsSelected;
    if (failure == Failure::Pause)
        simulation.pause(failed);
    else if (failure == Failure::Partition)
        simulation.setPartition({ failed }, 1);
    else
        simulation.kill(failed, failure == Failure::SilentKill);

    Duration detection = failure == Failure::Kill ? milliseconds(1) : unresponsivenessDetection();
    Duration bound = reparentBound(detection, 0);
    const auto haveMoved = [&] {
        return std::all_of(children.begin(), children.end(),
            [&](size_t child) { return simulation.parentOf(child) && *simulation.parentOf(child) != failed; });
    };
    auto time = simulation.runUntil(haveMoved, seconds(10));
    ASSERT_TRUE(time);
    EXPECT_LE(*time, bound);
    Duration oldest {};
    for (int i = 0; i < 50; ++i) {
        simulation.run(milliseconds(100));
        for (size_t host = 1; host < simulation.size(); ++host)
            if (host != failed)
                oldest = std::max(oldest, simulation.now() - *simulation.relay(host).provenAt());
    }
    EXPECT_LE(oldest, defaults.freshnessLimit);
    EXPECT_LE(simulation.totals().parentsSelected - movedBefore, children.size() + 1);
    expectNoViolations(simulation);
}

INSTANTIATE_TEST_SUITE_P(AnyDepth, RelayFailureTest,
    testing::Combine(testing::Values(Failure::Pause, Failure::Kill, Failure::SilentKill, Failure::Partition),
        testing::Values(1U, 2U, 3U)));

// Guards against a subtree that stays with a control host that still responds but can't reach the leader.
TEST(RelayTest, ControlHostCutFromLeaderLosesItsSubtree)
{
    RelaySimulation simulation({ .daemons = 300, .dataCentres = 4, .controlHosts = 3 });
    settle(simulation);
    size_t isolated = simulation.relay(1).childCount() > 0 ? 1 : 2;
    ASSERT_GT(simulation.relay(isolated).childCount(), 0U);
    const size_t levelOneChildren = simulation.relay(isolated).childCount();
    const uint64_t selectedBefore = simulation.totals().parentsSelected;
    simulation.setPartitionedFromLeader(isolated, true);
    simulation.publish();
    // Proofs are at most one interval old when the partition begins. The level-1 members move first and then provide
    // fresh proofs to the levels below.
    auto time = simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(10));
    ASSERT_TRUE(time);
    EXPECT_LE(*time, reparentBound(defaults.freshnessLimit, 0));
    EXPECT_EQ(simulation.relay(isolated).childCount(), 0U);
    simulation.run(seconds(1));
    // The levels below have a longer limit and become fresh again before it ends.
    EXPECT_EQ(simulation.totals().parentsSelected - selectedBefore, levelOneChildren);
    EXPECT_TRUE(simulation.allProven(steadyStateAge));
    expectNoViolations(simulation);
}

// Two of five control hosts lose the leader one after the other, and some daemons have both as their first candidates.
// Guards against a daemon that waits a full freshness limit for each of them. A daemon was four seconds behind for this
// reason.
TEST(RelayTest, SecondStaleParentGetsNoFullFreshnessLimit)
{
    for (Duration gap : { milliseconds(600), milliseconds(800), milliseconds(1500) }) {
        RelaySimulation simulation({ .daemons = 12, .dataCentres = 3, .controlHosts = 5, .tree = {} });
        settle(simulation);
        simulation.run(seconds(1));
        for (size_t daemon = 5; daemon < simulation.size(); ++daemon)
            simulation.setCandidates(daemon, { 1, 2, 3, 4, 0 });
        simulation.run(seconds(40));
        simulation.setPartitionedFromLeader(1, true);
        simulation.run(gap);
        simulation.setPartitionedFromLeader(2, true);
        simulation.publish();
        auto time = simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(10));
        ASSERT_TRUE(time);
        EXPECT_LE(*time, defaults.freshnessLimit + milliseconds(1000)) << gap.count();
    }
}

// Guards against messages from before a pause that advance the proof. They are old regardless of their age field.
TEST(RelayTest, OldMessagesDoNotAdvanceTheProof)
{
    TestDaemon daemon;
    daemon.receive(daemon.withPayload(daemon.heartbeat(0, 10, 1, 1), 1));
    TimePoint proof = *daemon.relay().provenAt();
    daemon.wait(milliseconds(900));
    for (int i = 0; i < 5; ++i)
        daemon.receive(daemon.heartbeat(0, 10, 1, 1));
    EXPECT_EQ(*daemon.relay().provenAt(), proof);
}

TEST(RelayTest, OldMessagesAdvanceTheProofWithoutEchoes)
{
    TestDaemon daemon({ .echoes = false });
    daemon.receive(daemon.withPayload(daemon.heartbeat(0, 10, 1, 1), 1));
    daemon.wait(milliseconds(900));
    daemon.receive(daemon.heartbeat(0, 10, 1, 1));
    EXPECT_EQ(*daemon.relay().provenAt(), daemon.now() - milliseconds(10));
}

// Guards against stale responses that are delivered late and make a child appear current although a newer revision was
// published after they were sent.
TEST(RelayTest, DelayedMessagesCauseFalseProofsOnlyWithoutEchoes)
{
    for (bool echoes : { true, false }) {
        RelaySimulation simulation(
            { .daemons = 60, .dataCentres = 2, .seed = 3, .adjust = [&](size_t, RelayOptions& options) {
                 options.mechanisms.echoes = echoes;
             } });
        settle(simulation);
        for (int round = 0; round < 20; ++round) {
            size_t relay = relayOnLevel(simulation, 1 + round % 2);
            simulation.setStalled(relay, true);
            // Shorter than `parentTimeout`, after which the children would leave.
            simulation.run(milliseconds(200));
            simulation.publish();
            simulation.run(milliseconds(350));
            simulation.setStalled(relay, false);
            simulation.run(milliseconds(1370));
        }
        EXPECT_EQ(simulation.violations().empty(), echoes);
    }
}

// Guards against a proof for a state that the daemon does not hold.
TEST(RelayTest, ProofRequiresTheParentsRevisionAndDigest)
{
    TestDaemon daemon;
    daemon.receive(daemon.heartbeat(0, 10, 5, 1));
    EXPECT_FALSE(daemon.relay().provenAt());
    daemon.receive(daemon.withPayload(daemon.heartbeat(0, 10, 5, 1), 4));
    EXPECT_FALSE(daemon.relay().provenAt());
    RelayParentHeartbeat other = daemon.heartbeat(0, 10, 4, 1);
    other.held->digest = digestOf(3);
    daemon.receive(other);
    EXPECT_FALSE(daemon.relay().provenAt());
    daemon.receive(daemon.heartbeat(0, 10, 4, 1));
    EXPECT_TRUE(daemon.relay().provenAt());
}

// Guards against echoes of timestamps that were never sent and against messages of another session.
TEST(RelayTest, InvalidEchoesAndSessionsAreRejected)
{
    TestDaemon daemon;
    RelayParentHeartbeat old = daemon.withPayload(daemon.heartbeat(0, 10, 1, 1), 1);
    ++old.session;
    daemon.receive(old);
    EXPECT_EQ(daemon.relay().counters().staleSession, 1U);
    daemon.receive(daemon.heartbeat(1000, 10, 1, 1));
    EXPECT_EQ(daemon.relay().counters().invalidEcho, 1U);
    EXPECT_FALSE(daemon.relay().provenAt());
    EXPECT_FALSE(daemon.relay().parent());
}

// Guards against accepting configuration of a deposed leader.
TEST(RelayTest, LowerTermIsRejectedAndCounted)
{
    for (bool termCheck : { true, false }) {
        TestDaemon daemon({ .termCheck = termCheck });
        daemon.receive(daemon.withPayload(daemon.heartbeat(0, 10, 1, 5), 1));
        daemon.receive(daemon.withPayload(daemon.heartbeat(0, 0, 2, 4), 2));
        EXPECT_EQ(daemon.relay().held().revision, Revision(termCheck ? 1 : 2));
        EXPECT_EQ(daemon.relay().counters().staleTerm, termCheck ? 1U : 0U);
        EXPECT_EQ(daemon.events(RelayEvent::Kind::MessageRefused).size(), termCheck ? 1U : 0U);
        // The same parent is accepted again once it sends the newer term.
        daemon.receive(daemon.withPayload(daemon.heartbeat(0, 0, 3, 5), 3));
        EXPECT_EQ(daemon.relay().held().revision, Revision(3));
    }
}

// Guards against a rollback caused by a payload that arrives late.
TEST(RelayTest, OlderPayloadIsRejected)
{
    TestDaemon daemon;
    daemon.receive(daemon.withPayload(daemon.heartbeat(0, 10, 3, 1), 3));
    daemon.receive(daemon.withPayload(daemon.heartbeat(0, 10, 2, 1), 2));
    EXPECT_EQ(daemon.relay().held().revision, Revision(3));
    EXPECT_EQ(daemon.relay().counters().staleRevision, 1U);
}

// Guards against a restarted daemon that serves an older revision than before its restart, because the only reachable
// relay missed the last change.
TEST(RelayTest, RestartedDaemonIsNotProvenCurrentBehindAStaleRelay)
{
    for (bool proofSinceStart : { true, false }) {
        RelaySimulation simulation({ .daemons = 40, .dataCentres = 2, .adjust = [&](size_t, RelayOptions& options) {
                                        options.mechanisms.proofSinceStart = proofSinceStart;
                                    } });
        settle(simulation);
        size_t relay = simulation.size() - 2;
        size_t daemon = simulation.size() - 1;
        simulation.setPartition({ relay }, 1);
        simulation.publish();
        simulation.run(seconds(1));
        ASSERT_EQ(simulation.relay(daemon).held().revision, Revision(2));
        simulation.setPartition({ daemon }, 1);
        simulation.setCandidates(daemon, { relay });
        simulation.restart(daemon);
        simulation.run(seconds(5));
        EXPECT_EQ(simulation.relay(daemon).held().revision, Revision(1)) << "data is served without a proof";
        EXPECT_EQ(simulation.relay(daemon).isProvenCurrent(), !proofSinceStart);
        EXPECT_EQ(simulation.violations().empty(), proofSinceStart);
        simulation.setPartition({ relay, daemon }, 0);
        simulation.run(seconds(10));
        EXPECT_TRUE(simulation.relay(daemon).isProvenCurrent());
        EXPECT_EQ(simulation.relay(daemon).held().revision, Revision(2));
    }
}

// Guards against a restarted daemon that counts as proven current due to a proof from before the restart, or while all
// control hosts are down.
TEST(RelayTest, NotProvenCurrentWhileAllControlHostsAreDown)
{
    RelaySimulation simulation({ .daemons = 60, .dataCentres = 2, .controlHosts = 3 });
    settle(simulation);
    for (size_t host = 0; host < 3; ++host)
        simulation.kill(host, true);
    simulation.run(seconds(3));
    size_t restarted = simulation.size() - 1;
    size_t other = simulation.size() - 2;
    simulation.restart(restarted);
    simulation.run(seconds(20));
    EXPECT_FALSE(simulation.relay(restarted).isProvenCurrent());
    EXPECT_TRUE(simulation.relay(other).isProvenCurrent()) << "those that did not restart continue";
    EXPECT_EQ(simulation.relay(restarted).held().revision, Revision(1)) << "relays serve data without a proof";
    for (size_t host = 0; host < 3; ++host)
        simulation.restart(host);
    auto time = simulation.runUntil([&] { return simulation.relay(restarted).isProvenCurrent(); }, seconds(30));
    ASSERT_TRUE(time);
    expectNoViolations(simulation);
}

namespace {

    // Restarts a third of the daemons while all control hosts are down. Returns how many of the restarted ones count
    // as proven current.
    size_t restartThirdWithoutControlHosts(RelaySimulation& simulation)
    {
        settle(simulation);
        for (size_t host = 0; host < simulation.firstDaemon(); ++host)
            simulation.kill(host, true);
        simulation.run(seconds(3));
        for (size_t host = simulation.firstDaemon(); host < simulation.size(); host += 3)
            simulation.restart(host);
        simulation.run(seconds(20));
        size_t provenCurrent = 0;
        for (size_t host = simulation.firstDaemon(); host < simulation.size(); host += 3)
            provenCurrent += simulation.relay(host).isProvenCurrent() ? 1 : 0;
        return provenCurrent;
    }

} // namespace

// Guards against restarted daemons that prove each other current while the control hosts are down, and against a fleet
// that does not recover when they are back (I1, I9).
TEST(RelayTest, MassRestartDuringControlHostOutageLeavesDaemonsUnprovenUntilItEnds)
{
    RelaySimulation simulation({ .daemons = 60, .dataCentres = 3, .controlHosts = 3 });
    EXPECT_EQ(restartThirdWithoutControlHosts(simulation), 0U);
    for (size_t host = simulation.firstDaemon() + 1; host < simulation.size(); host += 3)
        EXPECT_TRUE(simulation.relay(host).isProvenCurrent()) << "those that did not restart continue";
    for (size_t host = 0; host < simulation.firstDaemon(); ++host)
        simulation.restart(host);
    simulation.publish();
    auto isRecovered = [&] { return simulation.allHoldPublished() && simulation.allProven(seconds(2)); };
    EXPECT_TRUE(simulation.runUntil(isRecovered, seconds(30)));
    expectNoViolations(simulation);
}

// Shows that only the required proof from after the start prevents the restarted daemons from serving.
TEST(RelayTest, MassRestartDuringControlHostOutageServesWithoutRequiredProof)
{
    RelaySimulation simulation(
        { .daemons = 60, .dataCentres = 3, .controlHosts = 3, .adjust = [](size_t, RelayOptions& options) {
             options.mechanisms.proofSinceStart = false;
         } });
    EXPECT_EQ(restartThirdWithoutControlHosts(simulation), 20U);
}

// Guards against a daemon that counts as proven current before its first heartbeat after the start has been answered.
TEST(RelayTest, ProvenCurrentNeedsAnAnswerFromAfterTheStart)
{
    TestDaemon daemon;
    // The session began 50 ms after the start of the daemon, so a proof of 60 ms age is from before the start.
    daemon.receive(daemon.withPayload(daemon.heartbeat(0, 60, 1, 1), 1));
    EXPECT_TRUE(daemon.relay().provenAt());
    EXPECT_FALSE(daemon.relay().isProvenCurrent());
    daemon.receive(daemon.heartbeat(0, 10, 1, 1));
    EXPECT_TRUE(daemon.relay().isProvenCurrent());
}

// Guards against a daemon that keeps a corrupted state, or forwards it undetected.
TEST(RelayTest, EqualRevisionWithAnotherDigestIsReplacedBySnapshot)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    size_t damaged = relayOnLevel(simulation, 2);
    simulation.corrupt(damaged);
    simulation.run(seconds(5));
    for (size_t host = 1; host < simulation.size(); ++host)
        EXPECT_EQ(simulation.relay(host).held().digest, digestOf(1)) << host;
    EXPECT_GE(simulation.relay(damaged).counters().digestMismatch, 1U);
    EXPECT_GE(simulation.relay(damaged).counters().snapshotRequests, 1U);
    bool isReported = std::any_of(simulation.events().begin(), simulation.events().end(), [&](const auto& entry) {
        return entry.host == damaged && entry.event.kind == RelayEvent::Kind::DigestMismatch;
    });
    EXPECT_TRUE(isReported);
    EXPECT_TRUE(simulation.allProven(steadyStateAge));
}

// Guards against an invalid revision that blocks distribution, is sent repeatedly, or makes daemons change parents.
TEST(RelayTest, RefusedRevisionIsReportedAndTheNextOneApplied)
{
    RelaySimulation simulation({ .daemons = 50, .dataCentres = 2 });
    settle(simulation);
    RelayCounters before = simulation.totals();
    simulation.refuse(Revision(2));
    simulation.publish();
    simulation.run(seconds(1));
    // The four level-1 members refuse it, so it is not forwarded.
    RelayCounters refused = simulation.totals();
    EXPECT_EQ(refused.revisionsRefused - before.revisionsRefused, 4U);
    AckSummary acks = simulation.relay(0).acks();
    EXPECT_EQ(acks.lowest, Revision(1));
    ASSERT_EQ(acks.refusals.size(), 4U);
    EXPECT_EQ(acks.refusals[0].revision, Revision(2));
    EXPECT_EQ(acks.refusals[0].code, ResultCode::InvalidConfiguration);
    simulation.publish();
    simulation.run(seconds(1));
    EXPECT_TRUE(simulation.allHoldPublished());
    EXPECT_TRUE(simulation.relay(0).acks().refusals.empty());
    EXPECT_TRUE(simulation.allProven(steadyStateAge));
    EXPECT_EQ(simulation.totals().parentsSelected, before.parentsSelected);
    expectNoViolations(simulation);
}

// Guards against mass restarts that overload relays with snapshots.
TEST(RelayTest, MassRestartRespectsTheSnapshotLimit)
{
    for (bool limited : { true, false }) {
        RelaySimulation simulation({ .daemons = 200, .dataCentres = 2, .adjust = [&](size_t, RelayOptions& options) {
                                        options.mechanisms.snapshotLimit = limited;
                                    } });
        settle(simulation);
        for (size_t host = 1; host < simulation.size(); host += 3)
            simulation.restart(host);
        const auto isDone = [&] { return simulation.allHoldPublished() && simulation.allProven(steadyStateAge); };
        auto time = simulation.runUntil(isDone, seconds(30));
        ASSERT_TRUE(time);
        EXPECT_LE(*time, seconds(6));
        if (limited)
            EXPECT_LE(simulation.maxSnapshotsInFlight(), defaults.maxSnapshotsInFlight);
        else
            EXPECT_GT(simulation.maxSnapshotsInFlight(), defaults.maxSnapshotsInFlight);
        expectNoViolations(simulation);
    }
}

// Guards against daemons that retry without backoff while no host accepts them.
TEST(RelayTest, BackoffLimitsAttemptsDuringAnOutage)
{
    uint64_t attempts[2];
    for (bool backoff : { true, false }) {
        RelaySimulation simulation({ .daemons = 20, .dataCentres = 1, .adjust = [&](size_t, RelayOptions& options) {
                                        options.mechanisms.backoff = backoff;
                                    } });
        settle(simulation);
        uint64_t before = simulation.totals().attempts;
        simulation.kill(0, false);
        simulation.run(seconds(20));
        attempts[backoff] = simulation.totals().attempts - before;
    }
    std::printf("attempts in 20 s: %lu with backoff, %lu without\n", attempts[true], attempts[false]);
    EXPECT_LT(attempts[true], 20U * 25);
    EXPECT_GT(attempts[false], 10 * attempts[true]);
}

// Guards against a loop of daemons that are each other's parents and keep each other's proofs fresh.
TEST(RelayTest, LoopDoesNotAdvanceProofsAndIsDissolved)
{
    RelaySimulation simulation({ .daemons = 30, .dataCentres = 1 });
    settle(simulation);
    const std::vector<size_t> loop { 28, 29, 30 };
    simulation.setCandidates(28, { 29, 0 });
    simulation.setCandidates(29, { 30, 0 });
    simulation.setCandidates(30, { 28, 0 });
    const auto isLoop = [&] { return !simulation.depth(28) && simulation.parentOf(28) && simulation.parentOf(29); };
    ASSERT_TRUE(simulation.runUntil(isLoop, seconds(2)));
    TimePoint formed = simulation.now();
    simulation.publish();
    const auto isDissolved = [&] {
        bool claims = std::any_of(loop.begin(), loop.end(),
            [&](size_t host) { return !simulation.depth(host) && *simulation.relay(host).provenAt() > formed; });
        EXPECT_FALSE(claims);
        return std::all_of(loop.begin(), loop.end(), [&](size_t host) { return simulation.depth(host).has_value(); });
    };
    auto time = simulation.runUntil(isDissolved, seconds(10));
    ASSERT_TRUE(time);
    Duration grace = defaults.freshnessGracePerLevel * (simulation.position(28).level - 1);
    EXPECT_LE(*time, reparentBound(defaults.freshnessLimit + grace, 0));
    simulation.run(seconds(1));
    EXPECT_TRUE(simulation.allHoldPublished());
    expectNoViolations(simulation);
}

// Guards against sending one payload for each change of a quick series.
TEST(RelayTest, QuickChangesAreMerged)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2, .latency = milliseconds(10) });
    settle(simulation);
    uint64_t before = simulation.totals().deltasSent;
    for (int change = 0; change < 100; ++change) {
        simulation.publish();
        simulation.run(milliseconds(1));
    }
    auto time = simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(1));
    ASSERT_TRUE(time);
    // With one payload in flight, the round trip of 20 ms allows six of them in 100 ms.
    EXPECT_LE(simulation.totals().deltasSent - before, 100U * 7);
    expectNoViolations(simulation);
}

// Guards against wrong totals at the control host, missing stragglers, and one upward message per daemon and change.
TEST(RelayTest, AcknowledgementsAreAggregated)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    simulation.run(seconds(1));
    EXPECT_EQ(simulation.relay(0).acks(), (AckSummary { Revision(1), 101, {}, {} }));
    size_t leaf = simulation.size() - 1;
    while (simulation.relay(leaf).childCount() > 0 || simulation.position(leaf).level < 3)
        --leaf;
    simulation.pause(leaf);
    uint64_t received = simulation.bytesReceived(0);
    simulation.publish();
    simulation.run(milliseconds(1500));
    AckSummary acks = simulation.relay(0).acks();
    EXPECT_EQ(acks.lowest, Revision(1));
    ASSERT_EQ(acks.stragglers.size(), 1U);
    EXPECT_EQ(acks.stragglers[0], (Straggler { simulation.id(leaf), Revision(1) }));
    // Each of the four level-1 members sends the heartbeats of 1.5 s, a state and a few summaries.
    EXPECT_LT(simulation.bytesReceived(0) - received, 4U * 400);
    simulation.run(defaults.childTimeout);
    EXPECT_EQ(simulation.relay(0).acks(), (AckSummary { Revision(2), 100, {}, {} }));
    simulation.resume(leaf);
    simulation.run(seconds(3));
    EXPECT_EQ(simulation.relay(0).acks(), (AckSummary { Revision(2), 101, {}, {} }));
}

// Guards against a graceful shutdown that disconnects children.
TEST(RelayTest, GracefulLeaveMovesChildrenFirst)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    size_t leaving = relayOnLevel(simulation, 2);
    std::vector<size_t> children = childrenOf(simulation, leaving);
    simulation.relay(leaving).leave(simulation.now());
    simulation.run(Duration {});
    auto time = simulation.runUntil([&] { return simulation.relay(leaving).hasLeft(); }, seconds(10));
    ASSERT_TRUE(time);
    EXPECT_LE(*time, seconds(1));
    for (size_t child : children) {
        EXPECT_TRUE(simulation.depth(child));
        EXPECT_NE(simulation.parentOf(child), leaving);
    }
    bool wasDisconnected = std::any_of(simulation.events().begin(), simulation.events().end(), [](const auto& entry) {
        return entry.event.kind == RelayEvent::Kind::ParentLost && entry.event.code != ResultCode::Ok;
    });
    EXPECT_FALSE(wasDisconnected);
    EXPECT_TRUE(simulation.allProven(steadyStateAge));
}

// Guards against a daemon that serves an old configuration for the whole of its graceful shutdown, because it has left
// its parent at the start.
TEST(RelayTest, LeavingDaemonStillAppliesChanges)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    const size_t relay = relayOnLevel(simulation, 1);
    const size_t leaf = simulation.size() - 1;
    for (size_t leaving : { relay, leaf })
        simulation.relay(leaving).leave(simulation.now());
    simulation.run(seconds(3));
    ASSERT_TRUE(simulation.relay(relay).hasLeft());
    simulation.publish();
    auto time = simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(3));
    ASSERT_TRUE(time);
    EXPECT_LE(*time, milliseconds(100));
}

// Guards against a daemon that serves an old configuration because its parent fails while it is leaving.
TEST(RelayTest, LeavingDaemonReplacesALostParent)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    const size_t parent = relayOnLevel(simulation, 2);
    for (size_t leaving : childrenOf(simulation, parent))
        simulation.relay(leaving).leave(simulation.now());
    simulation.run(milliseconds(100));
    simulation.kill(parent, true);
    simulation.publish();
    EXPECT_TRUE(simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(3)));
}

// Guards against a relay that accepts too many children, and against refused children that stop retrying.
TEST(RelayTest, FullRelayRefusesAndTheChildAttachesElsewhere)
{
    RelaySimulation simulation({ .daemons = 60, .dataCentres = 2, .adjust = [](size_t host, RelayOptions& options) {
                                    options.maxChildren = host == 0 ? 64 : 5;
                                } });
    simulation.publish();
    auto time = simulation.runUntil([&] { return simulation.allHoldPublished(); }, seconds(20));
    ASSERT_TRUE(time);
    for (size_t host = 1; host < simulation.size(); ++host)
        EXPECT_LE(simulation.relay(host).childCount(), 5U);
    EXPECT_GT(simulation.totals().childrenRefused, 0U);
}

// Guards against a daemon that, after a pause of its process, replaces its parent or accepts queued messages as proof.
TEST(RelayTest, ResumedDaemonKeepsItsParentAndRenewsItsProof)
{
    RelaySimulation simulation({ .daemons = 60, .dataCentres = 2 });
    settle(simulation);
    size_t paused = simulation.size() - 1;
    std::optional<size_t> parent = simulation.parentOf(paused);
    TimePoint pausedAt = simulation.now();
    simulation.pause(paused);
    // Long enough to be detected, short enough that the parent has not dropped the child yet.
    simulation.run(milliseconds(1900));
    simulation.publish();
    simulation.resume(paused);
    EXPECT_LE(*simulation.relay(paused).provenAt(), pausedAt);
    EXPECT_EQ(simulation.relay(paused).counters().pauses, 1U);
    simulation.run(milliseconds(100));
    EXPECT_EQ(simulation.parentOf(paused), parent);
    EXPECT_GT(*simulation.relay(paused).provenAt(), pausedAt);
    expectNoViolations(simulation);
}

// Guards against daemons that all change parents after the machines were suspended.
TEST(RelayTest, SuspensionOfAllHostsKeepsTheTree)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    RelayCounters before = simulation.totals();
    for (size_t host = 0; host < simulation.size(); ++host)
        simulation.pause(host);
    simulation.run(seconds(60));
    for (size_t host = 0; host < simulation.size(); ++host)
        simulation.resume(host);
    simulation.run(seconds(3));
    EXPECT_TRUE(simulation.allProven(steadyStateAge));
    EXPECT_EQ(simulation.totals().attempts, before.attempts);
    expectNoViolations(simulation);
}

// Guards against daemons that keep changing between equally stale parents.
TEST(RelayTest, QuorumLossDoesNotRearrangeTheTree)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2, .controlHosts = 3 });
    settle(simulation);
    uint64_t before = simulation.totals().parentsSelected;
    simulation.setQuorum(false);
    simulation.run(seconds(60));
    EXPECT_EQ(simulation.totals().parentsSelected, before);
    simulation.setQuorum(true);
    simulation.run(seconds(3));
    EXPECT_TRUE(simulation.allProven(steadyStateAge));
}

// Guards against children that do not return to a preferred parent after its restart.
TEST(RelayTest, ChildrenReturnToAPreferredParent)
{
    RelaySimulation simulation({ .daemons = 100, .dataCentres = 2 });
    settle(simulation);
    size_t relay = relayOnLevel(simulation, 2);
    std::vector<size_t> children = childrenOf(simulation, relay);
    simulation.kill(relay, false);
    simulation.run(seconds(5));
    simulation.restart(relay);
    simulation.run(2 * defaults.improvementInterval);
    EXPECT_EQ(childrenOf(simulation, relay), children);
    expectNoViolations(simulation);
}

// Guards against a child that ignores the retry hint of a relay that refused it.
TEST(RelayTest, RetryAfterIsRespected)
{
    TestDaemon daemon;
    RelayRefusal refusal;
    refusal.session = daemon.heartbeat(0, 0, 1, 1).session;
    refusal.code = ResultCode::SnapshotLimit;
    refusal.retryAfter = 1000;
    daemon.receive(refusal);
    for (int i = 0; i < 99; ++i)
        daemon.wait(milliseconds(10));
    EXPECT_EQ(daemon.relay().counters().attempts, 1U);
    for (int i = 0; i < 50; ++i)
        daemon.wait(milliseconds(10));
    EXPECT_EQ(daemon.relay().counters().attempts, 2U);
}

// Guards against a child that gets its snapshot only at its next heartbeat although a snapshot slot is free.
TEST(RelayTest, WaitingChildIsServedWhenASlotIsFree)
{
    TestControlHost controlHost(2);
    for (const char* child : { "a", "b", "c" })
        controlHost.receive(child, controlHost.attach(0));
    EXPECT_EQ(payloadsIn(controlHost.publish(1)), 2U);
    std::vector<RelaySend> sent = controlHost.receive("a", controlHost.report(1));
    ASSERT_EQ(payloadsIn(sent), 1U);
    EXPECT_EQ(sent[0].to, HostId("c"));
    controlHost.receive("b", controlHost.report(1));
    controlHost.receive("c", controlHost.report(1));
    controlHost.publish(2);
    EXPECT_EQ(refusalIn(controlHost.receive("d", controlHost.attach(0))), ResultCode::SnapshotLimit);
}

// Guards against answering a request for a snapshot with a delta, which the child can't apply.
TEST(RelayTest, SnapshotRequestIsAnsweredForAnEmptyState)
{
    TestControlHost controlHost(4);
    controlHost.publish(2);
    controlHost.receive("a", controlHost.attach(1));
    EXPECT_EQ(controlHost.requestedStates.back().revision, Revision(1));
    RelayChildHeartbeat request = controlHost.report(1);
    request.wantsSnapshot = true;
    EXPECT_EQ(payloadsIn(controlHost.receive("a", request)), 1U);
    EXPECT_EQ(controlHost.requestedStates.back(), HeldState {});
}

// Guards against a child that gets no response from a relay that has dropped it or is shutting down.
TEST(RelayTest, UnknownChildAndLateAttachAreRefused)
{
    TestControlHost controlHost(4);
    EXPECT_EQ(refusalIn(controlHost.receive("a", controlHost.report(1))), ResultCode::PeerClosed);
    controlHost.receive("a", controlHost.attach(0));
    EXPECT_EQ(refusalIn(controlHost.receive("a", controlHost.report(0))), ResultCode::Ok);
    controlHost.leave();
    EXPECT_EQ(refusalIn(controlHost.receive("b", controlHost.attach(0))), ResultCode::DaemonLeaving);
}

// Injects random faults. RelaySimulation checks its invariants after every input; then the tree must recover. Guards
// against rollbacks, false proofs, lost updates and daemons that stay behind.
RC_GTEST_PROP(RelayTest, InvariantsHoldUnderRandomFaults, ())
{
    // Use the full size from the first case on; otherwise most cases would have the same few seeds.
    const auto seed = *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<uint32_t>());
    RelaySimulation simulation(
        { .daemons = 40, .dataCentres = 3, .regions = 2, .controlHosts = 3, .seed = seed, .jitter = milliseconds(20) });
    simulation.publish();
    simulation.run(seconds(2));
    std::mt19937_64 random(seed);
    const auto below = [&](uint64_t limit) { return std::uniform_int_distribution<uint64_t>(0, limit - 1)(random); };
    uint64_t term = 1;
    for (int step = 0; step < 60; ++step) {
        size_t host = below(simulation.size());
        switch (below(10)) {
        case 0:
            simulation.pause(host);
            break;
        case 1:
            simulation.resume(host);
            break;
        case 2:
            simulation.restart(host);
            break;
        case 3:
            simulation.setPartition({ host, below(simulation.size()) }, static_cast<int>(below(2)));
            break;
        case 4:
            simulation.disconnectParent(host);
            break;
        case 5:
            simulation.setQuorum(below(4) != 0);
            break;
        case 6:
            simulation.setTerm(Term(++term));
            break;
        case 7:
            simulation.setStalled(host, below(2) == 0);
            break;
        case 8:
            simulation.setPartitionedFromLeader(1 + below(2), below(2) == 0);
            break;
        default:
            simulation.publish();
        }
        simulation.run(milliseconds(below(700)));
    }
    std::vector<size_t> all;
    for (size_t host = 0; host < simulation.size(); ++host) {
        simulation.resume(host);
        simulation.setStalled(host, false);
        all.push_back(host);
    }
    simulation.setPartition(all, 0);
    simulation.setQuorum(true);
    simulation.setPartitionedFromLeader(1, false);
    simulation.setPartitionedFromLeader(2, false);
    simulation.publish();
    const auto isDone = [&] { return simulation.allHoldPublished() && simulation.allProven(steadyStateAge); };
    auto time = simulation.runUntil(isDone, seconds(20));
    RC_ASSERT(simulation.violations() == std::vector<std::string>());
    RC_ASSERT(time.has_value());
}

} // namespace dragonflylane
