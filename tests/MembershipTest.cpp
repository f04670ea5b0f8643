#include "dragonflylane/Membership.h"
#include "bench/VirtualMesh.h"
#include "dragonflylane/GossipWire.h"

#include <array>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace dragonflylane {

namespace {

    using namespace std::chrono_literals;

    // Derived from the options: some member probes the failed one within 5 periods (if n members choose at random, none
    // does with probability e^-5 for large n, and each iterates over a shuffled list), the probe takes 1 period, the
    // suspicion 5, and the dissemination of both records 2.
    constexpr int detectionPeriods = 13;
    const Duration detectionLimit = MembershipOptions {}.probePeriod * detectionPeriods;

    void awaitConvergence(VirtualMesh& mesh, Duration limit = 60s)
    {
        ASSERT_TRUE(mesh.runUntil([&] { return mesh.isConverged(); }, limit));
    }

    MemberRecord makeRecord(size_t daemon, uint64_t sequence = 0)
    {
        return { .host = VirtualMesh::hostOf(daemon),
            .address = VirtualMesh::addressOf(daemon),
            .bootId = BootId(daemon + 1),
            .incarnation = Incarnation(1),
            .sequence = Sequence(sequence) };
    }

    GossipRecords recordsMessage(MemberRecord record)
    {
        return { .piggyback = { .records = { std::move(record) } } };
    }

    uint64_t sumCounter(VirtualMesh& mesh, uint64_t MembershipCounters::*counter)
    {
        uint64_t sum = 0;
        for (size_t i = 0; i < mesh.size(); ++i)
            sum += mesh.isRunning(i) ? mesh.at(i).counters().*counter : 0;
        return sum;
    }

    /// True if every daemon has every other one as present, with a record of at least this sequence.
    bool allKnowAll(const VirtualMesh& mesh, Sequence sequence)
    {
        for (size_t observer = 0; observer < mesh.size(); ++observer) {
            for (size_t subject = 0; subject < mesh.size(); ++subject) {
                const MemberRecord* record = mesh.view(observer, subject);
                if (!record || !record->isPresent() || record->sequence < sequence)
                    return false;
            }
        }
        return true;
    }

    void publishUpstreams(VirtualMesh& mesh)
    {
        for (size_t daemon = 0; daemon < mesh.size(); ++daemon)
            mesh.call(daemon, [&](Membership& membership, TimePoint now) {
                membership.setUpstream(UpstreamRecord { .id = UpstreamId("upstream-" + std::to_string(daemon)) }, now);
            });
    }

} // namespace

class MembershipLossTest : public testing::TestWithParam<size_t> { };

// Guards against updates that are lost permanently together with a datagram.
TEST_P(MembershipLossTest, ConvergesUnderLoss)
{
    constexpr uint64_t seeds = 5;
    constexpr size_t largestWithEqualViews = 16;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        SCOPED_TRACE(seed);
        VirtualMesh mesh({ .seed = seed, .loss = 0.2, .duplication = 0.05 });
        mesh.start(GetParam());
        ASSERT_TRUE(mesh.runUntil([&] { return allKnowAll(mesh, Sequence()); }, 60s));
        // In larger meshes, some member is suspected nearly all the time, so the views are rarely equal.
        if (GetParam() <= largestWithEqualViews)
            awaitConvergence(mesh);
        publishUpstreams(mesh);
        ASSERT_TRUE(mesh.runUntil([&] { return allKnowAll(mesh, Sequence(1)); }, 60s));
        mesh.runFor(60s);
        EXPECT_EQ(sumCounter(mesh, &MembershipCounters::deaths), 0u);
        EXPECT_LE(mesh.traffic().largest, maxGossipDatagramSize);
        EXPECT_EQ(mesh.traffic().undecodable, 0u);
        mesh.setLoss(0);
        awaitConvergence(mesh);
    }
}

INSTANTIATE_TEST_SUITE_P(Sizes, MembershipLossTest, testing::Values(2, 5, 16, 64));

