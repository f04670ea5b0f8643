#include "dragonflylane/RankedAdmission.h"

#include "tests/Timeline.h"

#include <array>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <random>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };

    CallTicket ticket(uint64_t id, TimePoint now, Duration target, Duration deadline, uint32_t priority = 1)
    {
        return {
            .id = id, .deadline = now + deadline, .routeKey = priority, .priority = priority, .target = now + target
        };
    }

    /// Random service time around the mean. With equal service times, calls would end in bursts.
    Duration jittered(Duration mean, std::mt19937_64& random)
    {
        return mean / 2 + Duration(static_cast<int64_t>(random() % static_cast<uint64_t>(mean.count())));
    }

    /// Calls of one kind.
    struct Work {
        Duration interval;
        Duration service;
        Duration target;
        Duration deadline;
    };

    struct ChainLoad {
        Work parents { milliseconds(6), milliseconds(30), milliseconds(200), milliseconds(800) };
        Work nested { {}, milliseconds(15), milliseconds(60), milliseconds(200) };
        Work directWork { milliseconds(8), milliseconds(144), milliseconds(600), milliseconds(1500) };
    };

    /// Two services with one upstream each. A call to the frontend makes a nested call to the backend and holds its
    /// slot meanwhile. The backend also gets direct calls that alone would need 1.5 times its capacity.
    class Chain {
    public:
        explicit Chain(const RankedAdmissionOptions& options, ChainLoad load = {})
            : m_load(load)
            , m_frontend(options)
            , m_backend(options)
        {
        }

        /// Share of the calls to the frontend that finish by their target.
        double run(Duration length)
        {
            for (Duration t {}; t < length; t += m_load.parents.interval)
                m_timeline.at(start + t, [this] { offerParent(); });
            for (Duration t {}; t < length; t += m_load.directWork.interval)
                m_timeline.at(start + t, [this] { offerDirectWork(); });
            m_timeline.run(start + length);
            return static_cast<double>(m_inTime) / static_cast<double>(m_parents);
        }

    private:
        using Started = std::function<void(const CallTicket&)>;

        void offerParent()
        {
            ++m_parents;
            CallTicket parent = newTicket(m_load.parents, 2);
            apply(m_frontend, m_frontend.offer(parent, m_timeline.now()), parent);
        }

        void offerDirectWork()
        {
            CallTicket work = newTicket(m_load.directWork, 2);
            apply(m_backend, m_backend.offer(work, m_timeline.now()), work);
        }

        CallTicket newTicket(const Work& work, uint32_t priority)
        {
            return ticket(m_nextId++, m_timeline.now(), work.target, work.deadline, priority);
        }

        void apply(RankedAdmission& admission, const AdmitDecision& decision, const CallTicket& offered)
        {
            if (decision.action == AdmitAction::Admit)
                begin(admission, offered);
            if (decision.action == AdmitAction::Refuse)
                refused(offered);
        }

        void begin(RankedAdmission& admission, const CallTicket& started)
        {
            bool isParent = &admission == &m_frontend;
            bool isNested = m_parentOf.contains(started.id);
            const Work& work = isParent ? m_load.parents : isNested ? m_load.nested : m_load.directWork;
            m_timeline.at(m_timeline.now() + jittered(work.service, m_random), [this, &admission, started, isParent] {
                if (isParent)
                    return callBackend(started);
                end(admission, started);
            });
        }

        // The parent holds its slot until its nested call ends.
        void callBackend(const CallTicket& parent)
        {
            CallTicket nested = newTicket(m_load.nested, 1);
            m_parentOf.emplace(nested.id, parent);
            apply(m_backend, m_backend.offer(nested, m_timeline.now()), nested);
        }

        void end(RankedAdmission& admission, const CallTicket& done)
        {
            AdmissionChanges changes = admission.finished(done.id, CallOutcome::Success, m_timeline.now());
            if (auto parent = m_parentOf.extract(done.id); !parent.empty())
                endParent(parent.mapped(), true);
            for (const CallTicket& next : changes.dispatched)
                begin(admission, next);
            for (const RefusedTicket& next : changes.refused)
                refused(next.ticket);
        }

        void refused(const CallTicket& ticket)
        {
            if (auto parent = m_parentOf.extract(ticket.id); !parent.empty())
                endParent(parent.mapped(), false);
        }

        void endParent(const CallTicket& parent, bool isSuccess)
        {
            m_inTime += isSuccess && m_timeline.now() <= parent.target ? 1 : 0;
            end(m_frontend, parent);
        }

        ChainLoad m_load;
        std::mt19937_64 m_random { 1 };
        Timeline m_timeline { start };
        RankedAdmission m_frontend;
        RankedAdmission m_backend;
        std::map<uint64_t, CallTicket> m_parentOf;
        uint64_t m_nextId { 1 };
        uint64_t m_parents { 0 };
        uint64_t m_inTime { 0 };
    };

    struct Goodput {
        double inTime { 0 };
        double refused { 0 };
        /// Longest time from the offer of a call to its refusal.
        Duration longestRefusal { 0 };
    };

    /// Offers calls of one route at twice the capacity of 12 slots.
    Goodput runOverload(bool refuseLate)
    {
        constexpr Duration service = milliseconds(60);
        RankedAdmission admission({ .slots = 12, .refuseLate = refuseLate });
        Timeline timeline(start);
        std::mt19937_64 random(1);
        std::map<uint64_t, TimePoint> offeredAt;
        uint64_t calls = 0;
        Goodput result;
        std::function<void(const CallTicket&)> begin = [&](const CallTicket& started) {
            timeline.at(timeline.now() + jittered(service, random), [&, started] {
                AdmissionChanges changes = admission.finished(started.id, CallOutcome::Success, timeline.now());
                result.inTime += timeline.now() <= started.target ? 1 : 0;
                for (const CallTicket& next : changes.dispatched)
                    begin(next);
                for (const RefusedTicket& next : changes.refused) {
                    result.refused += 1;
                    result.longestRefusal
                        = std::max(result.longestRefusal, timeline.now() - offeredAt.at(next.ticket.id));
                }
            });
        };
        for (Duration t {}; t < seconds(20); t += service / 24) {
            timeline.at(start + t, [&] {
                CallTicket call = ticket(++calls, timeline.now(), milliseconds(200), milliseconds(800));
                offeredAt[call.id] = timeline.now();
                AdmitDecision decision = admission.offer(call, timeline.now());
                if (decision.action == AdmitAction::Admit)
                    begin(call);
                result.refused += decision.action == AdmitAction::Refuse ? 1 : 0;
            });
        }
        timeline.run(start + seconds(20));
        result.inTime /= static_cast<double>(calls);
        result.refused /= static_cast<double>(calls);
        return result;
    }

    /// Offers calls at 1.5 times the capacity of 12 slots; a refused caller retries up to twice. Returns the share of
    /// callers that are served within the target time of their first attempt.
    double runWithRetries(bool keepsFirstTarget)
    {
        constexpr Duration service = milliseconds(60);
        constexpr Duration target = milliseconds(150);
        constexpr Duration retryDelay = milliseconds(60);
        constexpr int maxAttempts = 3;
        RankedAdmission admission({ .slots = 12 });
        Timeline timeline(start);
        std::mt19937_64 random(1);
        std::map<uint64_t, TimePoint> firstAttemptTimes;
        uint64_t callers = 0;
        uint64_t nextId = 1;
        uint64_t inTime = 0;
        std::function<void(const CallTicket&)> begin = [&](const CallTicket& started) {
            timeline.at(timeline.now() + jittered(service, random), [&, started] {
                inTime += timeline.now() <= firstAttemptTimes.at(started.id) + target ? 1 : 0;
                for (const CallTicket& next :
                    admission.finished(started.id, CallOutcome::Success, timeline.now()).dispatched)
                    begin(next);
            });
        };
        std::function<void(TimePoint, int)> offer = [&](TimePoint firstAttemptAt, int attempts) {
            CallTicket call = ticket(nextId++, timeline.now(), target, milliseconds(800));
            if (keepsFirstTarget)
                call.target = firstAttemptAt + target;
            firstAttemptTimes[call.id] = firstAttemptAt;
            AdmitDecision decision = admission.offer(call, timeline.now());
            if (decision.action == AdmitAction::Admit)
                begin(call);
            if (decision.action == AdmitAction::Refuse && attempts < maxAttempts)
                timeline.at(timeline.now() + retryDelay,
                    [&, firstAttemptAt, attempts] { offer(firstAttemptAt, attempts + 1); });
        };
        for (Duration t {}; t < seconds(20); t += service / 18) {
            ++callers;
            timeline.at(start + t, [&] { offer(timeline.now(), 1); });
        }
        timeline.run(start + seconds(20));
        return static_cast<double>(inTime) / static_cast<double>(callers);
    }

    /// Served shares while one tenant sends much more than the others.
    struct TenantShares {
        double quiet { 0 };
        double busy { 0 };
    };

    /// Offers calls of 20 tenants that together need half of the capacity of 12 slots, and of one tenant that alone
    /// needs 1.5 times the capacity.
    TenantShares runWithBusyTenant(bool sharesBetweenTenants)
    {
        constexpr Duration service = milliseconds(60);
        constexpr uint64_t quietTenants = 20;
        constexpr uint64_t busyTenant = quietTenants + 1;
        RankedAdmission admission({ .slots = 12, .sharesBetweenTenants = sharesBetweenTenants });
        Timeline timeline(start);
        std::mt19937_64 random(1);
        std::map<bool, double> offered;
        std::map<bool, double> inTime;
        uint64_t nextId = 1;
        std::function<void(const CallTicket&)> begin = [&](const CallTicket& started) {
            timeline.at(timeline.now() + jittered(service, random), [&, started] {
                inTime[started.tenantKey == busyTenant] += timeline.now() <= started.target ? 1 : 0;
                for (const CallTicket& next :
                    admission.finished(started.id, CallOutcome::Success, timeline.now()).dispatched)
                    begin(next);
            });
        };
        for (Duration t {}; t < seconds(20); t += service / 24) {
            timeline.at(start + t, [&] {
                CallTicket call = ticket(nextId++, timeline.now(), milliseconds(200), milliseconds(800));
                call.tenantKey = call.id % 4 == 0 ? 1 + call.id / 4 % quietTenants : busyTenant;
                offered[call.tenantKey == busyTenant] += 1;
                if (admission.offer(call, timeline.now()).action == AdmitAction::Admit)
                    begin(call);
            });
        }
        timeline.run(start + seconds(20));
        return { .quiet = inTime[false] / offered[false], .busy = inTime[true] / offered[true] };
    }

} // namespace

