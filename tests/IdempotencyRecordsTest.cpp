#include "dragonflylane/IdempotencyRecords.h"

#include "dragonflylane/ClaimCoordinator.h"
#include "dragonflylane/ClaimWire.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };
    constexpr Duration retention = seconds(60);
    constexpr Duration maxConfigurationAge = seconds(6);
    constexpr Duration step = milliseconds(10);

    HostId hostId(size_t number)
    {
        return HostId("h" + std::to_string(number));
    }

    KeeperView viewOf(uint64_t epoch, const std::vector<size_t>& hosts)
    {
        KeeperView view { Epoch(epoch), {} };
        for (size_t host : hosts)
            view.hosts.push_back({ hostId(host), DataCentreName("d" + std::to_string(host % 3)) });
        return view;
    }

    /// Options with which a test disables single mechanisms.
    struct Switches {
        IdempotencyRecordsOptions keeper;
        ClaimCoordinatorOptions coordinator;
    };

    /// Simulated hosts, each with a keeper and a coordinator, on a network that loses, duplicates, delays and reorders
    /// messages. Every message is encoded and decoded.
    class Cluster {
    public:
        Cluster(size_t hosts, uint64_t seed, Switches switches = {})
            : m_random(seed)
            , m_switches(std::move(switches))
        {
            for (size_t i = 0; i < hosts; ++i) {
                m_hosts.emplace_back();
                restart(i);
            }
        }

        void restart(size_t host)
        {
            IdempotencyRecordsOptions keeper = m_switches.keeper;
            keeper.self = hostId(host);
            keeper.retention = retention;
            keeper.maxConfigurationAge = maxConfigurationAge;
            ClaimCoordinatorOptions coordinator = m_switches.coordinator;
            coordinator.self = hostId(host);
            coordinator.bootId = ++m_boots;
            coordinator.maxConfigurationAge = maxConfigurationAge;
            m_hosts[host].keeper = std::make_unique<IdempotencyRecords>(keeper, now);
            m_hosts[host].coordinator = std::make_unique<ClaimCoordinator>(coordinator);
            proveConfiguration(host);
        }

        /// Sets the first view of a new mesh, after every host has had a configuration without a view.
        void bootstrap(const KeeperView& view)
        {
            for (size_t i = 0; i < m_hosts.size(); ++i) {
                m_hosts[i].keeper->setNoView();
                setView(i, view);
            }
        }

        void proveConfiguration(size_t host)
        {
            if (unproven.contains(host))
                return;
            m_hosts[host].keeper->setProvenAt(now);
            m_hosts[host].coordinator->setProvenAt(now);
        }

        void setView(size_t host, const KeeperView& view)
        {
            m_hosts[host].keeper->setView(view, now);
            m_hosts[host].coordinator->setView(view);
        }

        uint64_t claim(size_t host, const std::string& key)
        {
            uint64_t call = ++m_calls;
            askedAt[call] = now;
            coordinator(host).claim(call, key, now);
            return call;
        }

        void advance(Duration time)
        {
            TimePoint end = now + time;
            for (; now < end; now += step) {
                for (size_t i = 0; i < m_hosts.size(); ++i)
                    proveConfiguration(i);
                deliver();
                for (size_t i = 0; i < m_hosts.size(); ++i) {
                    m_hosts[i].keeper->tick(now);
                    m_hosts[i].coordinator->tick(now);
                    collect(i);
                }
            }
        }

        IdempotencyRecords& keeper(size_t host) { return *m_hosts[host].keeper; }
        ClaimCoordinator& coordinator(size_t host) { return *m_hosts[host].coordinator; }
        /// Number of the host with this id.
        size_t numberOf(const HostId& host) const { return std::stoul(host.value().substr(1)); }

        TimePoint now { start };
        double loss { 0 };
        double duplication { 0 };
        uint64_t maxDelaySteps { 0 };
        /// Hosts whose configuration is no longer proven current.
        std::set<size_t> unproven;
        /// Drops messages for which it returns true.
        std::function<bool(const HostId& from, const HostId& to, const ClaimMessage&)> drop;
        std::function<void(size_t host, uint64_t call)> onGranted;
        std::map<uint64_t, TimePoint> askedAt;
        std::set<uint64_t> granted;
        std::map<uint64_t, ClaimRefused> refused;

    private:
        struct Host {
            std::unique_ptr<IdempotencyRecords> keeper;
            std::unique_ptr<ClaimCoordinator> coordinator;
        };
        struct Packet {
            HostId from;
            HostId to;
            std::string bytes;
        };

        bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

        void post(const HostId& from, const ClaimSend& message)
        {
            if (drop && drop(from, message.to, message.message))
                return;
            int copies = chance(loss) ? 0 : 1 + static_cast<int>(chance(duplication));
            for (int i = 0; i < copies; ++i) {
                TimePoint at = now + step * static_cast<int64_t>(1 + m_random() % (maxDelaySteps + 1));
                m_network.emplace(at, Packet { from, message.to, encode(message.message) });
            }
        }

        void deliver()
        {
            while (!m_network.empty() && m_network.begin()->first <= now) {
                Packet packet = m_network.begin()->second;
                m_network.erase(m_network.begin());
                ClaimMessage message;
                ASSERT_FALSE(decode(packet.bytes, message));
                size_t host = numberOf(packet.to);
                m_hosts[host].keeper->receive(packet.from, message, now);
                m_hosts[host].coordinator->receive(packet.from, message, now);
                collect(host);
            }
        }

        void collect(size_t host)
        {
            for (const ClaimSend& message : m_hosts[host].keeper->takeOutputs())
                post(hostId(host), message);
            for (const ClaimOutput& output : m_hosts[host].coordinator->takeOutputs()) {
                if (const auto* message = std::get_if<ClaimSend>(&output))
                    post(hostId(host), *message);
                if (const auto* grant = std::get_if<ClaimGranted>(&output)) {
                    granted.insert(grant->call);
                    if (onGranted)
                        onGranted(host, grant->call);
                }
                if (const auto* refusal = std::get_if<ClaimRefused>(&output))
                    refused[refusal->call] = *refusal;
            }
        }

        std::mt19937_64 m_random;
        Switches m_switches;
        uint64_t m_boots { 0 };
        uint64_t m_calls { 0 };
        std::vector<Host> m_hosts;
        std::multimap<TimePoint, Packet> m_network;
    };

    struct ChaosResult {
        int grants { 0 };
        /// Grants of a key that had been granted before within the retention time and had not been released.
        int doubleGrants { 0 };
        int wrongAnswers { 0 };
        /// A new key is granted soon after the faults have ended.
        bool recovers { false };
    };

    /// Random claims, crashes and view changes for three minutes of simulated time, checked against a reference map of
    /// the granted keys.
    ChaosResult runChaos(uint64_t seed, const Switches& switches = {})
    {
        constexpr size_t hosts = 6;
        constexpr uint64_t keys = 5;
        constexpr uint64_t roundsPerNewKey = 20;
        struct Taken {
            uint64_t call;
            TimePoint askedAt;
        };
        struct Open {
            size_t host;
            uint64_t call;
            std::string key;
        };
        std::mt19937_64 random(seed);
        auto below = [&random](uint64_t bound) { return random() % bound; };
        Cluster cluster(hosts, seed, switches);
        cluster.loss = 0.1;
        cluster.duplication = 0.1;
        cluster.maxDelaySteps = 20;
        std::vector<KeeperView> views { viewOf(1, { 0, 1, 2, 3 }) };
        cluster.bootstrap(views[0]);
        std::vector<size_t> viewIndex(hosts, 0);
        std::map<uint64_t, std::string> keyOf;
        std::map<std::string, Taken> taken;
        std::map<std::string, std::set<std::string>> answers;
        std::vector<Open> open;
        ChaosResult result;
        cluster.onGranted = [&](size_t host, uint64_t call) {
            const std::string& key = keyOf.at(call);
            auto earlier = taken.find(key);
            ++result.grants;
            if (earlier != taken.end() && earlier->second.askedAt + retention > cluster.now)
                ++result.doubleGrants;
            taken[key] = { call, cluster.askedAt.at(call) };
            open.push_back({ host, call, key });
        };
        for (int round = 0; round < 1800; ++round) {
            // Few keys at a time, so that claims of the same key race; new keys over time, so that grants continue.
            std::string key = "key" + std::to_string(static_cast<uint64_t>(round) / roundsPerNewKey + below(keys));
            for (uint64_t copies = below(3); copies > 0; --copies) {
                size_t host = below(hosts);
                uint64_t call = cluster.claim(host, key);
                keyOf[call] = key;
            }
            cluster.advance(milliseconds(100));
            std::erase_if(open, [&](const Open& item) {
                ClaimCoordinator& coordinator = cluster.coordinator(item.host);
                uint64_t action = below(20);
                if (action < 3) {
                    coordinator.markForwarded(item.call);
                    std::string answer = "answer " + std::to_string(item.call);
                    answers[item.key].insert(answer);
                    coordinator.finish(item.call, answer, cluster.now);
                } else if (action < 5) {
                    coordinator.abandon(item.call, cluster.now);
                    if (taken[item.key].call == item.call)
                        taken.erase(item.key);
                }
                return action < 5;
            });
            if (below(150) == 0) {
                size_t host = below(hosts);
                cluster.restart(host);
                std::erase_if(open, [host](const Open& item) { return item.host == host; });
                cluster.setView(host, views[viewIndex[host]]);
            }
            if (below(100) == 0) {
                std::vector<size_t> chosen;
                for (size_t i = 0; i < hosts; ++i) {
                    if (below(3) != 0)
                        chosen.push_back(i);
                }
                if (chosen.size() >= 3)
                    views.push_back(viewOf(views.size() + 1, chosen));
            }
            size_t host = below(hosts);
            if (viewIndex[host] + 1 < views.size())
                cluster.setView(host, views[++viewIndex[host]]);
            for (const auto& [call, refusal] : cluster.refused) {
                bool isStored = refusal.code == ResultCode::Ok;
                if (isStored && !answers[keyOf.at(call)].contains(refusal.answer))
                    ++result.wrongAnswers;
            }
            cluster.refused.clear();
        }
        cluster.loss = 0;
        for (size_t host = 0; host < hosts; ++host) {
            while (viewIndex[host] + 1 < views.size())
                cluster.setView(host, views[++viewIndex[host]]);
        }
        // Gaps end (retention + maxConfigurationAge) after the last view change or restart, plus the delay of the
        // messages that contain them.
        cluster.advance(retention + maxConfigurationAge + seconds(5));
        uint64_t last = cluster.claim(0, "last");
        keyOf[last] = "last";
        cluster.advance(seconds(1));
        result.recovers = cluster.granted.contains(last);
        return result;
    }

} // namespace

