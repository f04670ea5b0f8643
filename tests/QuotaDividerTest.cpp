// Tests of QuotaDivider together with QuotaShare, without a network: what a tenant gets of its allotment when its
// demand moves between daemons, and that no fault makes all daemons together admit more than the allotment.

#include "tests/QuotaFleet.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TenantName reader("reader");

    TenantEntry tenant(double rate, double burst)
    {
        return { .name = reader, .ratePerSecond = rate, .burst = burst };
    }

    constexpr Duration usualWindow = QuotaDividerOptions().window;
    constexpr Duration usualLease = QuotaDividerOptions().lease;

    // Runs long enough for the waits of a new leader and of new processes.
    void warmUp(QuotaFleet& fleet)
    {
        fleet.run(seconds(6));
    }

    enum class Fault {
        None,
        Kill,
        Freeze,
        Cut,
        RestartAll,
        LeaderChange,
        LeaderAndCut,
        LoweredLimit,
        Last = LoweredLimit,
    };

    void begin(QuotaFleet& fleet, Fault fault, size_t victim)
    {
        switch (fault) {
        case Fault::None:
            return;
        case Fault::Kill:
            return fleet.killDaemon(victim);
        case Fault::Freeze:
            fleet.daemon(victim).isFrozen = true;
            return;
        case Fault::Cut:
            fleet.daemon(victim).isCut = true;
            return;
        case Fault::RestartAll:
            return fleet.restartAll();
        case Fault::LeaderChange:
            return fleet.stopLeader();
        case Fault::LeaderAndCut:
            fleet.daemon(victim).isCut = true;
            return fleet.stopLeader();
        case Fault::LoweredLimit:
            return fleet.setRate(1);
        }
    }

    void end(QuotaFleet& fleet, Fault fault, size_t victim)
    {
        fleet.daemon(victim).isFrozen = false;
        fleet.daemon(victim).isCut = false;
        if (fault == Fault::Kill)
            fleet.startDaemon(victim);
        if (!fleet.leader())
            fleet.setLeader(fleet.random()() % 3);
    }

    void setRandomDemand(QuotaFleet& fleet, double rate)
    {
        for (size_t index = 0; index < fleet.size(); ++index)
            fleet.daemon(index).demandPerSecond
                = fleet.chance(0.5) ? rate * static_cast<double>(1 + fleet.random()() % 3) : 0;
    }

    // One random schedule with one fault, during which demand moves.
    void runSchedule(uint64_t seed)
    {
        std::mt19937_64 random(seed);
        double rate = 1 + static_cast<double>(random() % 40);
        QuotaFleet fleet({ .daemons = 2 + random() % 4,
                             .loss = static_cast<double>(random() % 3) / 10,
                             .duplication = static_cast<double>(random() % 2) / 10,
                             .maxDelay = milliseconds(1 + random() % 120),
                             .seed = seed },
            tenant(rate, rate));
        uint32_t limit = fleet.limit();
        auto fault = static_cast<Fault>(random() % (static_cast<uint64_t>(Fault::Last) + 1));
        size_t victim = random() % fleet.size();
        for (int phase = 0; phase < 3; ++phase) {
            setRandomDemand(fleet, rate);
            fleet.run(milliseconds(500 + random() % 3000));
        }
        begin(fleet, fault, victim);
        TimePoint lowered = fleet.now();
        for (int phase = 0; phase < 2; ++phase) {
            setRandomDemand(fleet, rate);
            fleet.run(milliseconds(100 + random() % 3500));
        }
        end(fleet, fault, victim);
        for (int phase = 0; phase < 3; ++phase) {
            setRandomDemand(fleet, rate);
            fleet.run(milliseconds(500 + random() % 3000));
        }
        ASSERT_LE(fleet.worstWindow({}, TimePoint::max()), limit)
            << "seed " << seed << " fault " << static_cast<int>(fault);
        // Time for the configuration to reach all daemons, and one window.
        TimePoint binding = lowered + seconds(2) + seconds(2);
        ASSERT_LE(fleet.worstWindow(binding, TimePoint::max()), fleet.limit()) << "seed " << seed;
    }

} // namespace