// Guards against a dead member that stays in some views longer than the design allows.
TEST(MembershipTest, DeathIsDetectedByAllWithinBound)
{
    for (size_t size : { 5, 16, 64 }) {
        VirtualMesh mesh({ .seed = size });
        mesh.start(size);
        awaitConvergence(mesh);
        mesh.stop(3);
        EXPECT_TRUE(mesh.runUntil([&] { return mesh.allSee(3, MemberState::Dead); }, detectionLimit)) << size;
        EXPECT_EQ(sumCounter(mesh, &MembershipCounters::deaths), size - 1) << size;
    }
}

// Guards against routing calls to a host whose address another host has taken over. Without the check, the previous
// host counts as alive until its suspicion times out.
TEST(MembershipTest, NewHostAtAnAddressMarksPreviousHostDead)
{
    TimePoint now { 1000s };
    Membership membership({}, makeRecord(0), now);
    membership.receive(VirtualMesh::addressOf(1), recordsMessage(makeRecord(1)), now);
    membership.receive(VirtualMesh::addressOf(2), recordsMessage(makeRecord(2)), now);
    ASSERT_EQ(membership.presentCount(), 3u);
    MemberRecord successor = makeRecord(3);
    successor.address = VirtualMesh::addressOf(1);
    membership.receive(successor.address, recordsMessage(successor), now);
    EXPECT_EQ(membership.members().at(VirtualMesh::hostOf(1)).state, MemberState::Dead);
    EXPECT_EQ(membership.members().at(VirtualMesh::hostOf(2)).state, MemberState::Alive);
    EXPECT_EQ(membership.members().at(VirtualMesh::hostOf(3)).state, MemberState::Alive);
    EXPECT_EQ(membership.presentCount(), 3u);
}

// Guards against a graceful leave that others detect only as a failure.
TEST(MembershipTest, LeaveIsSeenWithoutSuspicion)
{
    VirtualMesh mesh({});
    mesh.start(16);
    awaitConvergence(mesh);
    mesh.call(5, [](Membership& membership, TimePoint now) { membership.leave(now); });
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.allSee(5, MemberState::Left); }, 1s));
    mesh.stop(5);
    mesh.runFor(20s);
    EXPECT_EQ(sumCounter(mesh, &MembershipCounters::suspicions), 0u);
    EXPECT_TRUE(mesh.allSee(5, MemberState::Left));
}

// Guards against a restarted daemon whose records are ignored in favour of those of its previous run.
TEST(MembershipTest, RestartTakesHigherIncarnation)
{
    for (bool raises : { true, false }) {
        VirtualMesh mesh({ .membership = { .raisesIncarnationAfterRestart = raises } });
        mesh.start(16);
        awaitConvergence(mesh);
        mesh.call(7, [](Membership& membership, TimePoint now) { membership.setUpstream(std::nullopt, now); });
        mesh.runFor(2s);
        mesh.restart(7);
        mesh.runFor(5s);
        BootId bootId = mesh.at(7).self().bootId;
        EXPECT_EQ(mesh.view(3, 7)->bootId == bootId, raises);
        EXPECT_EQ(mesh.view(3, 7)->upstream.has_value(), raises);
        EXPECT_EQ(mesh.isConverged(), raises);
    }
}

// Guards against a daemon that can't rejoin after a graceful leave while its `left` record is retained.
TEST(MembershipTest, ReturnsAfterLeaving)
{
    VirtualMesh mesh({});
    mesh.start(8);
    awaitConvergence(mesh);
    mesh.call(5, [](Membership& membership, TimePoint now) { membership.leave(now); });
    mesh.runFor(1s);
    mesh.restart(5);
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.isConverged(); }, 5s));
}

// Guards against a daemon that suspects other members after its own process was paused.
TEST(MembershipTest, ResumedDaemonDeclaresNobodySuspect)
{
    for (Duration pause : { Duration(3s), Duration(30s), Duration(50s) }) {
        VirtualMesh mesh({});
        mesh.start(16);
        awaitConvergence(mesh);
        mesh.pause(4);
        mesh.runFor(pause);
        uint64_t before = mesh.at(4).counters().suspicions;
        mesh.resume(4);
        mesh.runFor(20s);
        EXPECT_EQ(mesh.at(4).counters().pauses, 1u);
        EXPECT_EQ(mesh.at(4).counters().suspicions, before);
        EXPECT_EQ(mesh.at(4).counters().deaths, 0u);
        EXPECT_TRUE(mesh.isConverged());
    }
}

