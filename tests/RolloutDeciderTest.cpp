#include "dragonflylane/RolloutDecider.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <random>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration reportInterval = milliseconds(200);
    // From a decision of the leader until the daemons follow it: commit and distribution.
    constexpr Duration applyDelay = milliseconds(400);
    const TimePoint start { seconds(100) };
    const UpstreamVersion target("v2");

    /// Rates of bad answers at a time since the start and a share of the target.
    using BadRate = std::function<double(Duration elapsed, uint32_t sharePermille)>;

    BadRate constantly(double rate)
    {
        return [rate](Duration, uint32_t) { return rate; };
    }

    struct Route {
        double requestsPerSecond;
        BadRate target;
        BadRate others;
    };

    struct Scenario {
        std::vector<Route> routes;
        seconds duration { 12 };
        /// At this time another leader continues; zero: none.
        Duration leaderChangeAt { 0 };
    };

    struct Result {
        RolloutState state { RolloutState::Running };
        Duration elapsed { 0 };
        uint64_t requests { 0 };
        uint64_t sentToTarget { 0 };
        uint64_t badOfTarget { 0 };

        // What the operators of the mesh allow a bad version: a tenth of the requests, and 50.
        bool isExposureAllowed() const { return sentToTarget <= requests / 10 + 50; }
    };

    /// One daemon that sends the requests of all routes, and a leader.
    class RolloutRun {
    public:
        RolloutRun(Scenario scenario, uint64_t seed)
            : m_scenario(std::move(scenario))
            , m_random(seed)
            , m_decider(m_item, start)
        {
            m_report.host = HostId("h");
            m_report.process = 1;
        }

        Result run()
        {
            for (Duration elapsed = reportInterval; elapsed <= m_scenario.duration; elapsed += reportInterval) {
                applyCommands(start + elapsed);
                for (size_t i = 0; i < m_scenario.routes.size(); ++i)
                    send(i, elapsed);
                ++m_report.number;
                if (m_scenario.leaderChangeAt == elapsed)
                    m_decider = RolloutDecider(m_item, start + elapsed);
                if (m_item.state == RolloutState::Running)
                    decide(start + elapsed);
            }
            return m_result;
        }

    private:
        struct Pending {
            TimePoint at;
            AdvanceRolloutCommand command;
        };

        void decide(TimePoint now)
        {
            m_decider.add(m_report, now);
            auto command = m_decider.decide(now);
            if (command && m_pending.empty())
                m_pending.push_back({ now + applyDelay, *command });
        }

        void applyCommands(TimePoint now)
        {
            if (m_pending.empty() || m_pending.front().at > now || m_item.state != RolloutState::Running)
                return;
            const AdvanceRolloutCommand& command = m_pending.front().command;
            m_item.state = command.state;
            m_item.sharePermille = command.sharePermille;
            m_item.elapsed = command.elapsed;
            m_pending.pop_front();
            m_decider.follow(m_item, now);
            m_result.state = m_item.state;
            m_result.elapsed = now - start;
        }

        uint64_t draw(uint64_t count, double rate)
        {
            return std::binomial_distribution<uint64_t>(count, std::clamp(rate, 0.0, 1.0))(m_random);
        }

        void send(size_t index, Duration elapsed)
        {
            const Route& route = m_scenario.routes[index];
            double mean = route.requestsPerSecond * std::chrono::duration<double>(reportInterval).count();
            auto requests = static_cast<uint64_t>(std::poisson_distribution<int64_t>(mean)(m_random));
            bool isRunning = m_item.state == RolloutState::Running;
            uint64_t toTarget = isRunning ? draw(requests, m_item.sharePermille / 1000.0) : 0;
            uint64_t badOfTarget = draw(toTarget, route.target(elapsed, m_item.sharePermille));
            uint64_t badOfOthers = draw(requests - toTarget, route.others(elapsed, m_item.sharePermille));
            count(index, target, toTarget, badOfTarget);
            count(index, UpstreamVersion(), requests - toTarget, badOfOthers);
            m_result.requests += requests;
            m_result.sentToTarget += toTarget;
            m_result.badOfTarget += badOfTarget;
        }

        void count(size_t route, const UpstreamVersion& version, uint64_t sent, uint64_t bad)
        {
            auto tally = std::find_if(m_report.tallies.begin(), m_report.tallies.end(),
                [&](const RolloutTally& known) { return known.version == version && known.routeKey == route; });
            if (tally == m_report.tallies.end())
                tally = m_report.tallies.insert(tally, { m_item.service, version, route, {} });
            tally->counts.sent += sent;
            tally->counts.ended += sent;
            tally->counts.failed += bad;
        }

        Scenario m_scenario;
        std::mt19937_64 m_random;
        RolloutItem m_item { .service = ServiceName("orders"), .target = target, .duration = m_scenario.duration };
        RolloutDecider m_decider;
        RolloutReport m_report;
        std::deque<Pending> m_pending;
        Result m_result;
    };

    struct NamedScenario {
        const char* name;
        Scenario scenario;
    };

    // Rate of bad answers of a version; a data centre has trouble from 7 s to 9 s.
    BadRate sharedTrouble(double usually, double meanwhile)
    {
        return [=](Duration elapsed, uint32_t) {
            return elapsed >= seconds(7) && elapsed < seconds(9) ? meanwhile : usually;
        };
    }

    // Seven of 49 upstreams end at once at the full share, with six requests at each.
    double lostUpstreams(Duration elapsed, uint32_t sharePermille)
    {
        bool isLost = sharePermille == 1000 && elapsed == milliseconds(9400);
        return isLost ? 0.16 : 0.0;
    }

    std::vector<NamedScenario> goodVersions()
    {
        return {
            { "quiet", { .routes = { { 900, constantly(0), constantly(0) }, { 430, constantly(0), constantly(0) } } } },
            { "small service", { .routes = { { 20, constantly(0), constantly(0) } } } },
            { "noise",
                { .routes
                    = { { 900, constantly(0.03), constantly(0.03) }, { 30, constantly(0.03), constantly(0.03) } } } },
            { "newer hosts are worse", { .routes = { { 250, constantly(0.04), constantly(0.02) } } } },
            { "shared trouble",
                { .routes = { { 900, sharedTrouble(0.01, 0.4), sharedTrouble(0.01, 0.4) },
                      { 120, sharedTrouble(0.01, 0.3), sharedTrouble(0.01, 0.3) } } } },
            { "lost upstreams", { .routes = { { 1300, lostUpstreams, constantly(0) } } } },
            { "another leader in the first share",
                { .routes = { { 430, constantly(0.01), constantly(0.01) } }, .leaderChangeAt = seconds(5) } },
            { "another leader at the full share",
                { .routes = { { 430, constantly(0.01), constantly(0.01) } }, .leaderChangeAt = seconds(10) } },
            { "long", { .routes = { { 250, constantly(0.02), constantly(0.02) } }, .duration = seconds(40) } },
            { "short", { .routes = { { 250, constantly(0.02), constantly(0.02) } }, .duration = seconds(6) } },
        };
    }

    BadRate from(Duration since, double rate)
    {
        return [=](Duration elapsed, uint32_t) { return elapsed >= since ? rate : 0; };
    }

    BadRate underLoad(uint32_t sharePermille, double rate)
    {
        return [=](Duration, uint32_t share) { return share >= sharePermille ? rate : 0; };
    }

    std::vector<NamedScenario> badVersions()
    {
        return {
            { "all fail", { .routes = { { 900, constantly(1), constantly(0) } } } },
            { "a third fails", { .routes = { { 900, constantly(0.3), constantly(0.02) } } } },
            { "a fifth fails of a small service", { .routes = { { 100, constantly(0.2), constantly(0) } } } },
            { "late", { .routes = { { 900, from(seconds(5), 0.3), constantly(0) } } } },
            { "late, before the steps", { .routes = { { 900, from(milliseconds(8500), 0.3), constantly(0) } } } },
            { "under load", { .routes = { { 900, underLoad(250, 0.3), constantly(0) } } } },
            { "under the full load", { .routes = { { 900, underLoad(1000, 0.3), constantly(0) } } } },
            { "one route",
                { .routes = { { 900, constantly(0), constantly(0) }, { 120, constantly(0.3), constantly(0) } } } },
            { "during shared trouble", { .routes = { { 900, constantly(0.5), sharedTrouble(0.01, 0.3) } } } },
            { "another leader",
                { .routes = { { 900, from(seconds(4), 0.3), constantly(0) } }, .leaderChangeAt = seconds(4) } },
        };
    }

    constexpr uint64_t runsOfEach = 1000;

} // namespace

