#include "dragonflylane/OwnerAdmission.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <queue>
#include <random>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const TimePoint start { seconds(1000) };

    CallTicket idempotentCall(uint64_t id, Duration remaining, TimePoint now = start)
    {
        return { id, false, false, now + remaining };
    }

    CallTicket nonIdempotentCall(uint64_t id, Duration remaining, TimePoint now = start)
    {
        return { id, true, false, now + remaining };
    }

    struct OverloadResult {
        double idempotentShare { 0 };
        double nonIdempotentShare { 0 };
        /// Calls answered by their deadline, relative to the capacity.
        double goodput { 0 };
    };

    // Offers five times the capacity of 12 slots for 20 s; the given share of the calls is non-idempotent.
    OverloadResult runOverload(
        OwnerAdmissionOptions options, double nonIdempotentRatio, Duration idempotentTime, Duration nonIdempotentTime)
    {
        constexpr Duration service = milliseconds(20);
        constexpr Duration length = seconds(20);
        constexpr double overload = 5;
        struct Completion {
            TimePoint at;
            CallTicket ticket;
            bool operator>(const Completion& other) const { return at > other.at; }
        };
        OwnerAdmission admission(options);
        std::mt19937_64 random(1);
        std::priority_queue<Completion, std::vector<Completion>, std::greater<>> running;
        std::array<double, 2> offered {};
        std::array<double, 2> inTime {};
        auto begin = [&](const CallTicket& ticket, TimePoint now) {
            Duration jitter = Duration(static_cast<int64_t>(random() % 8'000'000)) - milliseconds(4);
            running.push({ now + service + jitter, ticket });
        };
        Duration gap = Duration(static_cast<int64_t>(static_cast<double>(service.count()) / options.slots / overload));
        uint64_t id = 0;
        for (TimePoint now = start; now < start + length; now += gap) {
            while (!running.empty() && running.top().at <= now) {
                Completion done = running.top();
                running.pop();
                if (done.at <= done.ticket.deadline)
                    ++inTime[done.ticket.isNonIdempotent ? 1 : 0];
                auto changes = admission.finished(done.ticket.id, CallOutcome::Success, done.at);
                for (const CallTicket& ticket : changes.dispatched)
                    begin(ticket, done.at);
            }
            bool isNonIdempotent = std::uniform_real_distribution<double>(0, 1)(random) < nonIdempotentRatio;
            CallTicket ticket { ++id, isNonIdempotent, false,
                now + (isNonIdempotent ? nonIdempotentTime : idempotentTime) };
            ++offered[isNonIdempotent ? 1 : 0];
            if (admission.offer(ticket, now).action == AdmitAction::Admit)
                begin(ticket, now);
        }
        double capacity = static_cast<double>(length / milliseconds(20)) * options.slots;
        return { inTime[0] / offered[0], inTime[1] / offered[1], (inTime[0] + inTime[1]) / capacity };
    }

} // namespace

// Guards against more running calls than slots, calls that are forwarded late or twice, lost tickets and two suspects
// that run at once, under any sequence of events.
RC_GTEST_PROP(OwnerAdmissionTest, KeepsItsInvariants, (uint64_t seed))
{
    std::mt19937_64 random(seed);
    auto below = [&random](uint64_t bound) { return random() % bound; };
    uint32_t slots = 1 + static_cast<uint32_t>(below(6));
    OwnerAdmission admission({ .slots = slots });
    TimePoint now = start;
    std::map<uint64_t, CallTicket> queued;
    std::map<uint64_t, CallTicket> running;
    auto run = [&](const CallTicket& ticket) {
        RC_ASSERT(ticket.deadline > now);
        RC_ASSERT(running.emplace(ticket.id, ticket).second);
        RC_ASSERT(running.size() <= slots);
        RC_ASSERT(std::count_if(running.begin(), running.end(), [](auto& item) { return item.second.isSuspect; }) <= 1);
    };
    auto apply = [&](const AdmissionChanges& changes) {
        for (const CallTicket& ticket : changes.dispatched) {
            RC_ASSERT(queued.erase(ticket.id) == 1U);
            run(ticket);
        }
        for (const RefusedTicket& refused : changes.refused) {
            RC_ASSERT(queued.erase(refused.ticket.id) == 1U);
            RC_ASSERT(runState(refused.code) == RunState::NotRun);
        }
    };
    for (uint64_t id = 1; id < 400; ++id) {
        now += milliseconds(below(10));
        CallTicket ticket { id, below(3) == 0, below(5) == 0, now + milliseconds(below(100)) };
        AdmitDecision decision = admission.offer(ticket, now);
        RC_ASSERT((decision.action == AdmitAction::Refuse) == (runState(decision.code) == RunState::NotRun));
        if (decision.action == AdmitAction::Admit)
            run(ticket);
        if (decision.action == AdmitAction::Queue)
            queued.emplace(id, ticket);
        if (!running.empty() && below(2) == 0) {
            auto ended = std::next(running.begin(), static_cast<std::ptrdiff_t>(below(running.size())));
            uint64_t endedId = ended->first;
            running.erase(ended);
            apply(admission.finished(endedId, static_cast<CallOutcome>(below(5)), now));
        }
        if (!queued.empty() && below(10) == 0) {
            uint64_t cancelled = queued.begin()->first;
            RC_ASSERT(admission.cancel(cancelled));
            queued.erase(cancelled);
        }
        if (below(4) == 0)
            apply(admission.tick(now));
        RC_ASSERT(admission.load(now).running == running.size());
        RC_ASSERT(admission.load(now).queued == queued.size());
        RC_ASSERT(queued.size() <= slots);
    }
    now += seconds(1);
    apply(admission.tick(now));
    RC_ASSERT(queued.empty());
}

