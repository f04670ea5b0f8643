#include "dragonflylane/UpstreamSelector.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>
#include <string>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };

    UpstreamCandidate candidate(int number, const std::string& dataCentre, const std::string& region = "r1")
    {
        std::string name = dataCentre + "-" + std::to_string(number);
        return { UpstreamId(name), HostId("host-" + name), DataCentreName(dataCentre), RegionName(region), 12, true,
            start - seconds(100) };
    }

    std::vector<UpstreamCandidate> candidates(int count, const std::string& dataCentre)
    {
        std::vector<UpstreamCandidate> result;
        result.reserve(static_cast<size_t>(count));
        for (int i = 0; i < count; ++i)
            result.push_back(candidate(i, dataCentre));
        return result;
    }

    UpstreamSelectorOptions optionsFor(uint64_t seed = 1)
    {
        UpstreamSelectorOptions options;
        options.self = HostId("entry");
        options.dataCentre = DataCentreName("a");
        options.region = RegionName("r1");
        options.seed = seed;
        return options;
    }

    /// Highest number of outstanding requests at any upstream in a run with a constant number in flight: with the
    /// selector, and with exhaustive search for the least loaded upstream.
    struct Imbalance {
        uint32_t chosen { 0 };
        uint32_t best { 0 };
    };

    Imbalance runImbalance(const UpstreamSelectorOptions& options, int upstreams, size_t inFlight)
    {
        UpstreamSelector selector(options);
        selector.rebuild(candidates(upstreams, "a"), start);
        std::deque<Choice> open;
        std::vector<uint32_t> exhaustive(static_cast<size_t>(upstreams));
        std::deque<size_t> exhaustiveOpen;
        Imbalance result;
        for (int i = 0; i < 3000; ++i) {
            if (open.size() == inFlight) {
                selector.finished(open.front(), SelectionOutcome::Success, std::nullopt, start);
                open.pop_front();
                --exhaustive[exhaustiveOpen.front()];
                exhaustiveOpen.pop_front();
            }
            open.push_back(*selector.choose({}, start));
            auto least = std::min_element(exhaustive.begin(), exhaustive.end());
            ++*least;
            exhaustiveOpen.push_back(static_cast<size_t>(least - exhaustive.begin()));
            result.chosen = std::max(result.chosen, selector.outstanding(open.back().upstream));
            result.best = std::max(result.best, *least);
        }
        return result;
    }

    /// Counts how many of the given number of choices go to the upstream. Each choice ends before the next one.
    int countChoices(UpstreamSelector& selector, const UpstreamId& id, int choices, TimePoint now)
    {
        int count = 0;
        for (int i = 0; i < choices; ++i) {
            Choice choice = *selector.choose({}, now);
            count += choice.upstream == id ? 1 : 0;
            selector.finished(choice, SelectionOutcome::Success, std::nullopt, now);
        }
        return count;
    }

} // namespace

// Guards against overloading single upstreams: the maximum load is at most 1.5 times that of exhaustive search, plus
// two.
RC_GTEST_PROP(UpstreamSelectorTest, LoadIsCloseToTheExhaustiveBestChoice, (uint64_t seed))
{
    int upstreams = 2 + static_cast<int>(seed % 19);
    size_t inFlight = 1 + seed / 19 % 9 * static_cast<size_t>(upstreams);
    Imbalance result = runImbalance(optionsFor(seed), upstreams, inFlight);
    RC_ASSERT(result.chosen <= result.best * 3 / 2 + 2);
}

// Checks that the property above is not satisfied by a single random choice.
TEST(UpstreamSelectorTest, OneRandomChoiceIsFarFromTheBest)
{
    UpstreamSelectorOptions options = optionsFor();
    options.twoChoices = false;
    Imbalance result = runImbalance(options, 20, 80);
    EXPECT_GT(result.chosen, result.best * 3 / 2 + 2);
}