// Answers to the roll-out of a good version while hosts fail, requests fail at all versions, and leaders change.
TEST(RolloutDeciderTest, GoodVersionsAreCompletedInTime)
{
    for (const NamedScenario& good : goodVersions()) {
        uint64_t missed = 0;
        Duration latest { 0 };
        for (uint64_t seed = 1; seed <= runsOfEach; ++seed) {
            Result result = RolloutRun(good.scenario, seed).run();
            missed += result.state == RolloutState::Completed ? 0 : 1;
            latest = std::max(latest, result.elapsed);
        }
        std::printf("%-36s missed %lu of %lu, latest %.1f s\n", good.name, missed, runsOfEach,
            std::chrono::duration<double>(latest).count());
        EXPECT_LE(missed, runsOfEach / 1000) << good.name;
        EXPECT_LT(latest, good.scenario.duration) << good.name;
    }
}

// Answers to a version that fails or is slow, at once, later, under load or on one route.
TEST(RolloutDeciderTest, BadVersionsAreRolledBackBeforeTheyMeetManyRequests)
{
    for (const NamedScenario& bad : badVersions()) {
        uint64_t missed = 0;
        uint64_t overExposed = 0;
        Duration latest { 0 };
        uint64_t mostBad = 0;
        for (uint64_t seed = 1; seed <= runsOfEach; ++seed) {
            Result result = RolloutRun(bad.scenario, seed).run();
            missed += result.state == RolloutState::RolledBack ? 0 : 1;
            overExposed += result.isExposureAllowed() ? 0 : 1;
            latest = std::max(latest, result.elapsed);
            mostBad = std::max(mostBad, result.badOfTarget);
        }
        std::printf("%-36s missed %lu, over-exposed %lu of %lu, latest %.1f s, most bad answers %lu\n", bad.name,
            missed, overExposed, runsOfEach, std::chrono::duration<double>(latest).count(), mostBad);
        EXPECT_LE(missed, runsOfEach / 1000) << bad.name;
        EXPECT_EQ(overExposed, 0U) << bad.name;
    }
}

