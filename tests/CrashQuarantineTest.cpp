#include "dragonflylane/CrashQuarantine.h"

#include "dragonflylane/CrashReplication.h"
#include "dragonflylane/CrashWire.h"
#include "dragonflylane/Fingerprint.h"
#include "dragonflylane/OwnerAdmission.h"
#include "dragonflylane/RecentCompletions.h"

#include <algorithm>
#include <cstdio>
#include <gtest/gtest.h>
#include <iterator>
#include <memory>
#include <random>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };
    const Fingerprint crashingRequest { 1 };
    const Fingerprint firstUnrelatedRequest { 2 };

    CrashReport report(const char* upstream, uint64_t incarnation, std::vector<Fingerprint> fingerprints)
    {
        return { { UpstreamId(upstream), Incarnation(incarnation) }, std::move(fingerprints) };
    }

    /// One owner daemon with its upstream, in a cluster whose broadcasts arrive after a delay.
    struct Owner {
        CrashQuarantine quarantine;
        OwnerAdmission admission;
        RecentCompletions completions;
        std::map<uint64_t, Fingerprint> running;
        uint64_t incarnation { 1 };
    };

    /// Daemons that compare their tables in virtual time. Broadcasts between them are up to the test.
    class ReplicaGroup {
    public:
        explicit ReplicaGroup(size_t size)
        {
            for (size_t i = 0; i < size; ++i)
                restart(i);
        }

        /// Replaces a daemon by one that knows nothing.
        void restart(size_t index)
        {
            m_replicas.resize(std::max(m_replicas.size(), index + 1));
            m_replicas[index] = std::make_unique<Replica>(*this, index);
            m_replicas[index]->replication.join(m_now);
            deliver();
        }

        void setCutOff(size_t index, bool isCutOff) { m_replicas[index]->isCutOff = isCutOff; }
        CrashQuarantine& quarantine(size_t index) { return m_replicas[index]->quarantine; }
        bool isSynchronised(size_t index) const { return m_replicas[index]->replication.isSynchronised(m_now); }
        size_t messages() const { return m_messages; }
        TimePoint now() const { return m_now; }

        /// Reports a death to all daemons that can be reached.
        void broadcast(const CrashReport& report)
        {
            for (const auto& replica : m_replicas) {
                if (!replica->isCutOff)
                    replica->quarantine.receive(report, m_now);
            }
        }

        void run(Duration length)
        {
            constexpr Duration step = milliseconds(100);
            for (TimePoint end = m_now + length; m_now < end;) {
                m_now += step;
                for (const auto& replica : m_replicas)
                    replica->replication.tick(m_now);
                deliver();
            }
        }

        bool allAgree()
        {
            return std::all_of(m_replicas.begin(), m_replicas.end(), [this](const auto& replica) {
                return replica->quarantine.digest() == m_replicas.front()->quarantine.digest();
            });
        }

    private:
        struct Replica {
            Replica(ReplicaGroup& group, size_t index)
                : replication(quarantine, {},
                    { .choosePeers = [&group, index](size_t count) { return group.choosePeers(index, count); },
                        .merged = [](Fingerprint) {} })
            {
            }

            CrashQuarantine quarantine;
            CrashReplication replication;
            bool isCutOff { false };
        };

        std::vector<HostId> choosePeers(size_t self, size_t count)
        {
            std::vector<HostId> others;
            for (size_t i = 0; i < m_replicas.size(); ++i) {
                if (i != self && m_replicas[i])
                    others.emplace_back(std::to_string(i));
            }
            std::vector<HostId> chosen;
            std::sample(others.begin(), others.end(), std::back_inserter(chosen), count, m_random);
            return chosen;
        }

        // Messages pass through their encoding. Those of a daemon that is cut off are lost.
        void deliver()
        {
            for (bool hasDelivered = true; hasDelivered;) {
                hasDelivered = false;
                for (size_t from = 0; from < m_replicas.size(); ++from) {
                    if (!m_replicas[from])
                        continue;
                    for (const CrashSyncSend& send : m_replicas[from]->replication.takeOutputs()) {
                        hasDelivered = true;
                        deliver(from, send);
                    }
                }
            }
        }

        void deliver(size_t from, const CrashSyncSend& send)
        {
            ++m_messages;
            Replica& to = *m_replicas[std::stoul(send.to.value())];
            if (to.isCutOff || m_replicas[from]->isCutOff)
                return;
            CrashSyncMessage decoded;
            ASSERT_FALSE(decode(encode(send.message), decoded));
            to.replication.receive(HostId(std::to_string(from)), decoded, m_now);
        }

        TimePoint m_now { start };
        std::mt19937_64 m_random { 1 };
        std::vector<std::unique_ptr<Replica>> m_replicas;
        size_t m_messages { 0 };
    };

    struct ClusterResult {
        int deaths { 0 };
        int quarantinedUnrelated { 0 };
        bool isCrashingQuarantined { false };
    };

    struct ClusterOptions {
        CrashQuarantineOptions quarantine;
        RecentCompletionsOptions completions;
        bool limitSuspects { true };
        /// Copies of the crashing request that are sent at once, each to an owner of its own.
        size_t copies { 1 };
    };

    /// Ten owners run 20 popular requests that crash nothing. One other request crashes each upstream that runs it and
    /// is retried every 50 ms from 1 s to 10 s of simulated time. Each step is 1 ms.
    ClusterResult runCluster(uint64_t seed, const ClusterOptions& options = {})
    {
        constexpr int owners = 10;
        constexpr uint64_t unrelatedCount = 20;
        constexpr int broadcastDelay = 5;
        std::mt19937_64 random(seed);
        std::vector<Owner> cluster;
        cluster.reserve(owners);
        for (int i = 0; i < owners; ++i)
            cluster.push_back(
                { CrashQuarantine(options.quarantine), OwnerAdmission({ .limitSuspects = options.limitSuspects }),
                    RecentCompletions(options.completions), {} });
        std::vector<std::pair<int, CrashNotice>> broadcasts;
        ClusterResult result;
        uint64_t id = 0;
        for (int step = 0; step < 10'000; ++step) {
            TimePoint now = start + milliseconds(step);
            std::erase_if(broadcasts, [&](const auto& broadcast) {
                if (broadcast.first > step)
                    return false;
                for (Owner& owner : cluster) {
                    owner.quarantine.receive(broadcast.second, now);
                    for (const auto& [call, fingerprint] : owner.running)
                        owner.admission.setSuspect(
                            call, owner.quarantine.stateOf(fingerprint, now) != CrashState::Unsuspected, now);
                }
                return true;
            });
            // A caller retries only after its last attempt has failed, so each caller has one copy in flight.
            bool isSending = step >= 1000 && step % 50 == 0;
            int target = isSending ? static_cast<int>(random() % owners) : -1;
            for (int i = 0; i < owners; ++i) {
                Owner& owner = cluster[static_cast<size_t>(i)];
                bool sendCrashing = isSending && static_cast<size_t>((i - target + owners) % owners) < options.copies;
                Fingerprint fingerprint = sendCrashing
                    ? crashingRequest
                    : Fingerprint(firstUnrelatedRequest.value() + random() % unrelatedCount);
                CrashState state = owner.quarantine.stateOf(fingerprint, now);
                if (state == CrashState::Quarantined)
                    continue;
                CallTicket ticket { ++id, false, state == CrashState::Suspect, now + seconds(1) };
                if (owner.admission.offer(ticket, now).action == AdmitAction::Admit)
                    owner.running[id] = fingerprint;
                bool dies = std::any_of(owner.running.begin(), owner.running.end(),
                    [](const auto& call) { return call.second == crashingRequest; });
                if (dies) {
                    ++result.deaths;
                    std::vector<Fingerprint> inFlight;
                    for (const auto& [call, running] : owner.running)
                        inFlight.push_back(running);
                    inFlight = owner.completions.excludeCompleted(inFlight, now);
                    owner.completions.clear();
                    UpstreamId upstream("u" + std::to_string(i));
                    for (CrashNotice& notice :
                        owner.quarantine.upstreamDied(upstream, Incarnation(owner.incarnation++), inFlight, now))
                        broadcasts.emplace_back(step + broadcastDelay, notice);
                    owner.running.clear();
                    owner.admission = OwnerAdmission({ .limitSuspects = options.limitSuspects });
                    continue;
                }
                if (owner.running.size() < 6)
                    continue;
                auto [call, done] = *owner.running.begin();
                owner.running.erase(call);
                owner.admission.finished(call, CallOutcome::Success, now);
                owner.completions.record(done, now);
                if (auto clear = owner.quarantine.completed(done, now))
                    broadcasts.emplace_back(step + broadcastDelay, *clear);
            }
        }
        TimePoint end = start + seconds(10);
        result.isCrashingQuarantined = true;
        for (const Owner& owner : cluster) {
            result.isCrashingQuarantined &= owner.quarantine.stateOf(crashingRequest, end) == CrashState::Quarantined;
            for (uint64_t i = 0; i < unrelatedCount; ++i) {
                Fingerprint fingerprint(firstUnrelatedRequest.value() + i);
                result.quarantinedUnrelated
                    += owner.quarantine.stateOf(fingerprint, end) == CrashState::Quarantined ? 1 : 0;
            }
        }
        return result;
    }

} // namespace