// Guards against a daemon that reintroduces an expired member after a pause longer than the retention of dead records.
TEST(MembershipTest, ResumedDaemonDoesNotReintroduceExpiredMember)
{
    VirtualMesh mesh({});
    mesh.start(16);
    awaitConvergence(mesh);
    mesh.pause(4);
    mesh.runFor(1s);
    mesh.stop(9);
    mesh.runFor(5min);
    mesh.setObserver([](size_t daemon, const MembershipOutput& output) {
        const auto* changed = std::get_if<MemberChanged>(&output);
        bool isReintroduced = changed && changed->current && changed->host == VirtualMesh::hostOf(9);
        // The paused daemon itself still reads about the suspicion in datagrams queued in its socket.
        EXPECT_FALSE(isReintroduced && daemon != 4) << daemon;
    });
    mesh.resume(4);
    mesh.runFor(120s);
    EXPECT_TRUE(mesh.isConverged());
    EXPECT_EQ(mesh.view(4, 9), nullptr);
}

// Guards against a daemon that joins through a seed which was paused for longer than the retention of dead records. It
// must neither learn of members that all others may have erased, nor take what is left for all members.
TEST(MembershipTest, ResumedSeedOffersNoUnconfirmedMembers)
{
    TimePoint now { 1000s };
    Membership seed({}, makeRecord(0), now);
    seed.receive(VirtualMesh::addressOf(1), recordsMessage(makeRecord(1)), now);
    auto request = [&](bool contactsOnly) {
        seed.takeOutputs();
        GossipPageRequest page { .number = 7, .first = 0, .last = UINT64_MAX, .contactsOnly = contactsOnly };
        seed.receive(VirtualMesh::addressOf(2), GossipDigestRequest { .page = page, .sender = makeRecord(2) }, now);
        for (const MembershipOutput& output : seed.takeOutputs()) {
            const auto* datagram = std::get_if<GossipDatagram>(&output);
            const auto* records = datagram ? std::get_if<GossipRecords>(&datagram->message) : nullptr;
            if (records && records->page)
                return *records;
        }
        return GossipRecords();
    };
    auto offersMember = [&](bool contactsOnly) {
        const std::vector<MemberRecord> records = request(contactsOnly).piggyback.records;
        return std::any_of(records.begin(), records.end(),
            [](const MemberRecord& record) { return record.host == VirtualMesh::hostOf(1); });
    };
    EXPECT_TRUE(offersMember(true));
    EXPECT_TRUE(offersMember(false));
    EXPECT_TRUE(request(false).page->isLast);
    now += MembershipOptions {}.deadRetention + 1s;
    EXPECT_FALSE(offersMember(true));
    EXPECT_FALSE(offersMember(false));
    EXPECT_FALSE(request(false).page->isLast);
    // Its own record confirms the member after the datagrams from the time of the pause have been read.
    now += 2 * MembershipOptions {}.probePeriod;
    seed.receive(VirtualMesh::addressOf(1), recordsMessage(makeRecord(1, 1)), now);
    EXPECT_TRUE(offersMember(true));
    seed.receive(VirtualMesh::addressOf(2), recordsMessage(makeRecord(2, 1)), now);
    EXPECT_TRUE(request(false).page->isLast);
}

// Guards against two sides of a partition that do not merge again, both while they retain each other's dead records and
// after these have expired.
TEST(MembershipTest, PartitionIsRepaired)
{
    for (Duration partition : { Duration(20s), Duration(5min) }) {
        VirtualMesh mesh({ .loss = 0.02 });
        mesh.start(32);
        awaitConvergence(mesh);
        mesh.setReachable([](size_t from, size_t to) { return from % 2 == to % 2; });
        mesh.runFor(partition);
        EXPECT_EQ(mesh.at(0).presentCount(), 16u);
        EXPECT_EQ(mesh.at(1).presentCount(), 16u);
        mesh.setReachable(nullptr);
        EXPECT_TRUE(mesh.runUntil([&] { return mesh.isConverged(); }, 60s));
    }
}

