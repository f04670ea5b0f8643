// Runs the owner daemon's part of a call against an upstream on loopback that states a rate limit or that it is
// leaving.

#include "dragonflylane/OwnerTask.h"

#include "dragonflylane/CrashTask.h"
#include "dragonflylane/CrashWire.h"
#include "dragonflylane/ForwardWire.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/LinkPacer.h"
#include "dragonflylane/MemberRecord.h"
#include "dragonflylane/Metrics.h"
#include "gen-cpp/peer_types.h"
#include "tests/StatingUpstream.h"

#include <gtest/gtest.h>
#include <map>
#include <vector>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr const char* upstreamName = "catalogue-1";

    struct OwnerFixtureOptions {
        bool usesRankedAdmission { true };
    };

    /// One owner daemon's task with its upstream, run by the test's thread.
    class OwnerFixture {
    public:
        explicit OwnerFixture(OwnerFixtureOptions options = {})
            : m_options(options)
            , m_upstream(m_context, m_metrics)
        {
            restart();
        }

        /// Replaces the task by a new one, as if the daemon's process had been killed and started again.
        void restart()
        {
            m_owner.reset();
            ++m_generation;
            m_owner = std::make_unique<OwnerTask>(m_context,
                OwnerTaskOptions { .self = HostId("host-1"), .usesRankedAdmission = m_options.usesRankedAdmission },
                m_pacer, m_crash, m_metrics, m_journal,
                OwnerTask::Hooks {
                    .publishUpstream = [this](std::optional<UpstreamRecord> record) { m_record = std::move(record); },
                    .knownIncarnation = [](const UpstreamId&) { return Incarnation(); },
                    .hostGeneration = [this] { return m_generation; },
                    .areDeparturesKnown = [this] { return m_areDeparturesKnown; },
                    .recordDeparture =
                        [this](const DepartedProcess& departed, const OwnerTask::Acknowledge& acknowledge) {
                            m_unrecorded.push_back({ departed, acknowledge });
                            if (m_recordsAtOnce)
                                recordDepartures();
                        } });
        }

        /// Records what the task wants to have recorded, as a control leader would, and tells the task.
        void recordDepartures()
        {
            for (const auto& [departed, acknowledge] : std::exchange(m_unrecorded, {})) {
                m_recorded.add(departed);
                acknowledge(ResultCode::Ok);
            }
        }

        /// Departures are recorded by recordDepartures() only.
        void recordLater() { m_recordsAtOnce = false; }
        /// From now on, a restarted task knows no recorded departure before learnDepartures().
        void forgetDepartures() { m_areDeparturesKnown = false; }
        void learnDepartures()
        {
            m_areDeparturesKnown = true;
            m_owner->adoptDepartures(m_recorded.all());
        }
        const DepartureList& recorded() const { return m_recorded; }

        void announce(
            UpstreamPhase phase = UpstreamPhase::Ready, const std::string& instance = "1", Sequence sequence = {})
        {
            m_owner->announce({ .id = UpstreamId(upstreamName),
                                  .service = ServiceName("catalogue"),
                                  .address = m_upstream.endpoint(),
                                  .slots = 12,
                                  .phase = phase,
                                  .instance = instance,
                                  .sequence = sequence },
                [this](ResultCode) { ++m_acknowledgements; });
        }

        void withdraw()
        {
            m_owner->withdraw({ .id = UpstreamId(upstreamName) }, [this](ResultCode) { ++m_acknowledgements; });
        }
        size_t acknowledgements() const { return m_acknowledgements; }

        /// Offers one call every `gap` for this long, announces the upstream every second and runs all of them.
        void offerCalls(Duration gap, Duration length)
        {
            TimePoint end = BootClock::now() + length;
            TimePoint nextAnnouncement;
            for (TimePoint next = BootClock::now(); next < end; next += gap) {
                if (next >= nextAnnouncement) {
                    announce();
                    nextAnnouncement = next + seconds(1);
                }
                m_context.run_until(next);
                call();
            }
            m_context.run_for(milliseconds(50));
        }

        void call() { call(makeRequest()); }

        OwnerTask::CallId call(wire::ForwardRequest request)
        {
            return m_owner->handle(
                std::move(request),
                [this](const wire::ForwardResponse& response) {
                    ++m_codes[static_cast<ResultCode>(response.code)];
                    m_lastResponse = response;
                },
                OwnerTask::CallSource::Peer);
        }

        CrashState crashState(Fingerprint fingerprint) const { return m_crash.stateOf(fingerprint); }

        /// Reports the death of another upstream that had this request in flight.
        void reportDeathElsewhere(Fingerprint fingerprint, const std::string& upstream)
        {
            m_crash.receive(encode(CrashReport { { UpstreamId(upstream), Incarnation(1) }, { fingerprint } }));
        }

        /// From now on, entry daemons add this to their requests.
        void setKnown(std::optional<ProcessStatement> known) { m_known = known; }
        /// What the latest response tells entry daemons.
        std::optional<ProcessStatement> lastStatement() const { return statementOf(m_lastResponse); }

        /// Calls and runs until the response.
        ResultCode callAndWait()
        {
            size_t before = answered();
            call();
            TimePoint limit = BootClock::now() + seconds(10);
            while (answered() == before && BootClock::now() < limit)
                m_context.run_one_for(milliseconds(10));
            return static_cast<ResultCode>(m_lastResponse.code);
        }

        wire::ForwardRequest makeRequest()
        {
            wire::ForwardRequest request;
            request.requestId = m_nextId++;
            request.traceId = "r-" + std::to_string(request.requestId);
            request.serviceName = "catalogue";
            request.upstreamId = upstreamName;
            request.upstreamIncarnation = static_cast<int64_t>(m_owner->incarnation().value());
            request.remainingMicroseconds = 800'000;
            request.targetMicroseconds = 200'000;
            request.idempotent = true;
            request.fingerprint = request.requestId;
            request.method = "GET";
            request.target = "/catalogue/" + std::to_string(request.requestId);
            if (m_known)
                request.__set_known(toWire(*m_known));
            return request;
        }

        void runFor(Duration length) { m_context.run_for(length); }
        size_t count(ResultCode code) const { return m_codes.contains(code) ? m_codes.at(code) : 0; }
        size_t answered() const
        {
            size_t sum = 0;
            for (const auto& [code, count] : m_codes)
                sum += count;
            return sum;
        }
        const std::optional<UpstreamRecord>& record() const { return m_record; }
        StatingUpstream& upstream() { return m_upstream; }
        OwnerTask& owner() { return *m_owner; }

    private:
        const OwnerFixtureOptions m_options;
        boost::asio::io_context m_context;
        Metrics m_metrics;
        Journal m_journal { "host-1" };
        LinkPacer m_pacer;
        CrashTask m_crash { {}, [](const std::string&) { return true; }, m_metrics, m_journal };
        StatingUpstream m_upstream;
        uint64_t m_generation { 0 };
        std::optional<UpstreamRecord> m_record;
        std::unique_ptr<OwnerTask> m_owner;
        int64_t m_nextId { 1 };
        std::map<ResultCode, size_t> m_codes;
        wire::ForwardResponse m_lastResponse;
        std::optional<ProcessStatement> m_known;
        struct UnrecordedDeparture {
            DepartedProcess departed;
            OwnerTask::Acknowledge acknowledge;
        };
        std::vector<UnrecordedDeparture> m_unrecorded;
        DepartureList m_recorded;
        bool m_recordsAtOnce { true };
        bool m_areDeparturesKnown { true };
        size_t m_acknowledgements { 0 };
    };

    HttpHeader rateLimit(const std::string& perSecond)
    {
        return { CallHeaderNames().upstreamRateLimit, perSecond };
    }

    const HttpHeader leaving { CallHeaderNames().upstreamLeaving, "1" };

    /// Restarts the owner daemon and offers calls of an entry daemon that knows what the latest response has told.
    void expectNoRequestsAfterRestart(OwnerFixture& fixture)
    {
        fixture.setKnown(fixture.lastStatement());
        fixture.restart();
        size_t before = fixture.upstream().arrivals().size();
        fixture.offerCalls(milliseconds(10), milliseconds(200));
        EXPECT_EQ(fixture.upstream().arrivals().size(), before);
        EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Draining);
    }

    class OwnerTaskRateLimitTest : public testing::TestWithParam<bool> { };

    INSTANTIATE_TEST_SUITE_P(Admissions, OwnerTaskRateLimitTest, testing::Bool(),
        [](const auto& info) { return info.param ? "Ranked" : "Classes"; });

} // namespace

