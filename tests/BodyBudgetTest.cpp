#include "dragonflylane/BodyBudget.h"

#include <gtest/gtest.h>
#include <vector>

namespace dragonflylane {

// Guards against bodies that together use more than the limit, and against memory that is not returned to the budget.
TEST(BodyBudgetTest, AllBodiesShareOneLimit)
{
    BodyBudget budget(8000);
    std::vector<BodyReservation> reservations;
    for (int i = 0; i < 8; ++i) {
        reservations.emplace_back(budget);
        EXPECT_TRUE(reservations.back().growTo(500));
        EXPECT_TRUE(reservations.back().growTo(1000));
    }
    EXPECT_EQ(budget.used(), 8000U);
    BodyReservation late(budget);
    EXPECT_FALSE(late.growTo(1));
    EXPECT_EQ(late.bytes(), 0U);
    reservations.pop_back();
    EXPECT_TRUE(late.growTo(1000));
    reservations.clear();
    EXPECT_EQ(budget.used(), 1000U);
}

// Guards against one endless body that uses the whole budget.
TEST(BodyBudgetTest, OneBodyUsesOnlyAFraction)
{
    BodyBudget budget(8000);
    BodyReservation endless(budget);
    uint64_t bytes = 0;
    while (endless.growTo(bytes + 100))
        bytes += 100;
    EXPECT_EQ(bytes, budget.largestBody());
    EXPECT_EQ(endless.bytes(), bytes);
    EXPECT_TRUE(BodyReservation(budget).growTo(1000));
}

// Guards against a complete response that is dropped because the budget is exhausted, and against reservations that are
// counted twice.
TEST(BodyBudgetTest, CompleteAnswersAreAlwaysCountedAndReservationsMove)
{
    BodyBudget budget(800);
    BodyReservation ready(budget);
    ready.setBytes(5000);
    EXPECT_FALSE(BodyReservation(budget).growTo(1));
    BodyReservation moved = std::move(ready);
    EXPECT_EQ(budget.used(), 5000U);
    moved = BodyReservation();
    EXPECT_EQ(budget.used(), 0U);
    EXPECT_TRUE(BodyReservation().growTo(1 << 30));
}

} // namespace dragonflylane