// Guards against a crashing request that keeps killing upstreams, and against quarantining the requests that were in
// flight with it.
TEST(CrashQuarantineTest, QuarantinesOnlyTheCrashingRequestAfterTwoDeaths)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        ClusterResult result = runCluster(seed);
        EXPECT_EQ(result.deaths, 2) << seed;
        EXPECT_TRUE(result.isCrashingQuarantined) << seed;
        EXPECT_EQ(result.quarantinedUnrelated, 0) << seed;
    }
    EXPECT_GT(runCluster(1, { .quarantine = { .quarantineEnabled = false } }).deaths, 50);
    int quarantined = 0;
    for (uint64_t seed = 1; seed <= 20; ++seed)
        quarantined += runCluster(seed,
            { .quarantine = { .clearsEnabled = false }, .completions = { .enabled = false }, .limitSuspects = false })
                           .quarantinedUnrelated;
    EXPECT_GT(quarantined, 0);
}

// Guards against a popular request that is quarantined because copies of a crashing one kill two upstreams at once.
TEST(CrashQuarantineTest, ConcurrentCopiesQuarantineNoOtherRequests)
{
    constexpr size_t copies = 4;
    for (bool enabled : { false, true }) {
        int deaths = 0;
        int unrelatedCount = 0;
        int seedsWithUnrelated = 0;
        for (uint64_t seed = 1; seed <= 20; ++seed) {
            ClusterResult result = runCluster(seed, { .completions = { .enabled = enabled }, .copies = copies });
            deaths += result.deaths;
            unrelatedCount += result.quarantinedUnrelated;
            seedsWithUnrelated += result.quarantinedUnrelated > 0 ? 1 : 0;
            EXPECT_TRUE(result.isCrashingQuarantined) << seed;
        }
        std::printf("completions=%d copies=%zu seeds=20 deaths=%d quarantined_unrelated=%d seeds_with_unrelated=%d\n",
            static_cast<int>(enabled), copies, deaths, unrelatedCount, seedsWithUnrelated);
        EXPECT_EQ(unrelatedCount == 0, enabled);
    }
}