// Guards against an owner that admits by slots only, so that an upstream in trouble gets more requests than it states
// that it accepts.
TEST_P(OwnerTaskRateLimitTest, UpstreamGetsNoMoreThanItsStatedLimit)
{
    constexpr double perSecond = 20;
    OwnerFixture fixture({ .usesRankedAdmission = GetParam() });
    fixture.upstream().setHeaders({ rateLimit("20") });
    TimePoint start = BootClock::now();
    fixture.offerCalls(milliseconds(4), milliseconds(4600));
    size_t most = fixture.upstream().mostArrivals(start + milliseconds(500), limitWindow);
    EXPECT_LE(most, allowedRequests(perSecond));
    // The limit is also used: an upstream in trouble still serves what it accepts.
    EXPECT_GE(most, static_cast<size_t>(perSecond * limitWindow.count() * 0.9));
}

// Guards against an owner that goes on using an upstream which states in its responses that it is leaving, until its
// announcement says so too.
TEST(OwnerTaskTest, LeavingUpstreamGetsNoNewRequests)
{
    OwnerFixture fixture;
    fixture.announce();
    fixture.upstream().setHeaders({ leaving });
    ASSERT_EQ(fixture.callAndWait(), ResultCode::Ok);
    size_t before = fixture.upstream().arrivals().size();
    // Later announcements still state that the upstream is ready.
    fixture.offerCalls(milliseconds(10), milliseconds(300));
    EXPECT_EQ(fixture.upstream().arrivals().size(), before);
    EXPECT_EQ(fixture.count(ResultCode::UpstreamDraining), fixture.answered() - 1);
    ASSERT_TRUE(fixture.record());
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Draining);
}