// Guards against a second run of a request under message loss, duplication and reordering, races between entry daemons,
// restarts of keepers (which lose their records) and view changes.
TEST(IdempotencyRecordsTest, NeverGrantsAKeyTwiceUnderRandomFaults)
{
    // Regression: with seed 213 restarted keepers prolonged each other's gaps for ever.
    for (uint64_t seed : { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 213 }) {
        ChaosResult result = runChaos(seed);
        EXPECT_EQ(result.doubleGrants, 0) << seed;
        EXPECT_EQ(result.wrongAnswers, 0) << seed;
        EXPECT_GT(result.grants, 20) << seed;
        EXPECT_TRUE(result.recovers) << seed;
    }
}

// Checks that the test above fails if any one of three mechanisms is disabled.
TEST(IdempotencyRecordsTest, RandomFaultsDetectEachDisabledMechanism)
{
    std::vector<Switches> switches(3);
    switches[0].keeper.waitAfterRestart = false;
    switches[1].keeper.waitInNewEpoch = false;
    switches[2].coordinator.requireMajority = false;
    for (const Switches& off : switches) {
        int doubleGrants = 0;
        for (uint64_t seed = 1; seed <= 12; ++seed)
            doubleGrants += runChaos(seed, off).doubleGrants;
        EXPECT_GT(doubleGrants, 0) << &off - switches.data();
    }
}

