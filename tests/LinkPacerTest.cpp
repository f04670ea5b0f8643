#include "dragonflylane/LinkPacer.h"
#include "dragonflylane/ResponseDelayEstimator.h"

#include <deque>
#include <gtest/gtest.h>
#include <random>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;

    constexpr uint64_t slowLink = 250'000;
    const TimePoint start = TimePoint(std::chrono::seconds(100));

    // A link of the given rate with an unlimited kernel buffer, like that of many sockets together.
    struct SimulatedLink {
        TimePoint freeAt { start };

        TimePoint carry(size_t bytes, TimePoint now)
        {
            freeAt = std::max(freeAt, now) + std::chrono::nanoseconds(bytes * std::nano::den / slowLink);
            return freeAt;
        }
    };

    // Queues responses of 1,800 bytes at 1.3 times the rate of the link for two seconds, and sends one probe each
    // millisecond, ahead of responses that are still queued in user space. Returns the longest time that a probe took.
    Duration longestProbe(LinkPacer pacer)
    {
        constexpr size_t responseBytes = 1800;
        constexpr size_t probeBytes = 100;
        constexpr double load = 1.3;
        SimulatedLink link;
        std::deque<size_t> waiting;
        double due = 0;
        Duration longest { 0 };
        for (TimePoint now = start; now < start + std::chrono::seconds(2); now += milliseconds(1)) {
            for (due += load * slowLink / 1000; due >= responseBytes; due -= responseBytes) {
                pacer.queueChanged(responseBytes, 0);
                waiting.push_back(responseBytes);
            }
            while (!waiting.empty() && pacer.maySend(now)) {
                pacer.queueChanged(-static_cast<std::ptrdiff_t>(waiting.front()), 0);
                pacer.sent(waiting.front(), 0, now);
                link.carry(waiting.front(), now);
                waiting.pop_front();
            }
            pacer.sent(probeBytes, probeBytes, now);
            longest = std::max(longest, link.carry(probeBytes, now) - now);
        }
        return longest;
    }

    struct Result {
        size_t inTime { 0 };
        size_t late { 0 };
        size_t refused { 0 };
    };

    // A host with many free slots receives calls of 70 ms with responses of 1,800 bytes, at the given multiple of the
    // rate of its link. A response is in time within 300 ms.
    Result simulateService(double load, bool considersLink)
    {
        constexpr size_t responseBytes = 1800;
        constexpr Duration service = milliseconds(70);
        constexpr Duration target = milliseconds(300);
        struct Call {
            uint64_t id;
            TimePoint arrivedAt;
        };
        LinkPacer pacer({ .bytesPerSecond = slowLink });
        ResponseDelayEstimator estimator(pacer);
        std::deque<Call> running;
        std::deque<Call> waiting;
        std::mt19937_64 random { 7 };
        double rate = load * slowLink / responseBytes;
        std::exponential_distribution<double> gap(rate);
        Result result;
        uint64_t nextId = 1;
        TimePoint arrival = start;
        for (TimePoint now = start; now < start + std::chrono::seconds(20); now += milliseconds(1)) {
            for (; arrival <= now;
                 arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)))) {
                if (considersLink && service + estimator.expectedDelay(1, service, now) > target) {
                    ++result.refused;
                    continue;
                }
                estimator.started(nextId, 1, service);
                running.push_back({ nextId++, now });
            }
            for (; !running.empty() && running.front().arrivedAt + service <= now; running.pop_front()) {
                estimator.finished(running.front().id, responseBytes);
                pacer.queueChanged(responseBytes, 0);
                waiting.push_back(running.front());
            }
            for (; !waiting.empty() && pacer.maySend(now); waiting.pop_front()) {
                pacer.queueChanged(-static_cast<std::ptrdiff_t>(responseBytes), 0);
                pacer.sent(responseBytes, 0, now);
                bool isInTime = now - waiting.front().arrivedAt <= target;
                ++(isInTime ? result.inTime : result.late);
            }
        }
        result.late += waiting.size();
        return result;
    }

} // namespace

// Guards against probes and heartbeats that are queued behind seconds of responses, so that live hosts are declared
// dead.
TEST(LinkPacerTest, ProbesCrossASaturatedLinkWithinMilliseconds)
{
    EXPECT_GT(longestProbe(LinkPacer()), milliseconds(500));
    EXPECT_LT(longestProbe(LinkPacer({ .bytesPerSecond = slowLink })), milliseconds(50));
}