// Guards against an upstream that is busy with requests of other entry daemons and still gets an even share of the
// requests of this one.
TEST(UpstreamSelectorTest, LoadReportsAffectTheChoiceAndExpire)
{
    for (bool useReports : { true, false }) {
        UpstreamSelectorOptions options = optionsFor();
        options.useReports = useReports;
        UpstreamSelector selector(options);
        std::vector<UpstreamCandidate> upstreams = candidates(4, "a");
        selector.rebuild(upstreams, start);
        std::optional<Choice> choice;
        do {
            choice = selector.choose({}, start);
            LoadReport report { choice->upstream == upstreams[0].id ? 12U : 1U, 0, 12, milliseconds(10) };
            selector.finished(*choice, SelectionOutcome::Success, report, start);
        } while (choice->upstream != upstreams[0].id);
        int fresh = countChoices(selector, upstreams[0].id, 1000, start + milliseconds(10));
        if (useReports)
            EXPECT_EQ(fresh, 0);
        else
            EXPECT_GT(fresh, 150);
        EXPECT_GT(countChoices(selector, upstreams[0].id, 1000, start + seconds(20)), 100);
    }
}

// Guards against calls that leave the data centre without need, and against queueing in the nearest data centre while a
// more distant one has idle slots.
TEST(UpstreamSelectorTest, PrefersTheNearestDataCentreAndSpillsBeforeQueueing)
{
    for (bool preferNearest : { true, false }) {
        UpstreamSelectorOptions options = optionsFor();
        options.preferNearest = preferNearest;
        UpstreamSelector selector(options);
        std::vector<UpstreamCandidate> upstreams = candidates(3, "a");
        for (int i = 0; i < 3; ++i)
            upstreams.push_back(candidate(i, "b"));
        selector.rebuild(upstreams, start);
        int remoteChoices = 0;
        for (int i = 0; i < 18; ++i)
            remoteChoices += selector.choose({}, start)->owner.value().starts_with("host-b") ? 1 : 0;
        if (!preferNearest) {
            EXPECT_GT(remoteChoices, 0);
            continue;
        }
        EXPECT_EQ(remoteChoices, 0);
        for (int i = 0; i < 34; ++i)
            selector.choose({}, start);
        for (const UpstreamCandidate& upstream : upstreams)
            EXPECT_LE(selector.outstanding(upstream.id), 12U) << upstream.id.value();
    }
}

// Guards against a cold upstream that gets its full share at once.
TEST(UpstreamSelectorTest, SlowStartRaisesTheShareOverTenSeconds)
{
    for (bool enabled : { true, false }) {
        UpstreamSelectorOptions options = optionsFor();
        options.slowStartEnabled = enabled;
        UpstreamSelector selector(options);
        std::vector<UpstreamCandidate> upstreams = candidates(4, "a");
        upstreams[0].readySince = start;
        selector.rebuild(upstreams, start);
        int early = countChoices(selector, upstreams[0].id, 4000, start + milliseconds(500));
        if (!enabled) {
            EXPECT_GT(early, 800);
            continue;
        }
        EXPECT_GT(early, 20);
        EXPECT_LT(early, 300);
        int middle = countChoices(selector, upstreams[0].id, 4000, start + seconds(5));
        EXPECT_GT(middle, 400);
        EXPECT_LT(middle, 800);
        EXPECT_GT(countChoices(selector, upstreams[0].id, 4000, start + seconds(10)), 850);
    }
}

// Guards against a retry at a host that this call has already tried.
RC_GTEST_PROP(UpstreamSelectorTest, NeverChoosesAHostThatWasTried, (uint64_t seed))
{
    UpstreamSelector selector(optionsFor(seed));
    std::vector<UpstreamCandidate> upstreams = candidates(1 + static_cast<int>(seed % 6), "a");
    upstreams.push_back(candidate(0, "b"));
    selector.rebuild(upstreams, start);
    std::vector<HostId> tried;
    while (std::optional<Choice> choice = selector.choose(tried, start)) {
        RC_ASSERT(std::find(tried.begin(), tried.end(), choice->owner) == tried.end());
        tried.push_back(choice->owner);
    }
    RC_ASSERT(tried.size() == upstreams.size());
}