// Guards against a second run after a keeper of the majority restarted, and so lost its records, without a view change.
TEST(IdempotencyRecordsTest, RestartedKeeperRefusesUntilItHasCopiedTheRecords)
{
    for (bool wait : { true, false }) {
        Switches switches;
        switches.keeper.waitAfterRestart = wait;
        Cluster cluster(3, 1, switches);
        KeeperView view = viewOf(1, { 0, 1, 2 });
        cluster.bootstrap(view);
        cluster.drop = [](const HostId&, const HostId& to, const ClaimMessage& message) {
            return to == hostId(2) && std::holds_alternative<ClaimRequest>(message);
        };
        uint64_t first = cluster.claim(0, "key");
        cluster.advance(seconds(1));
        ASSERT_TRUE(cluster.granted.contains(first));

        cluster.restart(1);
        cluster.setView(1, view);
        cluster.drop = [](const HostId& from, const HostId& to, const ClaimMessage&) {
            return from == hostId(0) && to == hostId(2);
        };
        uint64_t second = cluster.claim(2, "key");
        cluster.advance(milliseconds(600));
        EXPECT_EQ(cluster.granted.contains(second), !wait);
        if (!wait)
            continue;
        EXPECT_EQ(cluster.refused.at(second).code, ResultCode::KeeperNotReady);
        cluster.drop = nullptr;
        cluster.advance(seconds(3));
        EXPECT_TRUE(cluster.keeper(1).isComplete(cluster.now));
        uint64_t third = cluster.claim(2, "key");
        uint64_t other = cluster.claim(2, "other");
        cluster.advance(seconds(1));
        EXPECT_EQ(cluster.refused.at(third).code, ResultCode::DuplicateRunning);
        EXPECT_TRUE(cluster.granted.contains(other));
    }
}