// Faults of every kind, with lost, repeated and reordered messages, while demand moves between daemons.
TEST(QuotaDividerTest, NoFaultMakesAnyWindowExceedTheLimit)
{
    constexpr uint64_t schedules = 10'000;
    for (uint64_t seed = 1; seed <= schedules; ++seed) {
        runSchedule(seed);
        if (HasFatalFailure())
            return;
    }
}

// A hot tenant: callers send several times the allotment, all to one data centre at first, then to the others. The mean
// over the moments of a window at which the demand moves.
TEST(QuotaDividerTest, TenantGetsItsAllotmentWhereverItAsks)
{
    double before = 0;
    double after = 0;
    constexpr int runs = 10;
    constexpr int windows = 20;
    for (int number = 0; number < runs; ++number) {
        QuotaFleet fleet(
            { .daemons = 8, .window = usualWindow, .lease = usualLease, .seed = 1U + number }, tenant(100, 50));
        for (size_t index = 0; index < 8; ++index)
            fleet.daemon(index).demandPerSecond = index < 2 ? 200 : 0;
        warmUp(fleet);
        fleet.run(usualWindow * number / runs);
        TimePoint start = fleet.now();
        fleet.run(usualWindow * windows);
        TimePoint moved = fleet.now();
        for (size_t index = 0; index < 8; ++index)
            fleet.daemon(index).demandPerSecond = index < 2 ? 0 : 100;
        fleet.run(usualWindow * 4);
        // The window before the move is counted too, since its admissions limit those of the next one.
        double perWindow = fleet.limit() * runs;
        before += static_cast<double>(fleet.admittedBetween(start, moved)) / (perWindow * windows);
        after += static_cast<double>(fleet.admittedBetween(moved - usualWindow, fleet.now())) / (perWindow * 5);
    }
    EXPECT_GE(before, 0.97);
    EXPECT_GE(after, 0.97);
}

// Many daemons and fewer requests in a window than daemons: rounding must not lose the allotment.
TEST(QuotaDividerTest, SmallTenantGetsItsAllotment)
{
    QuotaFleet fleet({ .daemons = 40, .window = usualWindow, .lease = usualLease, .seed = 4 }, tenant(5, 5));
    for (size_t index = 0; index < 40; ++index)
        fleet.daemon(index).demandPerSecond = 1;
    warmUp(fleet);
    TimePoint start = fleet.now();
    fleet.run(seconds(1000));
    EXPECT_GE(fleet.admittedBetween(start, fleet.now()), 0.97 * fleet.limit() / 5.0 * 1000);
}

// Usual load below the allotment: nothing is refused, and nearly nothing waits for another host.
TEST(QuotaDividerTest, DemandWithinTheAllotmentIsAdmittedAtOnce)
{
    QuotaFleet fleet({ .daemons = 8, .window = usualWindow, .lease = usualLease, .seed = 5 }, tenant(160, 160));
    for (size_t index = 0; index < 8; ++index)
        fleet.daemon(index).demandPerSecond = 12;
    warmUp(fleet);
    for (size_t index = 0; index < 8; ++index)
        fleet.daemon(index).wanted = fleet.daemon(index).admittedAtOnce = fleet.daemon(index).refused = 0;
    fleet.run(seconds(30));
    for (size_t index = 0; index < 8; ++index) {
        EXPECT_EQ(fleet.daemon(index).refused, 0U);
        EXPECT_GE(static_cast<double>(fleet.daemon(index).admittedAtOnce),
            0.99 * static_cast<double>(fleet.daemon(index).wanted));
    }
}

