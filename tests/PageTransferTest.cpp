#include "dragonflylane/PageTransfer.h"

#include <gtest/gtest.h>
#include <set>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t maxInFlight = 3;
    constexpr Duration timeout = seconds(1);
    const TimePoint start { seconds(100) };

    Duration backoff(unsigned attempts)
    {
        return milliseconds(100) * (attempts + 1);
    }

    /// Requests all ranges that are due. Returns the numbers of the requests.
    std::vector<uint32_t> requestAll(PageTransfer& transfer, uint32_t& lastNumber, TimePoint now)
    {
        std::vector<uint32_t> numbers;
        while (PageTransfer::Range* range = transfer.nextDue(now)) {
            numbers.push_back(++lastNumber);
            transfer.setRequested(*range, lastNumber, now);
        }
        return numbers;
    }

} // namespace

// Guards against a join that ends before all records have been fetched, or asks for all pages at once.
TEST(PageTransferTest, EveryRangeIsFetchedWithFewRequestsInFlight)
{
    PageTransfer transfer({ .maxInFlight = maxInFlight, .timeout = timeout });
    EXPECT_TRUE(transfer.isDone());
    transfer.start(start);
    uint32_t number = 0;
    std::vector<uint32_t> inFlight = requestAll(transfer, number, start);
    size_t answered = 0;
    while (!inFlight.empty()) {
        ASSERT_LE(inFlight.size(), maxInFlight);
        EXPECT_TRUE(transfer.finish({ .number = inFlight.front(), .isLast = true }, backoff, start));
        EXPECT_FALSE(transfer.finish({ .number = inFlight.front(), .isLast = true }, backoff, start)) << "duplicate";
        inFlight.erase(inFlight.begin());
        ++answered;
        for (uint32_t next : requestAll(transfer, number, start))
            inFlight.push_back(next);
    }
    EXPECT_TRUE(transfer.isDone());
    EXPECT_EQ(answered, number);
    EXPECT_EQ(transfer.nextWakeup(), TimePoint::max());
}

// Guards against a lost request or an incomplete page that is never repeated, or is repeated without a delay.
TEST(PageTransferTest, FailedRequestsAreRepeatedAfterABackoff)
{
    PageTransfer transfer({ .maxInFlight = 1, .timeout = timeout });
    transfer.start(start);
    uint32_t number = 0;
    PageTransfer::Range* range = transfer.nextDue(start);
    ASSERT_TRUE(range);
    uint64_t first = range->first;
    transfer.setRequested(*range, ++number, start);
    EXPECT_EQ(transfer.expireRequests(backoff, start + timeout - milliseconds(1)), 0U);
    TimePoint expiredAt = start + timeout;
    EXPECT_EQ(transfer.expireRequests(backoff, expiredAt), 1U);
    EXPECT_FALSE(transfer.finish({ .number = number, .isLast = true }, backoff, expiredAt)) << "late";
    EXPECT_NE(transfer.nextDue(expiredAt)->first, first) << "another range is requested meanwhile";
    range = transfer.nextDue(expiredAt + backoff(0));
    ASSERT_EQ(range->first, first);
    EXPECT_EQ(range->attempts, 1U);
    transfer.setRequested(*range, ++number, expiredAt + backoff(0));
    // A page that ends where it began was sent by a daemon that is itself joining.
    EXPECT_TRUE(transfer.finish({ .number = number, .next = first }, backoff, expiredAt + backoff(0)));
    EXPECT_NE(transfer.nextDue(expiredAt + backoff(0))->first, first);
    transfer.restartRequests(start);
    EXPECT_EQ(transfer.nextDue(start)->first, first);
}

} // namespace dragonflylane