// Guards against this fault: a keeper grants a claim, crashes and copies the records of its peers; only then does the
// claim reach a majority, and the restarted keeper has no record of it.
TEST(IdempotencyRecordsTest, RestartedKeeperWaitsForClaimsThatItGrantedEarlier)
{
    for (bool settle : { true, false }) {
        Switches switches;
        switches.keeper.settleAfterRestart = settle;
        Cluster cluster(4, 1, switches);
        KeeperView view = viewOf(1, { 0, 1, 2 });
        cluster.bootstrap(view);
        ClaimMessage delayed;
        cluster.drop = [&delayed](const HostId&, const HostId& to, const ClaimMessage& message) {
            bool isRequest = std::holds_alternative<ClaimRequest>(message);
            if (isRequest && to == hostId(1))
                delayed = message;
            return isRequest && to != hostId(0);
        };
        uint64_t first = cluster.claim(3, "key");
        cluster.advance(milliseconds(100));
        cluster.restart(0);
        cluster.setView(0, view);
        cluster.advance(milliseconds(200));
        cluster.keeper(1).receive(hostId(3), delayed, cluster.now);
        cluster.advance(milliseconds(100));
        ASSERT_TRUE(cluster.granted.contains(first));

        cluster.drop = [](const HostId& from, const HostId& to, const ClaimMessage&) {
            return from == hostId(1) && to == hostId(2);
        };
        uint64_t second = cluster.claim(2, "key");
        cluster.advance(seconds(1));
        EXPECT_EQ(cluster.granted.contains(second), !settle);
    }
}

// Guards against new keepers that lack the records of the previous epoch.
TEST(IdempotencyRecordsTest, NewKeepersCopyTheRecords)
{
    for (bool wait : { true, false }) {
        Switches switches;
        switches.keeper.waitInNewEpoch = wait;
        Cluster cluster(6, 1, switches);
        cluster.bootstrap(viewOf(1, { 0, 1, 2 }));
        uint64_t first = cluster.claim(0, "key");
        std::vector<uint64_t> more;
        for (size_t i = 0; i < 3 * maxRecordsPerChunk; ++i)
            more.push_back(cluster.claim(1, "more" + std::to_string(i)));
        cluster.advance(seconds(1));
        ASSERT_TRUE(cluster.granted.contains(first));
        cluster.coordinator(0).markForwarded(first);
        cluster.coordinator(0).finish(first, "the answer", cluster.now);
        cluster.advance(seconds(1));

        cluster.drop = [](const HostId&, const HostId&, const ClaimMessage& message) {
            return std::holds_alternative<TransferChunk>(message);
        };
        for (size_t i = 0; i < 6; ++i)
            cluster.setView(i, viewOf(2, { 3, 4, 5 }));
        uint64_t early = cluster.claim(4, "key");
        cluster.advance(seconds(1));
        EXPECT_EQ(cluster.granted.contains(early), !wait);
        if (!wait)
            continue;
        EXPECT_EQ(cluster.refused.at(early).code, ResultCode::KeeperNotReady);
        // One of the three previous keepers may be lost.
        cluster.drop = [](const HostId& from, const HostId&, const ClaimMessage&) { return from == hostId(1); };
        cluster.advance(seconds(2));
        EXPECT_GE(cluster.keeper(3).size(), more.size() + 1);
        uint64_t late = cluster.claim(4, "key");
        cluster.advance(seconds(1));
        EXPECT_EQ(cluster.refused.at(late).code, ResultCode::Ok);
        EXPECT_EQ(cluster.refused.at(late).answer, "the answer");
    }
}