// The leader is away: daemons go on at their usual rate until their leases end, and then say that they don't know.
TEST(QuotaDividerTest, DaemonsServeWithoutALeaderUntilTheirLeasesEnd)
{
    QuotaFleet fleet({ .daemons = 4, .seed = 6 }, tenant(100, 100));
    for (size_t index = 0; index < 4; ++index)
        fleet.daemon(index).demandPerSecond = 15;
    warmUp(fleet);
    fleet.stopLeader();
    TimePoint start = fleet.now();
    fleet.run(milliseconds(2500));
    EXPECT_GE(fleet.admittedBetween(start, fleet.now()), 0.97 * 60 * 2.5);
    fleet.run(seconds(4));
    TimePoint ended = fleet.now();
    uint64_t refused = fleet.daemon(0).refused;
    fleet.run(seconds(2));
    EXPECT_EQ(fleet.admittedBetween(ended, fleet.now()), 0U);
    EXPECT_EQ(fleet.daemon(0).refused, refused);
    EXPECT_GT(fleet.daemon(0).unavailable, 0U);
}

// All processes are killed at once: the tenant is served again once the window of the old processes has passed.
TEST(QuotaDividerTest, AllotmentReturnsOneWindowAfterTheRestartOfAll)
{
    QuotaFleet fleet({ .daemons = 4, .window = usualWindow, .lease = usualLease, .seed = 7 }, tenant(100, 0));
    for (size_t index = 0; index < 4; ++index)
        fleet.daemon(index).demandPerSecond = 50;
    warmUp(fleet);
    fleet.restartAll();
    fleet.run(milliseconds(500));
    fleet.setLeader(1);
    fleet.run(usualWindow);
    TimePoint start = fleet.now();
    fleet.run(seconds(60));
    EXPECT_GE(fleet.admittedBetween(start, fleet.now()), 0.97 * 100 * 60);
}

// All processes are killed at once: only half of what a window may exceed the limit by is granted until a window has
// passed. The other half adds to the limit.
TEST(QuotaDividerTest, RestartOfAllGrantsNoMoreThanTheReserve)
{
    TimePoint start(std::chrono::hours(1));
    QuotaDivider divider({ .tolerance = { .overage = 0.1, .slack = 4 }, .startedAt = start });
    divider.setLimits({ tenant(10, 10) }, start);
    divider.setHost(HostId("a"), true, start);
    divider.lead(Term(1), start);
    uint64_t number = 1;
    auto ask = [&](TimePoint now) {
        QuotaReport report {
            .host = HostId("a"), .life = BootId(1), .number = Sequence(number++), .age = now - start, .isComplete = true
        };
        report.demands.push_back({ .tenant = reader, .wanted = 70, .waiting = 70 });
        return divider.receive(report, now)->allowances.at(0).allowance;
    };
    // Half of 0.1 * 60 + 4.
    constexpr uint32_t allowed = 5;
    EXPECT_EQ(ask(start + seconds(1)), allowed);
    EXPECT_EQ(ask(start + seconds(4)), allowed);
    EXPECT_EQ(ask(start + usualWindow + seconds(1)), 65U);
}

// All processes are killed at once, and one of many hosts doesn't come back: the others are served once a window has
// passed, and not only when the lease of the lost host has ended.
TEST(QuotaDividerTest, LostHostDoesNotStopTenantsOfALargeMesh)
{
    constexpr size_t hosts = 40;
    TimePoint start(std::chrono::hours(1));
    QuotaDivider divider({ .startedAt = start });
    divider.setLimits({ tenant(100, 100) }, start);
    for (size_t i = 0; i < hosts; ++i)
        divider.setHost(HostId("host-" + std::to_string(i)), true, start);
    divider.setHost(HostId("host-0"), false, start + seconds(1));
    divider.lead(Term(1), start + seconds(1));
    TimePoint now = start + usualWindow + seconds(2);
    uint32_t granted = 0;
    for (size_t i = 1; i < hosts; ++i) {
        QuotaReport report { .host = HostId("host-" + std::to_string(i)),
            .life = BootId(1),
            .number = Sequence(1),
            .age = now - start,
            .isComplete = true };
        report.demands.push_back({ .tenant = reader, .wanted = 20, .waiting = 20 });
        granted += divider.receive(report, now)->allowances.at(0).allowance;
    }
    // 600 in a window, less the share of the lost host.
    EXPECT_GT(granted, 500U);
    EXPECT_LE(granted, 585U);
}