// Guards against a tenant that starves the others by sending more than all of them, and against one that gets nothing
// for having sent more than its share: the capacity that the others leave is a third of what it sends.
TEST(RankedAdmissionTest, BusyTenantGetsWhatTheOthersLeave)
{
    TenantShares fair = runWithBusyTenant(true);
    EXPECT_GT(fair.quiet, 0.95);
    EXPECT_GT(fair.busy, 0.28);
    EXPECT_LT(runWithBusyTenant(false).quiet, 0.6);
}

// Load: a full upstream with a queue of calls of each kind.
TEST(RankedAdmissionTest, QueueIsOrderedByTenantThenRouteThenNesting)
{
    RankedAdmission admission({ .slots = 1 });
    ASSERT_EQ(admission.offer(ticket(1, start, seconds(1), seconds(5)), start).action, AdmitAction::Admit);
    auto offer = [&](uint64_t id, uint32_t tenantPriority, uint32_t priority, bool isNested) {
        CallTicket call = ticket(id, start, seconds(1), seconds(5), priority);
        call.tenantPriority = tenantPriority;
        call.isNested = isNested;
        ASSERT_EQ(admission.offer(call, start).action, AdmitAction::Queue);
    };
    offer(2, 1, 0, true);
    offer(3, 0, 2, false);
    offer(4, 0, 1, false);
    offer(5, 0, 1, true);
    for (uint64_t running : { 1, 5, 4, 3 }) {
        AdmissionChanges changes = admission.finished(running, CallOutcome::Success, start + milliseconds(10));
        ASSERT_EQ(changes.dispatched.size(), 1U);
        uint64_t next = running == 1 ? 5 : running - 1;
        EXPECT_EQ(changes.dispatched[0].id, next);
    }
}