// The version has had the full share for some time when it turns bad, which no bound on its requests can prevent. It is
// still rolled back before the old upstreams stop.
TEST(RolloutDeciderTest, VersionThatTurnsBadAtTheFullShareIsRolledBack)
{
    for (uint64_t seed = 1; seed <= runsOfEach; ++seed) {
        Result result = RolloutRun({ .routes = { { 900, from(milliseconds(9300), 0.3), constantly(0) } } }, seed).run();
        ASSERT_EQ(result.state, RolloutState::RolledBack) << seed;
        ASSERT_LT(result.elapsed, seconds(12)) << seed;
    }
}

// The mesh has no leader for most of the duration: what is left is too short to watch the version.
TEST(RolloutDeciderTest, FullShareIsWatchedBeforeALateCompletion)
{
    RolloutItem item { .service = ServiceName("orders"), .target = target, .duration = seconds(12) };
    RolloutDecider decider(item, start);
    RolloutReport report { HostId("h"), 1, 1, { { ServiceName("orders"), target, 7, { .sent = 90, .ended = 90 } } } };
    TimePoint late = start + milliseconds(10800);
    decider.add(report, late);
    auto command = decider.decide(late);
    ASSERT_TRUE(command);
    EXPECT_EQ(command->state, RolloutState::Running);
    item.sharePermille = command->sharePermille;
    item.elapsed = command->elapsed;
    decider.follow(item, late);
    EXPECT_FALSE(decider.decide(late + milliseconds(100)));
}

// The new version has no upstream until the end, or nobody calls the service: the old upstreams must stay.
TEST(RolloutDeciderTest, VersionWithoutAnswersIsRolledBackAtTheEnd)
{
    Result result = RolloutRun({ .routes = { { 0.5, constantly(0), constantly(0) } } }, 1).run();
    EXPECT_EQ(result.state, RolloutState::RolledBack);
    EXPECT_LE(result.elapsed, seconds(12));
}

// Reports come twice, late or not at all.
TEST(RolloutDeciderTest, RepeatedAndLostReportsDoNotChangeTheCounts)
{
    RolloutEvidence evidence(ServiceName("orders"), target);
    RolloutReport report { HostId("h"), 1, 1, { { ServiceName("orders"), target, 7, { .sent = 10, .ended = 8 } } } };
    evidence.add(report, start);
    evidence.add(report, start);
    RolloutReport late = report;
    report.number = 3;
    report.tallies[0].counts = { .sent = 30, .ended = 29 };
    evidence.add(report, start);
    late.number = 2;
    evidence.add(late, start);
    EXPECT_EQ(evidence.target().sent, 30U);
    EXPECT_EQ(evidence.target().ended, 29U);
}

// The old upstreams stop without a drain, so completion waits for the last request at them.
TEST(RolloutDeciderTest, RequestsAtOtherVersionsDelayCompletion)
{
    RolloutEvidence evidence(ServiceName("orders"), target);
    RolloutReport report { HostId("h"), 1, 1, { { ServiceName("orders"), {}, 7, { .sent = 10, .ended = 9 } } } };
    evidence.add(report, start);
    TimePoint later = start + seconds(1);
    EXPECT_TRUE(evidence.hasRequestsAtOthers(later));
    report.number = 2;
    report.tallies[0].counts.ended = 10;
    evidence.add(report, later);
    EXPECT_FALSE(evidence.hasRequestsAtOthers(later));
}

} // namespace dragonflylane