// Guards against overloaded seeds, and against joins that do not complete, when many daemons restart at once.
TEST(MembershipTest, MassRestartDoesNotOverloadSeeds)
{
    VirtualMesh mesh({});
    mesh.start(300);
    awaitConvergence(mesh);
    std::map<size_t, uint64_t> before;
    for (size_t i = 0; i < 2; ++i)
        before[i] = mesh.at(i).counters().transfersSent;
    for (size_t i = 200; i < 300; ++i)
        mesh.restart(i);
    TimePoint start = mesh.now();
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.isConverged(); }, 15s));
    MembershipOptions options;
    double seconds = std::chrono::duration<double>(mesh.now() - start).count();
    for (size_t i = 0; i < 2; ++i) {
        uint64_t sent = mesh.at(i).counters().transfersSent - before[i];
        EXPECT_LE(sent, options.transferBurst + options.transfersPerSecond * seconds);
    }
    for (size_t i = 200; i < 300; ++i)
        EXPECT_TRUE(mesh.at(i).isJoined());
}

// Guards against a view that drops one of two records with the same upstream id. The resolution of such a conflict
// needs both.
TEST(MembershipTest, BothRecordsWithOneUpstreamIdStayVisible)
{
    VirtualMesh mesh({});
    mesh.start(8);
    awaitConvergence(mesh);
    for (size_t daemon : { 2, 6 }) {
        mesh.call(daemon, [&](Membership& membership, TimePoint now) {
            membership.setUpstream(
                UpstreamRecord {
                    .id = UpstreamId("same"), .service = ServiceName("orders"), .incarnation = Incarnation(daemon) },
                now);
        });
    }
    mesh.runFor(2s);
    for (size_t daemon : { 2, 6 }) {
        EXPECT_EQ(mesh.view(0, daemon)->upstream->id, UpstreamId("same"));
        EXPECT_EQ(mesh.view(0, daemon)->upstream->incarnation, Incarnation(daemon));
    }
}

// Guards against declaring a member dead that only lost some datagrams.
TEST(MembershipTest, SuspicionWithRefutationPreventsFalseDeaths)
{
    for (bool enabled : { true, false }) {
        VirtualMesh mesh({ .loss = 0.2, .membership = { .suspicionWithRefutation = enabled } });
        mesh.start(16);
        mesh.runFor(120s);
        EXPECT_EQ(sumCounter(mesh, &MembershipCounters::deaths) == 0, enabled);
        EXPECT_EQ(sumCounter(mesh, &MembershipCounters::refutations) > 0, enabled);
    }
}

// Guards against suspecting a member that is unreachable from one member but reachable from others.
TEST(MembershipTest, IndirectProbesBypassABrokenPath)
{
    for (bool enabled : { true, false }) {
        VirtualMesh mesh({ .membership = { .indirectProbing = enabled } });
        mesh.start(8);
        awaitConvergence(mesh);
        mesh.setReachable([](size_t from, size_t to) { return from + to != 3 || from * to != 2; });
        mesh.runFor(60s);
        EXPECT_EQ(sumCounter(mesh, &MembershipCounters::suspicions) == 0, enabled);
    }
}

// Guards against an outdated record that makes a dead member appear alive again.
TEST(MembershipTest, RetainedDeadRecordsOverrideOutdatedOnes)
{
    for (bool enabled : { true, false }) {
        TimePoint now { 1h };
        Membership membership({ .keepDeadRecords = enabled }, makeRecord(0), now);
        MemberRecord old = makeRecord(1, 4);
        MemberRecord dead = makeRecord(1, 4);
        dead.state = MemberState::Dead;
        membership.receive(old.address, recordsMessage(old), now);
        membership.receive(old.address, recordsMessage(dead), now);
        TimePoint end = now + 59s;
        for (; now < end; now += 500ms)
            membership.tick(now);
        membership.receive(old.address, recordsMessage(old), now);
        auto it = membership.members().find(old.host);
        bool isPresent = it != membership.members().end() && it->second.isPresent();
        EXPECT_EQ(isPresent, !enabled);
    }
}