// Guards against calls that were queued when the drain was acknowledged and reach the upstream when it may have stopped
// already: its exit would cut them (review/3).
TEST_P(OwnerTaskRateLimitTest, QueuedCallsDoNotReachTheUpstreamAfterItsDrainTime)
{
    constexpr size_t slots = 12;
    OwnerFixture fixture({ .usesRankedAdmission = GetParam() });
    // The running calls end 2.3 s after the drain has begun, and the queued ones could start then.
    fixture.upstream().setServiceTime(milliseconds(2400));
    fixture.announce();
    for (size_t i = 0; i < 2 * slots; ++i) {
        wire::ForwardRequest request = fixture.makeRequest();
        request.remainingMicroseconds = 10'000'000;
        request.targetMicroseconds = 10'000'000;
        fixture.call(std::move(request));
    }
    fixture.runFor(milliseconds(100));
    fixture.announce(UpstreamPhase::Draining);
    fixture.runFor(seconds(2));
    EXPECT_EQ(fixture.count(ResultCode::UpstreamDraining), slots) << "refused as not run as soon as it is certain";
    fixture.runFor(milliseconds(700));
    EXPECT_EQ(fixture.count(ResultCode::Ok), slots);
    EXPECT_EQ(fixture.upstream().arrivals().size(), slots);
}