// Guards against a table of completions that grows without bound, never expires, or still applies after the upstream
// was restarted.
TEST(CrashQuarantineTest, CompletionsAreBoundedExpireAndAreClearedOnRestart)
{
    RecentCompletions completions({ .window = seconds(10), .maxFingerprints = 2 });
    std::vector<Fingerprint> all { Fingerprint(1), Fingerprint(2), Fingerprint(3) };
    for (Fingerprint fingerprint : { all[0], all[1], all[0], all[2] })
        completions.record(fingerprint, start);
    EXPECT_EQ(completions.size(), 2U);
    EXPECT_EQ(completions.excludeCompleted(all, start + seconds(10)), std::vector { all[1] });
    EXPECT_EQ(completions.excludeCompleted(all, start + seconds(11)), all);
    completions.clear();
    EXPECT_EQ(completions.excludeCompleted(all, start), all);
}

// Guards against daemons whose states differ because broadcasts arrived in another order or twice.
RC_GTEST_PROP(CrashQuarantineTest, OrderOfNoticesDoesNotMatter, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    std::vector<CrashNotice> notices;
    for (int i = 0; i < 30; ++i) {
        CrashDeath death { UpstreamId("u" + std::to_string(random() % 4)), Incarnation(random() % 2) };
        Fingerprint fingerprint(random() % 6);
        if (random() % 3 == 0)
            notices.emplace_back(CrashClear { fingerprint, { death }, random() % 2 == 0 });
        else
            notices.emplace_back(CrashReport { death, { fingerprint, Fingerprint(random() % 6) } });
    }
    CrashQuarantine first;
    for (const CrashNotice& notice : notices)
        first.receive(notice, start);
    notices.insert(notices.end(), notices.begin(), notices.begin() + 10);
    std::shuffle(notices.begin(), notices.end(), random);
    CrashQuarantine second;
    for (const CrashNotice& notice : notices)
        second.receive(notice, start);
    for (uint64_t fingerprint = 0; fingerprint < 6; ++fingerprint)
        RC_ASSERT(first.stateOf(Fingerprint(fingerprint), start) == second.stateOf(Fingerprint(fingerprint), start));
}