// Guards against dead records that circulate for ever because daemons expire them at different times.
TEST(MembershipTest, DeadRecordExpiresEverywhere)
{
    VirtualMesh mesh({});
    mesh.start(16);
    awaitConvergence(mesh);
    mesh.stop(9);
    mesh.runFor(detectionLimit + 70s);
    for (size_t i = 0; i < mesh.size(); ++i) {
        if (mesh.isRunning(i)) {
            EXPECT_EQ(mesh.view(i, 9), nullptr);
        }
    }
}

// Guards against broadcasts that are lost, delivered twice, or queued without limit.
TEST(MembershipTest, BroadcastIsDeliveredOnce)
{
    VirtualMesh mesh({ .loss = 0.2, .duplication = 0.2 });
    mesh.start(64);
    awaitConvergence(mesh);
    std::map<std::pair<size_t, std::string>, int> deliveries;
    mesh.setObserver([&](size_t daemon, const MembershipOutput& output) {
        if (const auto* received = std::get_if<BroadcastReceived>(&output))
            ++deliveries[{ daemon, received->payload }];
    });
    for (int i = 0; i < 10; ++i) {
        mesh.call(i, [&](Membership& membership, TimePoint now) {
            EXPECT_TRUE(membership.broadcast(std::string(500, 'x') + std::to_string(i), now));
        });
    }
    mesh.runFor(20s);
    EXPECT_EQ(deliveries.size(), 63u * 10);
    for (const auto& [key, count] : deliveries)
        EXPECT_EQ(count, 1) << key.first;

    Membership& origin = mesh.at(0);
    EXPECT_FALSE(origin.broadcast(std::string(maxGossipPayloadSize + 1, 'x'), mesh.now()));
    for (size_t i = 0; i < 64; ++i)
        EXPECT_TRUE(origin.broadcast("y", mesh.now()));
    EXPECT_FALSE(origin.broadcast("y", mesh.now()));
    EXPECT_EQ(origin.counters().broadcastsRefused, 2u);
}

// Guards against two daemons with the same host id that raise their incarnations with every message they exchange.
TEST(MembershipTest, SharedHostIdRaisesIncarnationSlowly)
{
    TimePoint now { 1h };
    MemberRecord record = makeRecord(1);
    Membership first({}, record, now);
    record.bootId = BootId(77);
    Membership second({}, record, now);
    for (int i = 0; i < 1000; ++i) {
        now += 10ms;
        first.receive(record.address, recordsMessage(second.self()), now);
        second.receive(record.address, recordsMessage(first.self()), now);
    }
    EXPECT_GT(first.counters().incarnationsRaised + second.counters().incarnationsRaised, 0u);
    EXPECT_LE(first.counters().incarnationsRaised + second.counters().incarnationsRaised, 22u);
}

// Guards against anti-entropy that never covers parts of a bucket that is too large for one datagram.
TEST(MembershipTest, RepairsBucketsLargerThanADatagram)
{
    constexpr size_t members = 20000;
    TimePoint now { 1h };
    const std::array<Endpoint, 2> addresses { VirtualMesh::addressOf(0), VirtualMesh::addressOf(1) };
    std::array<Membership, 2> daemons { Membership({}, makeRecord(0), now), Membership({}, makeRecord(1), now) };
    for (size_t i = 0; i < members; ++i) {
        for (size_t daemon : { 0, 1 }) {
            // Each daemon lacks some records and has old versions of others.
            MemberRecord record = makeRecord(i, i % 100 == 2 + daemon ? 1 : 2);
            GossipRecords page { .piggyback = { .records = { record } }, .page = GossipPageEnd {} };
            if (i % 100 != daemon || i < 2)
                daemons[daemon].receive(addresses[daemon], page, now);
        }
    }
    int rounds = 0;
    for (; daemons[0].rootDigest() != daemons[1].rootDigest() && rounds < 2000; ++rounds) {
        now += 1s;
        daemons[0].receive(addresses[1], GossipDigestRequest { .root = daemons[1].rootDigest() }, now);
        for (size_t turn = 0; turn < 8; ++turn) {
            for (MembershipOutput& output : daemons[turn % 2].takeOutputs()) {
                const auto* datagram = std::get_if<GossipDatagram>(&output);
                if (!datagram || datagram->to != addresses[1 - turn % 2])
                    continue;
                ASSERT_LE(encode(datagram->message).size(), maxGossipMessageSize);
                daemons[1 - turn % 2].receive(addresses[turn % 2], datagram->message, now);
            }
        }
    }
    EXPECT_EQ(daemons[0].rootDigest(), daemons[1].rootDigest());
    RecordProperty("rounds", rounds);
}