// Guards against treating all keepers as incomplete after a fault and an epoch change, so that the next epoch change
// blocks every key for the retention time. A key whose records were lost at two keepers is still blocked.
TEST(IdempotencyRecordsTest, LostKeepersBlockOnlyTheirKeysAcrossEpochs)
{
    struct Case {
        std::vector<size_t> lost;
        size_t lowest;
        size_t highest;
    };
    // Hosts 0, 3 and 6 form one data centre; hosts 0 and 1 share about a ninth of the keys.
    constexpr size_t keys = 200;
    for (const Case& lossCase : { Case { { 0, 3, 6 }, keys, keys }, Case { { 0, 1 }, 150, 190 } }) {
        Cluster cluster(9, 1);
        cluster.bootstrap(viewOf(1, { 0, 1, 2, 3, 4, 5, 6, 7, 8 }));
        for (size_t host : lossCase.lost)
            cluster.restart(host);
        std::vector<size_t> others;
        for (size_t host = 0; host < 9; ++host) {
            if (std::find(lossCase.lost.begin(), lossCase.lost.end(), host) == lossCase.lost.end())
                others.push_back(host);
        }
        for (uint64_t epoch = 2; epoch <= 4; ++epoch) {
            for (size_t host : others)
                cluster.setView(host, viewOf(epoch, others));
            cluster.advance(seconds(2));
        }
        for (size_t i = 0; i < keys; ++i)
            cluster.claim(others[0], std::to_string(i));
        cluster.advance(seconds(1));
        EXPECT_GE(cluster.granted.size(), lossCase.lowest);
        EXPECT_LE(cluster.granted.size(), lossCase.highest);
    }
}

// Guards against a majority of the old view that includes a keeper which has already received the new one.
TEST(IdempotencyRecordsTest, KeeperRefusesClaimsOfAnotherEpoch)
{
    for (bool fence : { true, false }) {
        Switches switches;
        switches.keeper.fenceEpochs = fence;
        Cluster cluster(6, 1, switches);
        cluster.bootstrap(viewOf(1, { 0, 1, 2 }));
        for (size_t host : { 0, 2, 3, 4 })
            cluster.setView(host, viewOf(2, { 0, 3, 4 }));
        cluster.advance(seconds(2));
        ASSERT_TRUE(cluster.keeper(3).isComplete(cluster.now));
        uint64_t old = cluster.claim(5, "key");
        cluster.advance(seconds(1));
        EXPECT_EQ(cluster.granted.contains(old), !fence);
        cluster.drop = [](const HostId& from, const HostId& to, const ClaimMessage&) {
            return from == hostId(0) && to == hostId(4);
        };
        uint64_t current = cluster.claim(4, "key");
        cluster.advance(seconds(1));
        EXPECT_TRUE(cluster.granted.contains(current));
    }
}

// Guards against two entry daemons that both run a request because each reached one keeper first.
TEST(IdempotencyRecordsTest, RaceOfTwoEntryDaemonsHasAtMostOneWinner)
{
    for (bool majority : { true, false }) {
        Switches switches;
        switches.coordinator.requireMajority = majority;
        Cluster cluster(5, 1, switches);
        cluster.bootstrap(viewOf(1, { 0, 1, 2 }));
        cluster.drop = [](const HostId& from, const HostId& to, const ClaimMessage& message) {
            bool isOwnKeeper = (from == hostId(3) && to == hostId(0)) || (from == hostId(4) && to == hostId(1));
            return std::holds_alternative<ClaimRequest>(message) && !isOwnKeeper;
        };
        cluster.claim(3, "key");
        cluster.claim(4, "key");
        cluster.advance(seconds(3));
        EXPECT_EQ(cluster.granted.size(), majority ? 0U : 2U);
        if (!majority)
            continue;
        // The claims that got no majority were released.
        cluster.drop = nullptr;
        uint64_t next = cluster.claim(3, "key");
        cluster.advance(seconds(1));
        EXPECT_TRUE(cluster.granted.contains(next));
    }
}