// Guards against a quarantine that never expires, a release by an operator that does not reach all daemons, and deaths
// that are counted twice.
TEST(CrashQuarantineTest, ExpiresAndIsReleased)
{
    CrashQuarantine first;
    CrashQuarantine second;
    for (CrashQuarantine* quarantine : { &first, &second }) {
        quarantine->receive(report("a", 1, { crashingRequest }), start);
        quarantine->receive(report("a", 1, { crashingRequest }), start);
        EXPECT_EQ(quarantine->stateOf(crashingRequest, start), CrashState::Suspect);
        quarantine->receive(report("a", 2, { crashingRequest }), start + minutes(1));
        EXPECT_EQ(quarantine->stateOf(crashingRequest, start + minutes(1)), CrashState::Quarantined);
    }
    ASSERT_EQ(first.list(start + minutes(1)).size(), 1U);
    EXPECT_EQ(first.list(start + minutes(1))[0].deaths.size(), 2U);
    EXPECT_EQ(first.stateOf(crashingRequest, start + minutes(11)), CrashState::Unsuspected);
    EXPECT_EQ(first.nextWakeup(), start + minutes(11));
    first.tick(start + minutes(11));
    EXPECT_EQ(first.size(), 0U);

    std::optional<CrashNotice> clear = second.release(crashingRequest, start + minutes(2));
    ASSERT_TRUE(clear);
    EXPECT_TRUE(second.list(start + minutes(2)).empty());
    CrashQuarantine third;
    third.receive(*clear, start + minutes(2));
    third.receive(report("a", 1, { crashingRequest }), start + minutes(2));
    third.receive(report("a", 2, { crashingRequest }), start + minutes(2));
    EXPECT_EQ(third.stateOf(crashingRequest, start + minutes(2)), CrashState::Unsuspected);
    third.receive(report("b", 1, { crashingRequest }), start + minutes(2));
    EXPECT_EQ(third.stateOf(crashingRequest, start + minutes(2)), CrashState::Suspect);
}

// Guards against a table that grows without bound, or in which a flood of suspects evicts a quarantined request.
TEST(CrashQuarantineTest, TableIsBoundedAndKeepsQuarantined)
{
    CrashQuarantine quarantine({ .maxFingerprints = 16, .maxPerReport = 8 });
    quarantine.receive(report("a", 1, { crashingRequest }), start);
    quarantine.receive(report("a", 2, { crashingRequest }), start);
    std::vector<Fingerprint> flood;
    for (uint64_t i = 100; i < 200; ++i)
        flood.emplace_back(i);
    std::vector<CrashNotice> notices = quarantine.upstreamDied(UpstreamId("b"), Incarnation(1), flood, start);
    EXPECT_EQ(notices.size(), 13U);
    EXPECT_EQ(quarantine.size(), 16U);
    EXPECT_EQ(quarantine.dropped(), 85U);
    EXPECT_EQ(quarantine.stateOf(crashingRequest, start), CrashState::Quarantined);
}

// Guards against equal fingerprints of requests that differ only in where one part ends and the next begins.
TEST(CrashQuarantineTest, FingerprintSeparatesItsParts)
{
    Fingerprint base = requestFingerprint("orders", "POST", "/a", "b");
    EXPECT_EQ(base, requestFingerprint("orders", "POST", "/a", "b"));
    EXPECT_NE(base, requestFingerprint("orders", "POST", "/ab", ""));
    EXPECT_NE(base, requestFingerprint("orders", "POST/", "a", "b"));
    EXPECT_NE(base, requestFingerprint("orde", "rsPOST", "/a", "b"));
    EXPECT_NE(base, requestFingerprint("loans", "POST", "/a", "b"));
}

// Guards against a crashing request that passes at a daemon which was cut off while the others learned of it.
TEST(CrashQuarantineTest, DaemonThatWasCutOffLearnsWhatItMissed)
{
    constexpr size_t size = 20;
    constexpr size_t cutOff = 7;
    ReplicaGroup group(size);
    group.setCutOff(cutOff, true);
    for (uint64_t death : { 1, 2 })
        group.broadcast(report("upstream", death, { crashingRequest }));
    group.run(seconds(5));
    EXPECT_EQ(group.quarantine(cutOff).stateOf(crashingRequest, group.now()), CrashState::Unsuspected);
    group.setCutOff(cutOff, false);
    group.run(seconds(3));
    EXPECT_EQ(group.quarantine(cutOff).stateOf(crashingRequest, group.now()), CrashState::Quarantined);
}