// Guards against unbounded growth of the member table.
TEST(MembershipTest, RejectsMembersBeyondTheLimit)
{
    TimePoint now { 1h };
    Membership membership({ .maxMembers = 4 }, makeRecord(0), now);
    for (size_t i = 1; i < 10; ++i)
        membership.receive(makeRecord(i).address, recordsMessage(makeRecord(i)), now);
    EXPECT_EQ(membership.members().size(), 4u);
    EXPECT_EQ(membership.counters().recordsRefused, 6u);
}

// Guards against daemons that never agree on one of two different records with equal (incarnation, sequence).
TEST(MembershipTest, EqualVersionsHaveOneWinner)
{
    TimePoint now { 1h };
    MemberRecord a = makeRecord(1);
    MemberRecord b = makeRecord(1);
    b.dataCentre = DataCentreName("elsewhere");
    Membership first({}, makeRecord(8), now);
    Membership second({}, makeRecord(9), now);
    for (const MemberRecord& record : { a, b })
        first.receive(record.address, recordsMessage(record), now);
    for (const MemberRecord& record : { b, a })
        second.receive(record.address, recordsMessage(record), now);
    EXPECT_EQ(first.members().at(a.host), second.members().at(a.host));
    EXPECT_EQ(first.counters().recordConflicts + second.counters().recordConflicts, 1u);
}

// Guards against views that return to an older record or do not converge to the newest records. Each generated record
// is given to one daemon only; gossip and anti-entropy must spread it.
RC_GTEST_PROP(MembershipPropertyTest, ViewsConvergeToReferenceMap, ())
{
    constexpr size_t daemons = 4;
    constexpr size_t subjects = 12;
    using Version = std::tuple<uint64_t, uint64_t, MemberState>;
    // No daemons run for the subjects; the long suspicion keeps them from being declared dead during the test.
    VirtualMesh mesh({ .seed = *rc::gen::arbitrary<uint64_t>(),
        .loss = 0.3,
        .duplication = 0.3,
        .maxLatency = 400ms,
        .membership = { .suspicionPeriods = 1000 } });
    mesh.start(daemons);
    mesh.runFor(20s);
    std::map<std::pair<size_t, HostId>, Version> held;
    mesh.setObserver([&](size_t daemon, const MembershipOutput& output) {
        const auto* changed = std::get_if<MemberChanged>(&output);
        if (!changed || !changed->current)
            return;
        Version version { changed->current->incarnation.value(), changed->current->sequence.value(),
            changed->current->state };
        Version& last = held[{ daemon, changed->host }];
        RC_ASSERT(last <= version);
        last = version;
    });

    std::map<HostId, std::pair<Version, MemberRecord>> reference;
    auto count = *rc::gen::inRange<size_t>(1, 60);
    for (size_t i = 0; i < count; ++i) {
        size_t subject = 1000 + *rc::gen::inRange<size_t>(0, subjects);
        MemberRecord record = makeRecord(subject, *rc::gen::inRange<uint64_t>(0, 6));
        record.incarnation = Incarnation(*rc::gen::inRange<uint64_t>(1, 4));
        record.state = *rc::gen::element(MemberState::Alive, MemberState::Suspect);
        record.upstream
            = UpstreamRecord { .id = UpstreamId("u"), .slots = static_cast<uint32_t>(record.sequence.value()) };
        Version version { record.incarnation.value(), record.sequence.value(), record.state };
        auto it = reference.try_emplace(record.host, version, record).first;
        if (it->second.first < version)
            it->second = { version, record };
        size_t daemon = *rc::gen::inRange<size_t>(0, daemons);
        mesh.call(daemon, [&](Membership& membership, TimePoint now) {
            membership.receive(record.address, recordsMessage(record), now);
        });
        mesh.runFor(std::chrono::milliseconds(*rc::gen::inRange(0, 300)));
    }
    // The daemons themselves suspect the subjects, so the state may be higher than in the reference. All other fields
    // must equal the reference, and all daemons must agree.
    auto agree = [&] {
        for (const auto& [host, expected] : reference) {
            MemberRecord wanted = expected.second;
            for (size_t daemon = 0; daemon < daemons; ++daemon) {
                auto it = mesh.at(daemon).members().find(host);
                if (it == mesh.at(daemon).members().end() || it->second.state < wanted.state)
                    return false;
                if (daemon == 0)
                    wanted.state = it->second.state;
                if (it->second != wanted)
                    return false;
            }
        }
        return true;
    };
    // A digest comparison takes four datagrams, which all arrive with probability 0.24 at this loss.
    RC_ASSERT(mesh.runUntil(agree, 300s));
}