// Keepers and an entry daemon are partitioned from the rest and miss a new view; later the new keepers stop waiting for
// their records. Guards against a second run: without fencing both sides grant the key within the retention time.
TEST(IdempotencyRecordsTest, KeepersWithAStaleConfigurationRefuse)
{
    for (bool fence : { true, false }) {
        Switches switches;
        switches.keeper.fenceStaleConfiguration = fence;
        switches.coordinator.fenceStaleConfiguration = fence;
        Cluster cluster(8, 1, switches);
        cluster.bootstrap(viewOf(1, { 0, 1, 2 }));
        // Hosts 0, 1, 2 and 6 are partitioned from the control hosts and from the other hosts.
        cluster.unproven = { 0, 1, 2, 6 };
        cluster.drop = [&](const HostId& from, const HostId& to, const ClaimMessage&) {
            return cluster.unproven.contains(cluster.numberOf(from)) != cluster.unproven.contains(cluster.numberOf(to));
        };
        for (size_t host : { 3, 4, 5, 7 })
            cluster.setView(host, viewOf(2, { 3, 4, 5 }));
        cluster.advance(maxConfigurationAge - seconds(1));
        uint64_t soon = cluster.claim(6, "soon");
        cluster.advance(retention - maxConfigurationAge);
        EXPECT_TRUE(cluster.granted.contains(soon));
        uint64_t old = cluster.claim(6, "key");
        cluster.advance(maxConfigurationAge + seconds(3));
        uint64_t current = cluster.claim(7, "key");
        uint64_t resent = cluster.claim(7, "soon");
        cluster.advance(seconds(1));
        EXPECT_TRUE(cluster.granted.contains(current));
        // The record of "soon" has expired by now: the new keepers also waited for maxConfigurationAge.
        EXPECT_TRUE(cluster.granted.contains(resent));
        EXPECT_GE(cluster.askedAt.at(resent) - cluster.askedAt.at(soon), retention);
        EXPECT_EQ(cluster.granted.contains(old), !fence);
        if (fence) {
            EXPECT_EQ(cluster.refused.at(old).code, ResultCode::KeeperNotReady);
            EXPECT_EQ(runState(cluster.refused.at(old).code), RunState::NotRun);
        }
    }
}

// Guards against fencing on one side only: an entry daemon with a stale configuration starts no claim, and a keeper
// with a stale one refuses the claims of an entry daemon with a current one.
TEST(IdempotencyRecordsTest, KeepersAndCoordinatorsFenceIndependently)
{
    for (bool areKeepersStale : { true, false }) {
        Switches switches;
        Cluster cluster(4, 1, switches);
        cluster.bootstrap(viewOf(1, { 0, 1, 2 }));
        cluster.unproven = areKeepersStale ? std::set<size_t> { 0, 1, 2 } : std::set<size_t> { 3 };
        cluster.advance(maxConfigurationAge + seconds(1));
        uint64_t call = cluster.claim(3, "key");
        cluster.advance(seconds(1));
        EXPECT_EQ(cluster.refused.at(call).code, ResultCode::KeeperNotReady);
        cluster.unproven.clear();
        cluster.advance(step);
        uint64_t next = cluster.claim(3, "key");
        cluster.advance(seconds(1));
        EXPECT_TRUE(cluster.granted.contains(next));
    }
}