// Guards against an owner daemon that was restarted and sends a burst to an upstream in trouble before the first
// response states the limit again. Entry daemons have passed the limit on to callers, so the upstream relies on it.
TEST_P(OwnerTaskRateLimitTest, RestartedOwnerKeepsTheLimitThatEntryDaemonsKnow)
{
    constexpr double perSecond = 1;
    OwnerFixture fixture({ .usesRankedAdmission = GetParam() });
    fixture.upstream().setHeaders({ rateLimit("1") });
    fixture.announce();
    ASSERT_EQ(fixture.callAndWait(), ResultCode::Ok);
    ASSERT_TRUE(fixture.lastStatement());
    EXPECT_EQ(fixture.lastStatement()->rateLimit, RequestRate { perSecond });
    TimePoint before = BootClock::now();
    fixture.setKnown(fixture.lastStatement());
    // Long enough that all slots are taken before the first response.
    fixture.upstream().setServiceTime(milliseconds(400));
    fixture.restart();
    fixture.offerCalls(milliseconds(4), limitWindow);
    EXPECT_LE(fixture.upstream().mostArrivals(before, limitWindow), allowedRequests(perSecond));
}

// Guards against an owner daemon that was restarted, believes a late announcement and sends requests to an upstream
// that has stated that it is leaving.
TEST(OwnerTaskTest, RestartedOwnerLearnsFromEntryDaemonsThatItsUpstreamLeaves)
{
    OwnerFixture fixture;
    fixture.announce();
    fixture.upstream().setHeaders({ leaving });
    ASSERT_EQ(fixture.callAndWait(), ResultCode::Ok);
    ASSERT_TRUE(fixture.lastStatement());
    expectNoRequestsAfterRestart(fixture);
}

// Guards against an upstream that has withdrawn and is in use again, because its owner daemon was restarted, has lost
// the withdrawal and gets a late announcement of the same process.
TEST(OwnerTaskTest, RestartedOwnerLearnsFromEntryDaemonsThatItsUpstreamHasWithdrawn)
{
    OwnerFixture fixture;
    fixture.announce();
    ASSERT_EQ(fixture.callAndWait(), ResultCode::Ok);
    fixture.withdraw();
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Draining);
    ASSERT_EQ(fixture.callAndWait(), ResultCode::UpstreamDraining);
    expectNoRequestsAfterRestart(fixture);
    fixture.announce(UpstreamPhase::Ready, "2");
    EXPECT_EQ(fixture.callAndWait(), ResultCode::Ok);
}

// Guards against a further record, sent to every daemon, for each upstream that leaves as announced.
TEST(OwnerTaskTest, WithdrawalOfADrainingUpstreamChangesNoRecord)
{
    OwnerFixture fixture;
    fixture.announce(UpstreamPhase::Draining);
    ASSERT_TRUE(fixture.record() && fixture.record()->departure);
    std::optional<UpstreamRecord> before = fixture.record();
    fixture.withdraw();
    EXPECT_EQ(fixture.record(), before);
}

// Guards against an acknowledgement that a kill of every daemon in the next moment would make untrue (review/10).
TEST(OwnerTaskTest, DepartureIsAcknowledgedOnceItIsRecorded)
{
    OwnerFixture fixture;
    fixture.recordLater();
    fixture.announce(UpstreamPhase::Ready, "1", Sequence(1));
    EXPECT_EQ(fixture.acknowledgements(), 1U) << "nothing has to be recorded";
    fixture.announce(UpstreamPhase::Draining, "1", Sequence(2));
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Draining) << "the drain itself doesn't wait";
    EXPECT_EQ(fixture.acknowledgements(), 1U);
    fixture.recordDepartures();
    EXPECT_EQ(fixture.acknowledgements(), 2U);
    fixture.announce(UpstreamPhase::Ready, "2", Sequence(1));
    fixture.withdraw();
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Draining);
    EXPECT_EQ(fixture.acknowledgements(), 3U);
    fixture.recordDepartures();
    EXPECT_EQ(fixture.acknowledgements(), 4U);
}