// Guards against a subset that depends on the order of the routing table, is too large, lies in one data centre, or
// changes completely when one upstream is removed.
TEST(UpstreamSelectorTest, SubsetIsBoundedStableAndSpread)
{
    std::vector<UpstreamCandidate> upstreams;
    for (int dataCentre = 0; dataCentre < 8; ++dataCentre) {
        for (int i = 0; i < 30; ++i)
            upstreams.push_back(candidate(i, std::string(1, static_cast<char>('a' + dataCentre))));
    }
    UpstreamSelector selector(optionsFor());
    selector.rebuild(upstreams, start);
    std::vector<UpstreamId> subset = selector.subset();
    ASSERT_EQ(subset.size(), 20U);
    std::map<char, int> perDataCentre;
    for (const UpstreamId& id : subset)
        ++perDataCentre[id.value()[0]];
    EXPECT_EQ(perDataCentre['a'], 10);
    EXPECT_EQ(perDataCentre.size(), 8U);

    std::reverse(upstreams.begin(), upstreams.end());
    std::erase_if(upstreams, [&](const UpstreamCandidate& upstream) { return upstream.id == subset[3]; });
    selector.rebuild(upstreams, start);
    std::vector<UpstreamId> after = selector.subset();
    std::set<UpstreamId> kept(subset.begin(), subset.end());
    EXPECT_EQ(std::count_if(after.begin(), after.end(), [&](const UpstreamId& id) { return kept.contains(id); }), 19);

    UpstreamSelectorOptions other = optionsFor();
    other.self = HostId("other");
    UpstreamSelector otherSelector(other);
    otherSelector.rebuild(upstreams, start);
    EXPECT_NE(otherSelector.subset(), after);
}

// Guards against a dead upstream that keeps getting its share, and against ejecting all upstreams at once.
TEST(UpstreamSelectorTest, EjectsOutliersUpToABoundedShare)
{
    for (bool eject : { true, false }) {
        UpstreamSelectorOptions options = optionsFor();
        options.ejectOutliers = eject;
        options.avoidFailing = eject;
        UpstreamSelector selector(options);
        std::vector<UpstreamCandidate> upstreams = candidates(6, "a");
        selector.rebuild(upstreams, start);
        int failures = 0;
        for (int i = 0; i < 1000; ++i) {
            Choice choice = *selector.choose({}, start + milliseconds(i));
            bool isDead = choice.upstream == upstreams[0].id;
            failures += isDead ? 1 : 0;
            selector.finished(choice, isDead ? SelectionOutcome::Timeout : SelectionOutcome::Success, std::nullopt,
                start + milliseconds(i));
        }
        if (!eject) {
            EXPECT_GT(failures, 100);
            continue;
        }
        EXPECT_EQ(failures, 5);
        EXPECT_TRUE(selector.isEjected(upstreams[0].id, start + seconds(1)));
        EXPECT_FALSE(selector.isEjected(upstreams[0].id, start + seconds(10)));
        TimePoint later = start + seconds(10);
        for (int i = 0; i < 1000; ++i)
            selector.finished(*selector.choose({}, later), SelectionOutcome::Failure, std::nullopt, later);
        auto ejected = std::count_if(upstreams.begin(), upstreams.end(),
            [&](const UpstreamCandidate& upstream) { return selector.isEjected(upstream.id, later); });
        EXPECT_EQ(ejected, 2);
    }
}

// Guards against calls to a draining upstream before the routing table is updated (I7), and against a late finished()
// for a choice that was made before the upstream was removed and listed again.
TEST(UpstreamSelectorTest, UnavailableUpstreamIsAvoidedAndStaleChoicesAreIgnored)
{
    UpstreamSelector selector(optionsFor());
    std::vector<UpstreamCandidate> upstreams = candidates(2, "a");
    selector.rebuild(upstreams, start);
    Choice choice = *selector.choose({}, start);
    selector.finished(choice, SelectionOutcome::Unavailable, std::nullopt, start);
    selector.rebuild(upstreams, start);
    EXPECT_EQ(countChoices(selector, choice.upstream, 100, start + seconds(1)), 0);

    selector.rebuild({}, start);
    EXPECT_FALSE(selector.choose({}, start));
    selector.rebuild(upstreams, start);
    Choice next = *selector.choose({}, start);
    selector.finished(choice, SelectionOutcome::Success, std::nullopt, start);
    EXPECT_EQ(selector.outstanding(next.upstream), 1U);
}