// Guards against races between two entry daemons in which neither may run the request.
TEST(IdempotencyRecordsTest, OneOfTwoRacingEntryDaemonsRunsTheRequest)
{
    for (bool overrides : { false, true }) {
        int neither = 0;
        for (uint64_t seed = 1; seed <= 1000; ++seed) {
            Switches switches;
            switches.coordinator.majorityOverridesRunning = overrides;
            Cluster cluster(5, seed, switches);
            cluster.maxDelaySteps = 3;
            cluster.bootstrap(viewOf(1, { 0, 1, 2 }));
            cluster.claim(3, "key");
            cluster.claim(4, "key");
            cluster.advance(seconds(1));
            EXPECT_LE(cluster.granted.size(), 1U) << seed;
            neither += cluster.granted.empty() ? 1 : 0;
        }
        std::printf("majority_outweighs_running=%d races=1000 neither=%d\n", static_cast<int>(overrides), neither);
        EXPECT_EQ(neither == 0, overrides);
    }
}

// Guards against a release after the request was forwarded, and a release by another coordinator.
TEST(IdempotencyRecordsTest, ReleasesOnlyOwnClaimsThatWereNotForwarded)
{
    Cluster cluster(3, 1);
    cluster.bootstrap(viewOf(1, { 0, 1, 2 }));
    uint64_t first = cluster.claim(0, "key");
    cluster.advance(seconds(1));
    for (size_t i = 0; i < 3; ++i)
        cluster.keeper(i).receive(hostId(1), ClaimRelease { { hostId(1), 2, 1 }, "key" }, cluster.now);
    uint64_t second = cluster.claim(1, "key");
    cluster.advance(seconds(1));
    EXPECT_EQ(cluster.refused.at(second).code, ResultCode::DuplicateRunning);
    cluster.coordinator(0).abandon(first, cluster.now);
    cluster.advance(seconds(1));
    uint64_t third = cluster.claim(1, "key");
    cluster.advance(seconds(1));
    ASSERT_TRUE(cluster.granted.contains(third));
    cluster.coordinator(1).markForwarded(third);
    cluster.coordinator(1).abandon(third, cluster.now);
    cluster.advance(seconds(1));
    uint64_t fourth = cluster.claim(2, "key");
    cluster.advance(seconds(1));
    EXPECT_EQ(cluster.refused.at(fourth).code, ResultCode::DuplicateUnknown);
    EXPECT_EQ(cluster.coordinator(1).openCalls(), 0U);
    EXPECT_FALSE(cluster.coordinator(1).nextWakeup());
}

// Guards against a table that evicts records early, exceeds its limits, or blocks keys for ever.
TEST(IdempotencyRecordsTest, TableIsBoundedAndExpires)
{
    Switches switches;
    switches.keeper.maxRecords = 3;
    switches.keeper.maxAnswerBytes = 5000;
    Cluster cluster(3, 1, switches);
    cluster.bootstrap(viewOf(1, { 0, 1, 2 }));
    std::vector<std::string> answers { std::string(4096, 'a'), std::string(4097, 'b'), std::string(1000, 'c') };
    for (size_t i = 0; i < 3; ++i) {
        uint64_t call = cluster.claim(0, std::to_string(i));
        cluster.advance(seconds(1));
        cluster.coordinator(0).markForwarded(call);
        cluster.coordinator(0).finish(call, answers[i], cluster.now);
        cluster.advance(seconds(1));
    }
    EXPECT_EQ(cluster.keeper(0).answerBytes(), 4096U);
    uint64_t stored = cluster.claim(1, "0");
    uint64_t tooLarge = cluster.claim(1, "1");
    uint64_t noRoom = cluster.claim(1, "2");
    uint64_t full = cluster.claim(1, "3");
    cluster.advance(seconds(1));
    EXPECT_EQ(cluster.refused.at(stored).answer, answers[0]);
    EXPECT_EQ(cluster.refused.at(tooLarge).code, ResultCode::DuplicateUnknown);
    EXPECT_EQ(cluster.refused.at(noRoom).code, ResultCode::DuplicateUnknown);
    EXPECT_EQ(cluster.refused.at(full).code, ResultCode::DuplicateTableFull);
    cluster.advance(retention);
    EXPECT_EQ(cluster.keeper(0).size(), 0U);
    EXPECT_EQ(cluster.keeper(0).answerBytes(), 0U);
    uint64_t again = cluster.claim(1, "0");
    cluster.advance(seconds(1));
    EXPECT_TRUE(cluster.granted.contains(again));
}