// Guards against one class (idempotent or non-idempotent calls) starving the other at five times the capacity.
TEST(OwnerAdmissionTest, BothClassesAreServedUnderOverload)
{
    OverloadResult mostlyIdempotent = runOverload({}, 0.05, milliseconds(60), milliseconds(200));
    EXPECT_GT(mostlyIdempotent.nonIdempotentShare, 0.9);
    EXPECT_GT(mostlyIdempotent.idempotentShare, 0.1);
    EXPECT_GT(mostlyIdempotent.goodput, 0.9);
    OverloadResult mostlyNonIdempotent = runOverload({}, 0.95, milliseconds(200), milliseconds(60));
    EXPECT_GT(mostlyNonIdempotent.idempotentShare, 0.9);
    EXPECT_GT(mostlyNonIdempotent.nonIdempotentShare, 0.1);
    EXPECT_GT(mostlyNonIdempotent.goodput, 0.9);

    OverloadResult unprotected = runOverload({ .reserveShares = false }, 0.05, milliseconds(60), milliseconds(200));
    EXPECT_LT(unprotected.nonIdempotentShare, 0.5);
}

// Guards against spending slots on calls whose deadline passes before they finish.
TEST(OwnerAdmissionTest, RefusesCallsThatCannotFinishInTime)
{
    constexpr Duration tight = milliseconds(32);
    EXPECT_GT(runOverload({}, 0.1, tight, tight).goodput, 0.85);
    EXPECT_LT(runOverload({ .refuseLate = false }, 0.1, tight, tight).goodput, 0.6);
}

// Guards against one slow period after which the estimate causes every call to be refused and so never improves.
TEST(OwnerAdmissionTest, EstimateRecoversWithoutSamples)
{
    OwnerAdmission admission({ .slots = 1 });
    ASSERT_EQ(admission.offer(idempotentCall(1, seconds(5)), start).action, AdmitAction::Admit);
    admission.finished(1, CallOutcome::Success, start + seconds(4));
    TimePoint now = start + seconds(4);
    EXPECT_EQ(admission.offer(idempotentCall(2, milliseconds(500), now), now).code, ResultCode::WouldMissDeadline);
    now += seconds(4);
    EXPECT_EQ(admission.offer(idempotentCall(3, milliseconds(500), now), now).action, AdmitAction::Admit);
    admission.finished(3, CallOutcome::Success, now + milliseconds(10));
    EXPECT_LT(admission.serviceTime(false, now + milliseconds(10)), milliseconds(500));
}

// Guards against an unchanged concurrency limit after the upstream sheds load, and against a burst of shed responses
// that lowers the limit several times.
TEST(OwnerAdmissionTest, ShedAnswersLowerTheLimitAndSuccessesRaiseIt)
{
    for (bool adapt : { true, false }) {
        OwnerAdmission admission({ .slots = 10, .adaptLimit = adapt });
        for (uint64_t id = 1; id <= 4; ++id)
            ASSERT_EQ(admission.offer(idempotentCall(id, seconds(1)), start).action, AdmitAction::Admit);
        for (uint64_t id = 1; id <= 4; ++id)
            admission.finished(id, CallOutcome::Shed, start + milliseconds(1));
        EXPECT_EQ(admission.load(start).limit, adapt ? 7U : 10U);
        TimePoint now = start + milliseconds(2);
        for (uint64_t id = 10; id < 50; ++id, now += milliseconds(1)) {
            admission.offer(idempotentCall(id, seconds(1), now), now);
            admission.finished(id, CallOutcome::Success, now + milliseconds(1));
        }
        EXPECT_EQ(admission.load(now).limit, 10U);
    }
}