// A rolling restart changes several records of each host, and traffic between data centres is expensive. Guards against
// gossip of which two thirds cross data centres, and against records that do not reach other data centres.
TEST(MembershipTest, RollingRestartLimitsCrossDataCentreTraffic)
{
    struct Cost {
        uint64_t crossDataCentreBytes { 0 };
        Duration converged {};
    };
    const auto restartHalf = [](bool prefersLocal) {
        VirtualMesh mesh({ .membership = { .prefersLocalGossip = prefersLocal } });
        mesh.start(66);
        awaitConvergence(mesh);
        mesh.runFor(30s);
        mesh.traffic() = {};
        for (size_t daemon = 2; daemon < 35; ++daemon) {
            mesh.stop(daemon);
            mesh.runFor(300ms);
            mesh.restart(daemon);
        }
        auto time = mesh.runUntil([&] { return mesh.isConverged(); }, 30s);
        EXPECT_TRUE(time);
        return Cost { mesh.traffic().crossDataCentreBytes, time.value_or(Duration::max()) };
    };
    Cost anywhere = restartHalf(false);
    Cost local = restartHalf(true);
    EXPECT_LT(local.crossDataCentreBytes * 4, anywhere.crossDataCentreBytes * 3);
    EXPECT_LE(local.converged, 5s);
}

// In a fleet of 200 hosts in five data centres, upstreams change continuously, and each change must reach the four
// other data centres. Guards against hundreds of copies of each change between data centres, and against late
// convergence.
TEST(MembershipTest, UpstreamChangeCrossesDataCentresAFewTimes)
{
    constexpr size_t daemons = 200;
    constexpr size_t changes = 100;
    constexpr size_t recordBytes = 150;
    // Four copies from each of the five data centres to each of the four others.
    constexpr size_t copies = size_t { 4 } * 4 * 5;
    VirtualMesh mesh({ .dataCentres = 5 });
    mesh.start(daemons);
    awaitConvergence(mesh);
    mesh.runFor(60s);
    mesh.traffic() = {};
    mesh.runFor(20s);
    const uint64_t idleBytes = mesh.traffic().crossDataCentreBytes;
    mesh.traffic() = {};
    for (size_t change = 0; change < changes; ++change) {
        mesh.call(change, [&](Membership& membership, TimePoint now) {
            membership.setUpstream(UpstreamRecord { .id = UpstreamId("upstream-" + std::to_string(change)),
                                       .service = ServiceName("catalogue"),
                                       .phase = UpstreamPhase::Ready,
                                       .slots = 10,
                                       .incarnation = Incarnation(1) },
                now);
        });
        mesh.runFor(200ms);
    }
    EXPECT_LE(mesh.traffic().crossDataCentreBytes - idleBytes, changes * copies * recordBytes);
    EXPECT_TRUE(mesh.runUntil([&] { return mesh.isConverged(); }, 3s));
}

} // namespace dragonflylane