TEST(LinkPacerTest, DelayIncludesKernelBufferAndQueue)
{
    LinkPacer pacer({ .bytesPerSecond = 100'000, .share = 1, .burst = milliseconds(20), .overheadBytes = 0 });
    EXPECT_EQ(pacer.delay(start), Duration::zero());
    pacer.queueChanged(3000, 1000);
    EXPECT_EQ(pacer.delay(start), milliseconds(30));
    EXPECT_EQ(pacer.smallResponseDelay(start), milliseconds(10));
    pacer.queueChanged(-3000, -1000);
    pacer.sent(3000, 0, start);
    EXPECT_EQ(pacer.delay(start), milliseconds(30));
    EXPECT_FALSE(pacer.maySend(start));
    EXPECT_EQ(pacer.nextSend(), start + milliseconds(10));
    EXPECT_TRUE(pacer.maySend(start + milliseconds(10)));
    EXPECT_EQ(pacer.delay(start + milliseconds(40)), Duration::zero());
    pacer.queueChanged(1000, 0);
    pacer.queueChanged(-1000, 0);
    EXPECT_EQ(pacer.delay(start + milliseconds(40)), Duration::zero());
}

TEST(LinkPacerTest, LinkOfUnknownRateIsNotPaced)
{
    LinkPacer pacer;
    pacer.queueChanged(1 << 30, 0);
    pacer.sent(1 << 30, 0, start);
    EXPECT_TRUE(pacer.maySend(start));
    EXPECT_EQ(pacer.delay(start), Duration::zero());
}

// Slots are free while the link is saturated, as on hosts of a small service with links of 2 Mbit/s. If admission
// ignores the link, nearly every response is late. If not, about as many responses are in time as the link can send.
TEST(LinkPacerTest, OverloadedLinkSendsItsCapacityInTime)
{
    for (double load : { 1.1, 1.5, 2.0 }) {
        Result linkUnaware = simulateService(load, false);
        Result linkAware = simulateService(load, true);
        auto total = static_cast<double>(linkAware.inTime + linkAware.late + linkAware.refused);
        EXPECT_GT(static_cast<double>(linkAware.inTime), 0.75 / load * total) << load;
        EXPECT_LT(static_cast<double>(linkAware.late), 0.05 * total) << load;
        EXPECT_GT(linkAware.inTime, 2 * linkUnaware.inTime) << load;
    }
    Result light = simulateService(0.5, true);
    EXPECT_EQ(light.refused, 0U);
}

// Long calls with large responses run beside short calls. The responses of the long calls are distributed over their
// service time and leave capacity for the short ones. Guards against an estimate that counts them as if they all
// arrived at once, which refused nearly every call of orders in progress: 6,091 of 16,345 orders failed.
TEST(LinkPacerTest, LongCallsLeaveCapacityForShortOnes)
{
    constexpr uint64_t longRoute = 1;
    constexpr uint64_t shortRoute = 2;
    LinkPacer pacer({ .bytesPerSecond = slowLink });
    ResponseDelayEstimator estimator(pacer);
    pacer.recordResponseSize(3000);
    for (uint64_t id = 1; id <= 12; ++id)
        estimator.started(id, longRoute, milliseconds(440));
    for (uint64_t id = 1; id <= 12; ++id)
        estimator.finished(id, 5400);
    // Not small enough to be sent before the others.
    estimator.started(100, shortRoute, milliseconds(44));
    estimator.finished(100, 1500);
    for (uint64_t id = 13; id <= 24; ++id)
        estimator.started(id, longRoute, milliseconds(440));
    EXPECT_EQ(estimator.expectedDelay(shortRoute, milliseconds(44), start), Duration::zero());
    // Twelve such responses in 44 ms exceed the capacity of the link.
    for (uint64_t id = 25; id <= 36; ++id)
        estimator.started(id, longRoute, milliseconds(44));
    EXPECT_GT(estimator.expectedDelay(shortRoute, milliseconds(44), start), milliseconds(100));
}

// On the hosts of a service, responses of 5,000 bytes saturate the link, while short calls of work in progress have
// responses of 600 bytes. Guards against refusing the short calls because of the large responses.
TEST(LinkPacerTest, SmallResponsesAreSentBeforeLargeOnes)
{
    constexpr uint64_t largeRoute = 1;
    constexpr uint64_t smallRoute = 2;
    LinkPacer pacer({ .bytesPerSecond = slowLink });
    ResponseDelayEstimator estimator(pacer);
    estimator.started(1, largeRoute, milliseconds(80));
    estimator.finished(1, 5000);
    estimator.started(2, smallRoute, milliseconds(50));
    estimator.finished(2, 600);
    pacer.recordResponseSize(5000);
    pacer.queueChanged(50'000, 0);
    EXPECT_GT(estimator.expectedDelay(largeRoute, milliseconds(80), start), milliseconds(100));
    EXPECT_EQ(estimator.expectedDelay(smallRoute, milliseconds(50), start), Duration::zero());
}

// On the hosts of a service, urgent calls have responses of 1,600 bytes and less urgent ones of 700. Guards against
// responses of 700 bytes that are sent before those of 1,600, which reduced the score of the urgent calls from 0.65 to
// 0.40. Responses of similar size are sent in order.
TEST(LinkPacerTest, ResponsesOfSimilarSizeKeepTheirOrder)
{
    constexpr uint64_t smallRoute = 2;
    LinkPacer pacer({ .bytesPerSecond = slowLink });
    ResponseDelayEstimator estimator(pacer);
    for (int i = 0; i < 200; ++i)
        pacer.recordResponseSize(i % 5 < 3 ? 700 : 1600);
    EXPECT_LT(pacer.smallAnswerBytes(), 700U);
    estimator.started(2, smallRoute, milliseconds(50));
    estimator.finished(2, 600);
    pacer.queueChanged(50'000, 0);
    EXPECT_GT(estimator.expectedDelay(smallRoute, milliseconds(50), start), milliseconds(100));
}

// Refusals, requests and small responses use a part of the link, so large responses that were admitted for the whole
// rate miss their target latency. Guards against an estimate that ignores the traffic sent before large responses.
TEST(LinkPacerTest, LargeResponsesGetTheRateLeftByPriorityTraffic)
{
    LinkPacer pacer({ .bytesPerSecond = 100'000, .share = 1, .overheadBytes = 0 });
    TimePoint now = start;
    for (; now < start + std::chrono::seconds(5); now += milliseconds(10))
        pacer.sent(500, 500, now);
    EXPECT_NEAR(std::chrono::duration<double>(pacer.largeResponseTime(5000, now)).count(), 0.1, 0.01);
    EXPECT_EQ(pacer.sendingTime(5000), milliseconds(50));
}

} // namespace dragonflylane