// Guards against a drain or shutdown that admits new calls or drops queued ones (I7, I8).
TEST(OwnerAdmissionTest, DrainRefusesNewAndFinishesQueuedWork)
{
    OwnerAdmission admission({ .slots = 1 });
    ASSERT_EQ(admission.offer(nonIdempotentCall(1, seconds(1)), start).action, AdmitAction::Admit);
    ASSERT_EQ(admission.offer(nonIdempotentCall(2, seconds(1)), start).action, AdmitAction::Queue);
    EXPECT_TRUE(admission.setDraining(true, start).refused.empty());
    EXPECT_EQ(admission.offer(nonIdempotentCall(3, seconds(1)), start).code, ResultCode::UpstreamDraining);
    admission.setLeaving();
    EXPECT_EQ(admission.offer(nonIdempotentCall(4, seconds(1)), start).code, ResultCode::DaemonLeaving);
    AdmissionChanges changes = admission.finished(1, CallOutcome::Success, start + milliseconds(5));
    ASSERT_EQ(changes.dispatched.size(), 1U);
    EXPECT_EQ(changes.dispatched[0].id, 2U);
    EXPECT_FALSE(admission.isIdle());
    admission.finished(2, CallOutcome::Success, start + milliseconds(9));
    EXPECT_TRUE(admission.isIdle());
}

// Guards against two suspects that run at once, so that a crash could not be attributed to one of them.
TEST(OwnerAdmissionTest, RunsOneSuspectAtATime)
{
    for (bool limit : { true, false }) {
        OwnerAdmission admission({ .slots = 4, .limitSuspects = limit });
        CallTicket suspect { 1, false, true, start + seconds(1) };
        ASSERT_EQ(admission.offer(suspect, start).action, AdmitAction::Admit);
        suspect.id = 2;
        AdmitDecision second = admission.offer(suspect, start);
        EXPECT_EQ(second.code, limit ? ResultCode::SuspectAlreadyRunning : ResultCode::Ok);
        if (!limit)
            continue;
        EXPECT_EQ(admission.offer(idempotentCall(3, seconds(1)), start).action, AdmitAction::Admit);
        admission.setSuspect(1, false, start);
        EXPECT_EQ(admission.offer(suspect, start).action, AdmitAction::Admit);
    }
}

// Guards against an urgent call that expires behind calls with later deadlines, and against expired tickets that stay
// queued.
TEST(OwnerAdmissionTest, QueueIsOrderedByDeadlineAndExpires)
{
    for (bool ordered : { true, false }) {
        OwnerAdmission admission({ .slots = 3, .reserveShares = false, .orderByDeadline = ordered });
        for (uint64_t id = 1; id <= 3; ++id)
            admission.offer(idempotentCall(id, seconds(9)), start);
        admission.offer(idempotentCall(4, seconds(5)), start);
        admission.offer(idempotentCall(5, seconds(1)), start);
        EXPECT_EQ(admission.nextWakeup(), start + seconds(1));
        AdmissionChanges changes = admission.finished(1, CallOutcome::Cancelled, start);
        ASSERT_EQ(changes.dispatched.size(), 1U);
        EXPECT_EQ(changes.dispatched[0].id, ordered ? 5U : 4U);
        changes = admission.tick(start + seconds(5));
        ASSERT_EQ(changes.refused.size(), 1U);
        EXPECT_EQ(changes.refused[0].code, ResultCode::DeadlineExceeded);
    }
}

// Guards against idempotent calls that hang and occupy every slot, so that non-idempotent calls get none.
TEST(OwnerAdmissionTest, HungIdempotentCallsLeaveSlotsForOthers)
{
    for (bool reserve : { true, false }) {
        OwnerAdmission admission({ .slots = 4, .reserveShares = reserve });
        admission.offer(nonIdempotentCall(1, seconds(1)), start);
        admission.finished(1, CallOutcome::Cancelled, start);
        for (uint64_t id = 2; id <= 5; ++id)
            admission.offer(idempotentCall(id, seconds(9)), start);
        AdmitAction expected = reserve ? AdmitAction::Admit : AdmitAction::Queue;
        EXPECT_EQ(admission.offer(nonIdempotentCall(6, seconds(1)), start).action, expected);
    }
}

} // namespace dragonflylane
