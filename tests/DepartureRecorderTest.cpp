// Checks which departures of its upstream an owner daemon still has to have recorded and which it knows, in virtual
// time.

#include "dragonflylane/DepartureRecorder.h"

#include <gtest/gtest.h>
#include <optional>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    const HostId self("host-1");
    const BootId bootId(7);

    DepartedProcess drain(uint64_t process, uint64_t sequence)
    {
        return { .upstream = UpstreamId("catalogue-1"),
            .departure = { .process = ProcessId(process), .sequence = Sequence(sequence) } };
    }

    DepartedProcess departure(uint64_t process)
    {
        return { .upstream = UpstreamId("catalogue-1"),
            .departure = { .process = ProcessId(process), .isFinal = true } };
    }

    class DepartureRecorderTest : public testing::Test {
    protected:
        void record(const DepartedProcess& departed)
        {
            m_recorder.record(departed, m_now, [this](ResultCode code) { m_outcome = code; });
        }

        /// Answers as a control leader that has recorded these.
        bool answer(std::vector<DepartedProcess> departures, BootId to = bootId)
        {
            return m_recorder.accept({ .host = self, .bootId = to, .departures = std::move(departures) }, m_now);
        }

        /// Counts the requests that are due in this time.
        size_t countRequests(Duration length)
        {
            size_t requests = 0;
            for (TimePoint end = m_now + length; m_now < end; m_now += milliseconds(10)) {
                m_recorder.tick(m_now);
                requests += m_recorder.takeRequest(m_now) ? 1 : 0;
            }
            return requests;
        }

        TimePoint m_now { seconds(100) };
        DepartureRecorder m_recorder { { .self = self, .bootId = bootId, .startedAt = m_now } };
        std::optional<ResultCode> m_outcome;
    };

} // namespace

// Guards against a departure that is acknowledged before a quorum has stored it (review/10).
TEST_F(DepartureRecorderTest, DepartureIsReportedOnceTheLeaderHasRecordedIt)
{
    ASSERT_TRUE(answer({}));
    record(departure(1));
    EXPECT_FALSE(m_outcome);
    auto request = m_recorder.takeRequest(m_now);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->departures, std::vector { departure(1) });
    ASSERT_TRUE(answer({}));
    EXPECT_FALSE(m_outcome) << "an answer to an earlier request doesn't name it";
    ASSERT_TRUE(answer({ departure(1) }));
    EXPECT_EQ(m_outcome, ResultCode::Ok);
    EXPECT_EQ(countRequests(seconds(10)), 0U);
}

// Guards against an answer to an earlier process of this daemon, which says nothing of what was recorded since then.
TEST_F(DepartureRecorderTest, AnswerToAnEarlierProcessIsIgnored)
{
    EXPECT_FALSE(answer({}, BootId(6)));
    EXPECT_FALSE(m_recorder.isInformed(m_now));
    EXPECT_TRUE(answer({}));
    EXPECT_TRUE(m_recorder.isInformed(m_now));
}

// Guards against an upstream that waits for its acknowledgement longer than it will listen, and against a departure
// that is given up: it holds, so it has to be recorded once that is possible.
TEST_F(DepartureRecorderTest, DepartureIsRefusedInTimeAndRecordedLater)
{
    record(departure(1));
    EXPECT_GT(countRequests(milliseconds(900)), 3U);
    EXPECT_EQ(m_outcome, ResultCode::QuorumLost);
    EXPECT_GT(countRequests(seconds(60)), 20U);
    ASSERT_TRUE(answer({ departure(1) }));
    record(departure(1));
    EXPECT_EQ(m_outcome, ResultCode::Ok);
}

// Guards against requests of a large mesh that overload the control hosts while they elect a leader.
TEST_F(DepartureRecorderTest, RequestsBecomeRareDuringALongOutage)
{
    EXPECT_LE(countRequests(seconds(1)), 10U);
    countRequests(seconds(60));
    EXPECT_LE(countRequests(seconds(20)), 10U);
}

// Guards against upstreams that are not used for the whole of an outage of the control hosts because their daemons were
// restarted, although other daemons know what was published of them.
TEST_F(DepartureRecorderTest, WithoutAnAnswerTheWaitEndsIfMembersKnowTheEarlierProcess)
{
    m_recorder.earlierRecordFound();
    EXPECT_FALSE(m_recorder.isInformed(m_now));
    countRequests(DepartureRecorderOptions().answerTimeout);
    EXPECT_TRUE(m_recorder.isInformed(m_now));
    EXPECT_FALSE(m_recorder.hasAnswer());
}

// Guards against a departure that is forgotten since every daemon was killed and the quorum comes back late
// (review/10): nobody but the control leader can know it then.
TEST_F(DepartureRecorderTest, WithoutAnAnswerTheWaitLastsIfNoMemberKnowsTheEarlierProcess)
{
    countRequests(seconds(60));
    EXPECT_FALSE(m_recorder.isInformed(m_now));
    ASSERT_TRUE(answer({}));
    EXPECT_TRUE(m_recorder.isInformed(m_now));
}

// Guards against a report from before the drain that is believed, and against one from after it that isn't.
TEST_F(DepartureRecorderTest, DrainOutdatesOnlyEarlierAnnouncementsOfItsProcess)
{
    ASSERT_TRUE(answer({ drain(1, 5), departure(2) }));
    const DepartureList& known = m_recorder.recorded();
    UpstreamId upstream("catalogue-1");
    EXPECT_TRUE(known.find(upstream, ProcessId(1), Sequence(4)));
    EXPECT_FALSE(known.find(upstream, ProcessId(1), Sequence(5)));
    EXPECT_TRUE(known.find(upstream, ProcessId(2), Sequence(900)));
    EXPECT_FALSE(known.find(upstream, ProcessId(3), Sequence(1)));
    EXPECT_FALSE(known.find(UpstreamId("catalogue-2"), ProcessId(2), Sequence(1)));
}

// Guards against a merge that forgets the stronger of two departures of one process.
TEST_F(DepartureRecorderTest, DeparturesOfOneProcessAreMerged)
{
    DepartureList list;
    EXPECT_TRUE(list.add(departure(1)));
    EXPECT_FALSE(list.add(drain(1, 9)));
    EXPECT_TRUE(list.add(drain(2, 5)));
    EXPECT_TRUE(list.add(drain(2, 7)));
    EXPECT_TRUE(list.covers(drain(2, 6)));
    EXPECT_FALSE(list.covers(departure(2)));
    EXPECT_EQ(list.all().size(), 2U);
}

// Guards against memory that grows with each process of an upstream, and against the loss of the latest one.
TEST_F(DepartureRecorderTest, OnlyTheLatestProcessesAreKept)
{
    DepartureList list;
    for (uint64_t process = 1; process <= 2 * DepartureList::maxProcesses; ++process)
        list.add(departure(process));
    EXPECT_EQ(list.all().size(), DepartureList::maxProcesses);
    EXPECT_TRUE(list.covers(departure(2 * DepartureList::maxProcesses)));
    EXPECT_FALSE(list.covers(departure(1)));
}

} // namespace dragonflylane