// Guards against a daemon that serves after its restart before it knows what the others suspect.
TEST(CrashQuarantineTest, RestartedDaemonKnowsAllBeforeItServes)
{
    ReplicaGroup group(5);
    std::vector<Fingerprint> fingerprints;
    for (uint64_t i = 1; i <= 50; ++i)
        fingerprints.emplace_back(i);
    for (uint64_t death : { 1, 2 })
        group.broadcast(report("upstream", death, fingerprints));
    for (size_t index = 0; index < 5; ++index) {
        group.restart(index);
        EXPECT_TRUE(group.isSynchronised(index));
        for (Fingerprint fingerprint : fingerprints)
            EXPECT_EQ(group.quarantine(index).stateOf(fingerprint, group.now()), CrashState::Quarantined);
    }
}

// Guards against a daemon that waits for ever for others that do not answer.
TEST(CrashQuarantineTest, DaemonServesEvenIfNobodyAnswers)
{
    ReplicaGroup group(3);
    for (size_t index : { 1, 2 })
        group.setCutOff(index, true);
    group.restart(0);
    EXPECT_FALSE(group.isSynchronised(0));
    group.run(milliseconds(600));
    EXPECT_TRUE(group.isSynchronised(0));
}

// Guards against tables that never agree, a suspect that a late comparison brings back after its release, comparisons
// that keep a record alive for ever, and traffic while there is nothing to compare.
TEST(CrashQuarantineTest, TablesAgreeAndExpire)
{
    ReplicaGroup group(10);
    group.run(seconds(10));
    size_t idle = group.messages();
    group.run(seconds(10));
    EXPECT_EQ(group.messages(), idle);
    // Each death is reported to one daemon only, and together they exceed what one message holds.
    for (uint64_t i = 0; i < 300; ++i)
        group.quarantine(i % 10).receive(report("upstream", i % 7, { Fingerprint(i / 2) }), group.now());
    group.run(seconds(30));
    EXPECT_TRUE(group.allAgree());
    ASSERT_TRUE(group.quarantine(3).release(Fingerprint(1), group.now()));
    group.run(seconds(10));
    EXPECT_TRUE(group.allAgree());
    for (size_t index = 0; index < 10; ++index)
        EXPECT_EQ(group.quarantine(index).stateOf(Fingerprint(1), group.now()), CrashState::Unsuspected);
    group.run(minutes(10));
    for (size_t index = 0; index < 10; ++index)
        EXPECT_EQ(group.quarantine(index).size(), 0U);
}

// Guards against a comparison message that is changed by encoding, or crashes the daemon if it is malformed.
TEST(CrashQuarantineTest, ComparisonMessagesAreBounded)
{
    CrashSyncMessage message { .root = 5, .digest = CrashDigest(), .records = std::vector<CrashRecord>() };
    CrashDeath death { UpstreamId("upstream"), Incarnation(3) };
    message.records->push_back({ crashingRequest, { death }, { death }, seconds(2) });
    CrashSyncMessage decoded;
    ASSERT_FALSE(decode(encode(message), decoded));
    EXPECT_EQ(decoded, message);
    EXPECT_EQ(decode(encode(message) + "x", decoded), ResultCode::MalformedFrame);
    message.records->resize(300);
    EXPECT_EQ(decode(encode(message), decoded), ResultCode::MalformedFrame);
}

// Guards against notices that are changed by encoding and decoding, and against malformed datagrams that are accepted
// or crash the daemon.
RC_GTEST_PROP(CrashQuarantineTest, WireFormatRoundTripsAndRejectsMalformedBytes, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    CrashReport original = report("upstream", random(), {});
    for (uint64_t i = random() % 64; i > 0; --i)
        original.fingerprints.emplace_back(random());
    CrashClear clear { Fingerprint(random()), { original.death }, random() % 2 == 0 };
    for (const CrashNotice& notice : { CrashNotice(original), CrashNotice(clear) }) {
        std::string bytes = encode(notice);
        CrashNotice decoded;
        RC_ASSERT(!decode(bytes, decoded));
        RC_ASSERT(decoded == notice);
        RC_ASSERT(decode(bytes + "x", decoded) == ResultCode::MalformedFrame);
        RC_ASSERT(decode(bytes.substr(0, random() % bytes.size()), decoded) == ResultCode::MalformedFrame);
        bytes[random() % bytes.size()] = static_cast<char>(random());
        decode(bytes, decoded);
    }
    original.fingerprints.resize(300);
    CrashNotice decoded;
    RC_ASSERT(decode(encode(original), decoded) == ResultCode::MalformedFrame);
}

} // namespace dragonflylane