// Guards against a queue of urgent first calls that are served late, beside nested calls of less urgent parents.
TEST(RankedAdmissionTest, UrgentFirstCallIsLimitedByItsTargetBesideNestedCalls)
{
    for (bool hasNestedCalls : { true, false }) {
        RankedAdmission admission({ .slots = 1 });
        ASSERT_EQ(admission.offer(ticket(1, start, seconds(1), seconds(5), 0), start).action, AdmitAction::Admit);
        TimePoint now = start + milliseconds(100);
        admission.finished(1, CallOutcome::Success, now);
        ASSERT_EQ(admission.offer(ticket(2, now, seconds(1), seconds(5), 0), now).action, AdmitAction::Admit);
        CallTicket other = ticket(3, now, seconds(1), seconds(5), 1);
        other.isNested = hasNestedCalls;
        ASSERT_EQ(admission.offer(other, now).action, AdmitAction::Queue);
        AdmitDecision urgent = admission.offer(ticket(4, now, milliseconds(150), seconds(5), 0), now);
        EXPECT_EQ(urgent.action, hasNestedCalls ? AdmitAction::Refuse : AdmitAction::Queue);
    }
}

// A parent that has done its work waits for its nested call, so that is useful after its own target.
TEST(RankedAdmissionTest, NestedCallMayWaitBeyondItsTarget)
{
    for (bool isNested : { true, false }) {
        RankedAdmission admission({ .slots = 1 });
        ASSERT_EQ(admission.offer(ticket(1, start, seconds(1), seconds(5)), start).action, AdmitAction::Admit);
        TimePoint now = start + milliseconds(100);
        admission.finished(1, CallOutcome::Success, now);
        ASSERT_EQ(admission.offer(ticket(2, now, seconds(1), seconds(5)), now).action, AdmitAction::Admit);
        CallTicket call = ticket(3, now, milliseconds(150), milliseconds(800));
        call.isNested = isNested;
        EXPECT_EQ(admission.offer(call, now).action, isNested ? AdmitAction::Queue : AdmitAction::Refuse);
    }
}