// Guards against a further entry in the log for each report of a draining upstream, and for its withdrawal.
TEST(OwnerTaskTest, DrainIsRecordedOnce)
{
    OwnerFixture fixture;
    fixture.announce(UpstreamPhase::Draining, "1", Sequence(2));
    DepartureList before = fixture.recorded();
    ASSERT_EQ(before.all().size(), 1U);
    fixture.announce(UpstreamPhase::Draining, "1", Sequence(3));
    fixture.withdraw();
    EXPECT_EQ(fixture.recorded(), before);
    EXPECT_EQ(fixture.acknowledgements(), 3U);
}

// Guards against an upstream that was told that its departure is known and is used again, because a late announcement
// reaches a new process of its owner daemon before the recorded departures do (review/10).
TEST(OwnerTaskTest, RestartedOwnerUsesNoUpstreamBeforeItKnowsTheRecordedDepartures)
{
    OwnerFixture fixture;
    fixture.announce(UpstreamPhase::Ready, "1", Sequence(1));
    fixture.withdraw();
    fixture.forgetDepartures();
    fixture.restart();
    fixture.announce(UpstreamPhase::Ready, "1", Sequence(2));
    EXPECT_NE(fixture.callAndWait(), ResultCode::Ok);
    fixture.learnDepartures();
    EXPECT_NE(fixture.callAndWait(), ResultCode::Ok);
    EXPECT_EQ(fixture.upstream().arrivals().size(), 0U);
    fixture.announce(UpstreamPhase::Ready, "2", Sequence(1));
    EXPECT_EQ(fixture.callAndWait(), ResultCode::Ok) << "the next process is used";
}

// Guards against an upstream that stays unused until its next announcement.
TEST(OwnerTaskTest, AnnouncementThatHasWaitedForTheDeparturesIsApplied)
{
    OwnerFixture fixture;
    fixture.forgetDepartures();
    fixture.restart();
    fixture.announce(UpstreamPhase::Ready, "1", Sequence(2));
    fixture.announce(UpstreamPhase::Ready, "1", Sequence(1));
    EXPECT_EQ(fixture.acknowledgements(), 2U);
    EXPECT_FALSE(fixture.record());
    fixture.learnDepartures();
    ASSERT_TRUE(fixture.record());
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Ready);
    EXPECT_EQ(fixture.callAndWait(), ResultCode::Ok);
}

// Guards against an upstream that stays in use although its departure becomes known: without an answer of the control
// leader, its announcement was believed.
TEST(OwnerTaskTest, UpstreamDrainsWhenItsRecordedDepartureBecomesKnownLate)
{
    OwnerFixture fixture;
    fixture.announce(UpstreamPhase::Draining, "1", Sequence(5));
    fixture.restart();
    fixture.announce(UpstreamPhase::Ready, "1", Sequence(4));
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Ready);
    fixture.learnDepartures();
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Draining);
    fixture.announce(UpstreamPhase::Ready, "1", Sequence(6));
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Ready) << "a later announcement ends the drain";
}

// Guards against a withdrawal that names a process which no announcement has named, after a restart of the daemon.
TEST(OwnerTaskTest, WithdrawalOfAnUnknownProcessIsRecorded)
{
    OwnerFixture fixture;
    fixture.withdraw();
    EXPECT_EQ(fixture.acknowledgements(), 1U);
    ASSERT_EQ(fixture.recorded().all().size(), 1U);
    EXPECT_TRUE(fixture.recorded().all().front().departure.isFinal);
}

