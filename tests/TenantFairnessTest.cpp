#include "dragonflylane/TenantFairness.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;

    constexpr uint64_t busy = 1;
    constexpr uint64_t quiet = 2;

} // namespace

// Load: one tenant has ten calls queued when another sends its first.
TEST(TenantFairnessTest, TenantWithLessServiceIsNext)
{
    TenantFairness fairness;
    Duration last {};
    for (int i = 0; i < 10; ++i)
        last = fairness.enqueue(busy, milliseconds(50));
    EXPECT_LT(fairness.enqueue(quiet, milliseconds(50)), last);
    EXPECT_EQ(fairness.startTag(0), Duration::zero()) << "a call without a tenant gets the virtual time";
}

// Guards against a tenant that saves up a claim to all slots while it is idle.
TEST(TenantFairnessTest, IdleTenantGainsNothing)
{
    TenantFairness fairness;
    for (int i = 0; i < 100; ++i)
        fairness.started(fairness.enqueue(busy, milliseconds(50)));
    EXPECT_EQ(fairness.startTag(quiet), milliseconds(99 * 50));
}

// Guards against charging a tenant for calls that were refused.
TEST(TenantFairnessTest, WithdrawnCallsAreNotCharged)
{
    TenantFairness fairness;
    Duration first = fairness.enqueue(busy, milliseconds(50));
    fairness.withdrawn(busy, milliseconds(50));
    EXPECT_EQ(fairness.startTag(busy), first);
}

// Load: calls of more tenants than the table holds.
TEST(TenantFairnessTest, MemoryIsBounded)
{
    TenantFairness fairness({ .maxTenants = 10 });
    for (uint64_t tenant = 1; tenant <= 1000; ++tenant)
        fairness.started(fairness.enqueue(tenant, milliseconds(5)));
    EXPECT_LE(fairness.size(), 10U);
}

} // namespace dragonflylane