// Guards against an upstream that fails fast, has few outstanding requests and therefore attracts calls. One of three
// upstreams answers 45 % of its calls with an error after 1 ms; the other calls take 60 ms.
TEST(UpstreamSelectorTest, UpstreamThatFailsFastIsAvoided)
{
    auto errorShare = [](bool avoidFailing) {
        UpstreamSelectorOptions options = optionsFor();
        options.avoidFailing = avoidFailing;
        UpstreamSelector selector(options);
        std::vector<UpstreamCandidate> upstreams = candidates(3, "a");
        selector.rebuild(upstreams, start);
        std::mt19937_64 random(1);
        std::multimap<TimePoint, std::pair<Choice, bool>> running;
        int errors = 0;
        constexpr int calls = 4000;
        for (int i = 0; i < calls; ++i) {
            TimePoint now = start + milliseconds(3 * i);
            while (!running.empty() && running.begin()->first <= now) {
                auto [choice, isError] = running.begin()->second;
                selector.finished(
                    choice, isError ? SelectionOutcome::Error : SelectionOutcome::Success, std::nullopt, now);
                running.erase(running.begin());
            }
            Choice choice = *selector.choose({}, now);
            bool isError = choice.upstream == upstreams[0].id && random() % 100 < 45;
            errors += isError ? 1 : 0;
            running.emplace(now + (isError ? milliseconds(1) : milliseconds(60)), std::pair(choice, isError));
        }
        return static_cast<double>(errors) / calls;
    };
    EXPECT_GT(errorShare(false), 0.15);
    EXPECT_LT(errorShare(true), 0.08);
}

// The nearest data centre is full and a more distant one has free slots; the spill load is above 1, so a call may queue
// in the nearest one. Guards against a refused call that tries one full owner of the nearest data centre after another.
TEST(UpstreamSelectorTest, RefusedCallLeavesAFullDataCentre)
{
    UpstreamSelectorOptions options = optionsFor();
    options.spillLoad = 1.25;
    UpstreamSelector selector(options);
    std::vector<UpstreamCandidate> all = candidates(4, "a");
    std::vector<UpstreamCandidate> remote = candidates(4, "b");
    all.insert(all.end(), remote.begin(), remote.end());
    selector.rebuild(all, start);
    // Every owner in the nearest data centre reports that all slots are in use.
    for (int i = 0; i < 100; ++i) {
        Choice local = *selector.choose({}, start);
        selector.finished(local, SelectionOutcome::Success, LoadReport { .running = 12, .limit = 12 }, start);
    }
    Choice first = *selector.choose({}, start);
    EXPECT_TRUE(first.owner.value().starts_with("host-a"));
    selector.finished(first, SelectionOutcome::Refused, LoadReport { .running = 12, .limit = 12 }, start);
    Choice second = *selector.choose(std::vector { first.owner }, start);
    EXPECT_TRUE(second.owner.value().starts_with("host-b"));
}

// The network links of the hosts of a small service are saturated. Guards against calls of such a host that go to
// another host while the local upstream is idle.
TEST(UpstreamSelectorTest, LocalUpstreamIsChosenWhileItHasSpareCapacity)
{
    UpstreamSelectorOptions options = optionsFor();
    options.self = HostId("host-a-2");
    UpstreamSelector selector(options);
    selector.rebuild(candidates(6, "a"), start);
    std::vector<Choice> open;
    for (int i = 0; i < 9; ++i) {
        open.push_back(*selector.choose({}, start));
        EXPECT_EQ(open.back().owner, options.self) << i;
    }
    // Nine of twelve slots are in use.
    EXPECT_NE(selector.choose({}, start)->owner, options.self);
    EXPECT_NE(selector.choose(std::vector { options.self }, start)->owner, options.self);
}

namespace {

    constexpr uint64_t testRoute = 7;

    LoadReport speedReport(Duration usualServiceTime, SlownessPercent slowness = usualSlowness)
    {
        return { .limit = 12,
            .speed
            = SpeedReport { .routeKey = testRoute, .usualServiceTime = usualServiceTime, .slowness = slowness } };
    }

    /// Reports speeds until each upstream has been chosen: the first one takes the first time, the others the second.
    void teachSpeeds(UpstreamSelector& selector, const UpstreamId& first, Duration firstTime, Duration otherTime)
    {
        for (int i = 0; i < 400; ++i) {
            Choice choice = *selector.choose({}, start);
            selector.finished(choice, SelectionOutcome::Success,
                speedReport(choice.upstream == first ? firstTime : otherTime), start);
        }
    }

} // namespace