// Guards against a drain or a limit that outlasts the process of the upstream that stated it.
TEST(OwnerTaskTest, StatementsOfThePreviousProcessDoNotHoldForTheNextOne)
{
    OwnerFixture fixture;
    fixture.announce();
    fixture.upstream().setHeaders({ leaving, rateLimit("0") });
    ASSERT_EQ(fixture.callAndWait(), ResultCode::Ok);
    fixture.setKnown(fixture.lastStatement());
    fixture.upstream().setHeaders({});
    fixture.announce(UpstreamPhase::Ready, "2");
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(fixture.callAndWait(), ResultCode::Ok);
    EXPECT_FALSE(fixture.lastStatement());
    EXPECT_EQ(fixture.record()->phase, UpstreamPhase::Ready);
}

// Guards against a nested call that is let in under a parent which has ended, or does not run here.
TEST(OwnerTaskTest, FindsACallOnlyWhileTheUpstreamRunsIt)
{
    OwnerFixture fixture;
    fixture.upstream().setServiceTime(milliseconds(200));
    fixture.announce();
    wire::ForwardRequest request = fixture.makeRequest();
    std::string requestId = request.traceId;
    request.routeKey = 7;
    request.__set_tenant("north");
    EXPECT_FALSE(fixture.owner().findRunning(requestId));
    fixture.call(request);
    fixture.runFor(milliseconds(50));
    std::optional<ParentCall> parent = fixture.owner().findRunning(requestId);
    ASSERT_TRUE(parent);
    EXPECT_EQ(parent->tenant, TenantName("north"));
    EXPECT_EQ(parent->routeKey, 7U);
    fixture.runFor(milliseconds(500));
    EXPECT_EQ(fixture.count(ResultCode::Ok), 1U);
    EXPECT_FALSE(fixture.owner().findRunning(requestId));
}

// Guards against a limit that stays in force after the upstream no longer states it, and against one that is dropped or
// replaced because of a value that is no number.
TEST(OwnerTaskTest, LimitChangesAndEndsWithTheStatement)
{
    OwnerFixture fixture;
    fixture.announce();
    for (const char* text : { "50", "nan", "-1", "1e999", "5 requests", "" }) {
        fixture.upstream().setHeaders({ rateLimit(text) });
        ASSERT_EQ(fixture.callAndWait(), ResultCode::Ok);
        bool isStated = !std::string(text).empty();
        ASSERT_EQ(fixture.lastStatement().has_value(), isStated) << text;
        if (isStated) {
            EXPECT_EQ(fixture.lastStatement()->rateLimit, RequestRate { 50 }) << text;
        }
    }
}

// Guards against a limit that is forgotten when the announcements of the same process were interrupted, as by a pause
// of the daemon.
TEST(OwnerTaskTest, LimitOutlastsALeaseOfTheSameProcess)
{
    OwnerFixture fixture;
    fixture.announce();
    fixture.upstream().setHeaders({ rateLimit("3") });
    ASSERT_EQ(fixture.callAndWait(), ResultCode::Ok);
    fixture.runFor(milliseconds(3300));
    ASSERT_EQ(fixture.record()->phase, UpstreamPhase::Stopped);
    fixture.announce();
    fixture.upstream().setHeaders({ rateLimit("3") });
    size_t before = fixture.upstream().arrivals().size();
    fixture.offerCalls(milliseconds(4), milliseconds(300));
    // Without a limit, all 75 calls would arrive.
    EXPECT_LE(fixture.upstream().arrivals().size() - before, 3U);
}