// Guards against a congestion collapse in which parents hold their slots while their nested calls are queued behind new
// calls at the next service: without ranks, a service far below its capacity serves few calls in time.
TEST(RankedAdmissionTest, NestedCallsPrecedeNewCalls)
{
    EXPECT_GT(Chain({ .slots = 12 }).run(seconds(20)), 0.95);
    EXPECT_LT(Chain({ .slots = 12, .orderByRank = false }).run(seconds(20)), 0.6);
}

// Guards against an overloaded upstream that serves every call too late. At twice the capacity at most half of the
// calls can be served in time; nine tenths of that half must be, and the rest must be refused at once.
TEST(RankedAdmissionTest, OverloadServesUpToCapacityInTimeAndRefusesTheRestAtOnce)
{
    Goodput goodput = runOverload(true);
    EXPECT_GT(goodput.inTime, 0.45);
    EXPECT_LE(goodput.longestRefusal, milliseconds(25));
    EXPECT_LT(runOverload(false).inTime, 0.1);
}

// At 1.5 times the capacity, refused callers retry. Guards against giving slots to callers whose target has passed
// while others could still be served in time: nine tenths of what is possible must be served.
TEST(RankedAdmissionTest, RetriesDoNotDisplaceCallsThatCanMeetTheirTarget)
{
    EXPECT_GT(runWithRetries(true), 0.6);
    EXPECT_LT(runWithRetries(false), 0.55);
}

// Guards against a late call that is overtaken repeatedly and stays queued until its deadline.
TEST(RankedAdmissionTest, LateCallThatIsOvertakenIsRefusedSoon)
{
    constexpr Duration service = milliseconds(100);
    constexpr Duration target = milliseconds(300);
    RankedAdmission admission({ .slots = 1 });
    ASSERT_EQ(admission.offer(ticket(1, start, target, seconds(5)), start).action, AdmitAction::Admit);
    TimePoint now = start + service;
    admission.finished(1, CallOutcome::Success, now);
    ASSERT_EQ(admission.offer(ticket(2, now, target, seconds(5)), now).action, AdmitAction::Admit);
    now += milliseconds(90);
    CallTicket late = ticket(3, now, milliseconds(-50), seconds(5));
    ASSERT_EQ(admission.offer(late, now).action, AdmitAction::Queue);
    ASSERT_EQ(admission.offer(ticket(4, now, target, seconds(5)), now).action, AdmitAction::Queue);
    AdmissionChanges changes = admission.finished(2, CallOutcome::Success, now + milliseconds(10));
    ASSERT_EQ(changes.dispatched.size(), 1U);
    EXPECT_EQ(changes.dispatched[0].id, 4U);
    ASSERT_TRUE(admission.nextWakeup());
    EXPECT_LE(*admission.nextWakeup(), now + service / 2);
    changes = admission.tick(*admission.nextWakeup() + milliseconds(1));
    ASSERT_EQ(changes.refused.size(), 1U);
    EXPECT_EQ(changes.refused[0].ticket.id, 3U);
    EXPECT_EQ(changes.refused[0].code, ResultCode::QueueFull);
}