// A configuration adds a tenant: it is served at once, since nobody can hold any of its allotment.
TEST(QuotaDividerTest, NewTenantIsServedAtOnce)
{
    TimePoint now(std::chrono::hours(1));
    QuotaDivider divider({ .startedAt = now });
    divider.lead(Term(1), now);
    divider.setHost(HostId("a"), true, now);
    now += seconds(2);
    divider.setLimits({ tenant(10, 10) }, now);
    QuotaReport report { .host = HostId("a"), .life = BootId(1), .number = Sequence(1), .isComplete = true };
    report.demands.push_back({ .tenant = reader, .wanted = 3 });
    auto grant = divider.receive(report, now);
    ASSERT_TRUE(grant);
    ASSERT_EQ(grant->allowances.size(), 1U);
    EXPECT_GE(grant->allowances[0].allowance, 3U);
}

// A lost answer must not be applied after the daemon has reported again.
TEST(QuotaShareTest, AcceptsOnlyTheAnswerToItsLatestReport)
{
    TimePoint now(std::chrono::hours(1));
    QuotaShare share({ .self = HostId("a"), .life = BootId(1), .startedAt = now });
    share.setTenants({ tenant(10, 10) });
    auto first = share.takeReport(now);
    ASSERT_TRUE(first);
    now += seconds(1);
    auto second = share.takeReport(now);
    ASSERT_TRUE(second);
    QuotaGrant grant { .term = Term(1), .life = BootId(1), .number = first->number };
    grant.allowances.push_back({ .tenant = reader, .allowance = 5 });
    EXPECT_FALSE(share.accept(grant, now));
    EXPECT_NE(share.trySpend(reader, now), QuotaVerdict::Admitted);
    grant.number = second->number;
    EXPECT_TRUE(share.accept(grant, now));
    EXPECT_FALSE(share.accept(grant, now));
    EXPECT_EQ(share.trySpend(reader, now), QuotaVerdict::Admitted);
}

// Callers that are refused are told when the tenant's next request can be admitted.
TEST(QuotaShareTest, RetryAfterIsTheEndOfTheOldestSpend)
{
    TimePoint now(std::chrono::hours(1));
    QuotaShare share({ .self = HostId("a"), .life = BootId(1), .startedAt = now });
    share.setTenants({ tenant(10, 10) });
    auto report = share.takeReport(now);
    ASSERT_TRUE(report);
    QuotaGrant grant { .term = Term(1), .life = BootId(1), .number = report->number };
    grant.allowances.push_back({ .tenant = reader, .allowance = 1, .retryAfter = milliseconds(200) });
    ASSERT_TRUE(share.accept(grant, now));
    ASSERT_EQ(share.trySpend(reader, now), QuotaVerdict::Admitted);
    now += milliseconds(100);
    EXPECT_NE(share.trySpend(reader, now), QuotaVerdict::Admitted);
    Duration retryAfter = share.retryAfter(reader, now);
    EXPECT_GE(retryAfter, milliseconds(4900));
    EXPECT_LE(retryAfter, milliseconds(4950));
    EXPECT_NE(share.trySpend(reader, now + retryAfter - milliseconds(1)), QuotaVerdict::Admitted);
    EXPECT_EQ(share.trySpend(reader, now + retryAfter), QuotaVerdict::Admitted);
}

} // namespace dragonflylane