// One of four upstreams takes 2.4 times as long as its peers. Guards against an even share for it.
TEST(UpstreamSelectorTest, SlowUpstreamGetsAFewCallsUntilItsReportIsOld)
{
    for (bool useSpeeds : { true, false }) {
        UpstreamSelectorOptions options = optionsFor();
        options.useSpeeds = useSpeeds;
        UpstreamSelector selector(options);
        std::vector<UpstreamCandidate> upstreams = candidates(4, "a");
        selector.rebuild(upstreams, start);
        teachSpeeds(selector, upstreams[0].id, milliseconds(240), milliseconds(100));
        int share = countChoices(selector, upstreams[0].id, 1000, start + milliseconds(10));
        if (useSpeeds)
            EXPECT_LT(share, 50);
        else
            EXPECT_GT(share, 150);
        EXPECT_GT(countChoices(selector, upstreams[0].id, 1000, start + seconds(60)), 10);
    }
}

// Guards against calls that wait at a slow local upstream while others are idle, and against calls that leave the local
// upstream for a small gain or for one that is as far away as the gain.
TEST(UpstreamSelectorTest, SlowLocalUpstreamIsLeftOnlyForAMuchFasterOne)
{
    struct Case {
        milliseconds localTime;
        Duration networkDelay;
        bool isLeft;
    };
    for (const Case& item : { Case { milliseconds(240), milliseconds(3), true },
             Case { milliseconds(115), milliseconds(3), false }, Case { milliseconds(240), seconds(1), false } }) {
        UpstreamSelectorOptions options = optionsFor();
        options.self = HostId("host-a-0");
        UpstreamSelector selector(options);
        std::vector<UpstreamCandidate> upstreams = candidates(4, "a");
        selector.rebuild(upstreams, start);
        selector.setNetworkDelay(item.networkDelay);
        for (int i = 0; i < 100; ++i) {
            // Also asks the others, which are not chosen while the local upstream is idle.
            std::vector<HostId> tried;
            if (i % 2 == 0)
                tried.push_back(options.self);
            Choice choice = *selector.choose(tried, start);
            bool isLocal = choice.owner == options.self;
            selector.finished(choice, SelectionOutcome::Success,
                speedReport(isLocal ? Duration(item.localTime) : Duration(milliseconds(100))), start);
        }
        EXPECT_EQ(selector.choose({}, start)->owner != options.self, item.isLeft) << item.localTime.count();
    }
}

// Guards against a slow period that is held against an upstream long after it has ended.
TEST(UpstreamSelectorTest, MomentarySlownessIsForgotten)
{
    UpstreamSelector selector(optionsFor());
    std::vector<UpstreamCandidate> upstreams = candidates(4, "a");
    selector.rebuild(upstreams, start);
    teachSpeeds(selector, upstreams[0].id, milliseconds(100), milliseconds(100));
    std::vector<Choice> open;
    while (open.empty() || open.back().upstream != upstreams[0].id)
        open.push_back(*selector.choose({}, start));
    for (const Choice& choice : open) {
        bool isSlow = choice.upstream == upstreams[0].id;
        selector.finished(choice, SelectionOutcome::Success,
            speedReport(milliseconds(100), SlownessPercent(isSlow ? 250 : 100)), start);
    }
    EXPECT_LT(countChoices(selector, upstreams[0].id, 1000, start + milliseconds(10)), 50);
    EXPECT_GT(countChoices(selector, upstreams[0].id, 1000, start + seconds(5)), 150);
}

// The owner lets four calls run while its upstream warms up. Guards against entry daemons that take no notice of it,
// and against a slow start of their own beside it.
TEST(UpstreamSelectorTest, PaceLimitReplacesTheSlowStart)
{
    UpstreamSelector selector(optionsFor());
    std::vector<UpstreamCandidate> upstreams = candidates(2, "a");
    upstreams[0].readySince = start;
    selector.rebuild(upstreams, start);
    Choice choice = *selector.chooseOwner(upstreams[0].owner, start);
    LoadReport report { .limit = 4, .paceLimit = 4 };
    selector.finished(choice, SelectionOutcome::Success, report, start);
    for (int i = 0; i < 16; ++i)
        selector.choose({}, start + milliseconds(500));
    EXPECT_GE(selector.outstanding(upstreams[0].id), 3U);
    EXPECT_LE(selector.outstanding(upstreams[0].id), 5U);
}

} // namespace dragonflylane