// Guards against a caller that waits for this upstream although another one may have free slots.
TEST(RankedAdmissionTest, CallOverItsMaxWaitIsRefusedWithTheExpectedWait)
{
    RankedAdmission admission({ .slots = 1 });
    CallTicket first = ticket(1, start, milliseconds(500), seconds(1));
    ASSERT_EQ(admission.offer(first, start).action, AdmitAction::Admit);
    TimePoint later = start + milliseconds(100);
    admission.finished(1, CallOutcome::Success, later);
    ASSERT_EQ(admission.offer(ticket(2, later, milliseconds(500), seconds(1)), later).action, AdmitAction::Admit);
    CallTicket withMaxWait = ticket(3, later, milliseconds(500), seconds(1));
    withMaxWait.maxWait = milliseconds(5);
    AdmitDecision decision = admission.offer(withMaxWait, later);
    EXPECT_EQ(decision.action, AdmitAction::Refuse);
    EXPECT_EQ(decision.code, ResultCode::QueueFull);
    EXPECT_NEAR(static_cast<double>(decision.expectedWait.count()), 1e8, 1e7);
    withMaxWait.maxWait = Duration::max();
    EXPECT_EQ(admission.offer(withMaxWait, later).action, AdmitAction::Queue);
}

// Guards against more running calls than slots, a call forwarded after its deadline, and a ticket that is lost or
// removed twice, in any sequence of inputs.
RC_GTEST_PROP(RankedAdmissionProperty, KeepsTheInvariantsOfAdmission, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    uint32_t slots = 1 + static_cast<uint32_t>(random() % 6);
    RankedAdmission admission({ .slots = slots });
    TimePoint now = start;
    std::map<uint64_t, CallTicket> queued;
    std::map<uint64_t, CallTicket> running;
    auto apply = [&](const AdmissionChanges& changes) {
        for (const CallTicket& next : changes.dispatched) {
            RC_ASSERT(queued.erase(next.id) == 1);
            RC_ASSERT(next.deadline > now);
            running.emplace(next.id, next);
        }
        for (const RefusedTicket& next : changes.refused)
            RC_ASSERT(queued.erase(next.ticket.id) == 1);
        RC_ASSERT(running.size() <= slots);
    };
    for (uint64_t id = 1; id <= 300; ++id) {
        now += milliseconds(random() % 20);
        apply(admission.tick(now));
        uint32_t priority = static_cast<uint32_t>(random() % 3);
        CallTicket offered = ticket(id, now, milliseconds(random() % 200), milliseconds(random() % 600), priority);
        AdmitDecision decision = admission.offer(offered, now);
        if (decision.action == AdmitAction::Admit)
            running.emplace(id, offered);
        if (decision.action == AdmitAction::Queue)
            queued.emplace(id, offered);
        RC_ASSERT(running.size() <= slots);
        if (!running.empty() && random() % 2 == 0) {
            uint64_t done = running.begin()->first;
            running.erase(done);
            auto outcome = random() % 4 == 0 ? CallOutcome::Failure : CallOutcome::Success;
            apply(admission.finished(done, outcome, now));
        }
        if (!queued.empty() && random() % 8 == 0) {
            uint64_t cancelled = queued.begin()->first;
            RC_ASSERT(admission.cancel(cancelled));
            queued.erase(cancelled);
        }
        RC_ASSERT(admission.load(now).running == running.size());
        RC_ASSERT(admission.load(now).queued == queued.size());
    }
}

// Guards against queued calls that reach a draining upstream after it may have stopped, and against calls that wait for
// that although it is known at once that they can't start in time.
TEST(RankedAdmissionTest, DrainForwardsOnlyQueuedCallsThatStartInItsWindow)
{
    constexpr Duration service = milliseconds(800);
    for (Duration runTime : { service, 2 * service }) {
        RankedAdmission admission({ .slots = 1, .drainWindow = seconds(1) });
        auto offer = [&](uint64_t id, TimePoint now) {
            return admission.offer(ticket(id, now, seconds(8), seconds(9)), now).action;
        };
        ASSERT_EQ(offer(1, start), AdmitAction::Admit);
        TimePoint now = start + service;
        admission.finished(1, CallOutcome::Success, now);
        ASSERT_EQ(offer(2, now), AdmitAction::Admit);
        ASSERT_EQ(offer(3, now), AdmitAction::Queue);
        ASSERT_EQ(offer(4, now), AdmitAction::Queue);
        AdmissionChanges changes = admission.setDraining(true, now);
        ASSERT_EQ(changes.refused.size(), 1U) << "the second one would start after two service times";
        EXPECT_EQ(changes.refused[0].ticket.id, 4U);
        EXPECT_EQ(changes.refused[0].code, ResultCode::UpstreamDraining);
        bool isInWindow = runTime < seconds(1);
        changes = admission.finished(2, CallOutcome::Success, now + runTime);
        EXPECT_EQ(changes.dispatched.size(), isInWindow ? 1U : 0U);
        EXPECT_EQ(changes.refused.size(), isInWindow ? 0U : 1U);
    }
}

} // namespace dragonflylane