// Guards against a single-node mesh that cannot grant claims, or that grants a key again after a restart.
TEST(IdempotencyRecordsTest, SingleKeeperWaitsForTheRetentionTimeAfterARestart)
{
    Cluster cluster(1, 1);
    KeeperView view = viewOf(1, { 0 });
    cluster.bootstrap(view);
    uint64_t first = cluster.claim(0, "key");
    cluster.advance(seconds(1));
    EXPECT_TRUE(cluster.granted.contains(first));
    cluster.restart(0);
    cluster.setView(0, view);
    uint64_t second = cluster.claim(0, "key");
    cluster.advance(retention + maxConfigurationAge);
    EXPECT_EQ(cluster.refused.at(second).code, ResultCode::KeeperNotReady);
    uint64_t third = cluster.claim(0, "key");
    cluster.advance(seconds(1));
    EXPECT_TRUE(cluster.granted.contains(third));
}

// Guards against keepers of a key that share a data centre without need, depend on the order of the view, or change
// when another host is removed.
RC_GTEST_PROP(IdempotencyRecordsTest, KeepersAreSpreadAndStable, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    std::vector<size_t> hosts;
    for (size_t i = 0; i < 3 + random() % 20; ++i)
        hosts.push_back(i);
    std::string key = std::to_string(random());
    KeeperView view = viewOf(1, hosts);
    std::vector<HostId> keepers = keepersOf(key, view);
    std::set<size_t> dataCentres;
    for (const HostId& keeper : keepers)
        dataCentres.insert(std::stoul(keeper.value().substr(1)) % 3);
    RC_ASSERT(keepers.size() == keepersPerKey);
    RC_ASSERT(dataCentres.size() == 3U);
    std::shuffle(view.hosts.begin(), view.hosts.end(), random);
    RC_ASSERT(keepersOf(key, view) == keepers);
    KeeperHost removed = view.hosts.back();
    view.hosts.pop_back();
    if (std::find(keepers.begin(), keepers.end(), removed.host) == keepers.end())
        RC_ASSERT(keepersOf(key, view) == keepers);
}

// Guards against messages that are changed by encoding and decoding, and against malformed frames that are accepted or
// crash the daemon.
RC_GTEST_PROP(IdempotencyRecordsTest, WireFormatRoundTripsAndRejectsMalformedBytes, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    ClaimId id { hostId(random() % 100), random(), random() };
    std::string key = claimKey({}, "POST", "/orders", IdempotencyKey(std::to_string(random())));
    std::string answer(random() % maxStoredAnswerBytes, '\0');
    IdempotencyRecord record { key, RecordState::Finished, { id, id }, answer, Duration(random() % 1'000'000) };
    KeeperGap gap { viewOf(random(), { 0, 1, 2, 3 }), { hostId(1), hostId(2) }, Duration(random() % 1'000'000) };
    std::vector<ClaimMessage> messages {
        ClaimRequest { id, Epoch(random()), key },
        ClaimReply { id, ClaimStatus::Finished, ResultCode::Ok, answer },
        ClaimRelease { id, key },
        ClaimFinish { id, key, true, answer },
        ClaimAck { id },
        TransferRequest { Epoch(random()), TransferPurpose::Restart, random(), key },
        TransferChunk {
            Epoch(random()), TransferPurpose::Restart, random(), key, true, false, { gap }, { record, record } },
    };
    for (const ClaimMessage& message : messages) {
        std::string bytes = encode(message);
        ClaimMessage decoded;
        RC_ASSERT(!decode(bytes, decoded));
        RC_ASSERT(decoded == message);
        RC_ASSERT(decode(bytes + "x", decoded) == ResultCode::MalformedFrame);
        RC_ASSERT(decode(bytes.substr(0, random() % bytes.size()), decoded) == ResultCode::MalformedFrame);
        bytes[random() % bytes.size()] = static_cast<char>(random());
        decode(bytes, decoded);
    }
    ClaimMessage decoded;
    ClaimFinish tooLarge { id, key, true, std::string(maxStoredAnswerBytes + 1, 'a') };
    RC_ASSERT(decode(encode(tooLarge), decoded) == ResultCode::MalformedFrame);
    ClaimRequest longKey { id, Epoch(1), std::string(maxClaimKeyBytes + 1, 'k') };
    RC_ASSERT(decode(encode(longKey), decoded) == ResultCode::MalformedFrame);
}

} // namespace dragonflylane