// Guards against a request that silences one upstream after the other and is never suspected, because no connection is
// lost: its timeout or cancellation ends it before the lease of the upstream.
TEST(OwnerTaskTest, RequestsUnansweredWhenTheUpstreamFellSilentAreSuspected)
{
    OwnerFixture fixture;
    fixture.announce();
    ASSERT_EQ(fixture.callAndWait(), ResultCode::Ok);
    fixture.upstream().setServiceTime(seconds(60));
    wire::ForwardRequest expired = fixture.makeRequest();
    wire::ForwardRequest cancelled = fixture.makeRequest();
    wire::ForwardRequest running = fixture.makeRequest();
    running.remainingMicroseconds = 60'000'000;
    fixture.call(expired);
    OwnerTask::CallId cancelledCall = fixture.call(cancelled);
    fixture.call(running);
    fixture.runFor(milliseconds(200));
    fixture.owner().cancel(cancelledCall);
    fixture.runFor(milliseconds(3100));
    ASSERT_EQ(fixture.record()->phase, UpstreamPhase::Stopped);
    for (const wire::ForwardRequest& request : { expired, cancelled, running }) {
        Fingerprint fingerprint(static_cast<uint64_t>(request.fingerprint));
        EXPECT_EQ(fixture.crashState(fingerprint), CrashState::Suspect) << request.target;
    }
}

// Guards against suspecting requests that an upstream was slow to answer, when it stops much later.
TEST(OwnerTaskTest, RequestsThatExpiredWhileTheUpstreamWasAliveAreNotSuspected)
{
    OwnerFixture fixture;
    fixture.announce();
    fixture.upstream().setServiceTime(seconds(60));
    wire::ForwardRequest expired = fixture.makeRequest();
    fixture.call(expired);
    fixture.runFor(milliseconds(1500));
    fixture.announce();
    fixture.runFor(milliseconds(3300));
    ASSERT_EQ(fixture.record()->phase, UpstreamPhase::Stopped);
    EXPECT_EQ(fixture.crashState(Fingerprint(static_cast<uint64_t>(expired.fingerprint))), CrashState::Unsuspected);
}

// Guards against copies of a crashing request that wait at an owner while it is being quarantined, and then reach the
// upstream.
TEST(OwnerTaskTest, CopyThatIsQueuedWhenItsRequestIsQuarantinedIsRefused)
{
    constexpr size_t slots = 12;
    OwnerFixture fixture;
    fixture.announce();
    fixture.upstream().setServiceTime(milliseconds(100));
    for (size_t i = 0; i < slots; ++i)
        fixture.call();
    wire::ForwardRequest queued = fixture.makeRequest();
    Fingerprint fingerprint(static_cast<uint64_t>(queued.fingerprint));
    fixture.call(queued);
    fixture.reportDeathElsewhere(fingerprint, "catalogue-2");
    fixture.reportDeathElsewhere(fingerprint, "catalogue-3");
    ASSERT_EQ(fixture.crashState(fingerprint), CrashState::Quarantined);
    fixture.runFor(milliseconds(500));
    EXPECT_EQ(fixture.count(ResultCode::RequestQuarantined), 1U);
    EXPECT_EQ(fixture.upstream().arrivals().size(), slots);
}

// Load: the nested calls of a route are refused elsewhere. Guards against parents that run although their nested calls
// find no capacity, and against refusing nested calls of work that is running already.
TEST(OwnerTaskTest, RefusesOnlyNewParentsWhileNestedCallsFindNoCapacity)
{
    OwnerFixture fixture;
    fixture.announce();
    constexpr uint64_t routeKey = 7;
    for (int i = 0; i < 8; ++i)
        fixture.owner().nestedCallRefused({ .routeKey = routeKey, .startedAt = BootClock::now() });
    wire::ForwardRequest parent = fixture.makeRequest();
    parent.routeKey = routeKey;
    fixture.call(parent);
    EXPECT_EQ(fixture.count(ResultCode::NestedCallsRefused), 1U);
    wire::ForwardRequest nested = fixture.makeRequest();
    nested.routeKey = routeKey;
    nested.__set_parent({});
    fixture.call(nested);
    wire::ForwardRequest otherRoute = fixture.makeRequest();
    otherRoute.routeKey = routeKey + 1;
    fixture.call(otherRoute);
    fixture.runFor(milliseconds(500));
    EXPECT_EQ(fixture.count(ResultCode::Ok), 2U);
    EXPECT_EQ(fixture.count(ResultCode::NestedCallsRefused), 1U);
}

} // namespace dragonflylane
