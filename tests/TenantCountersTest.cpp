// Counts the calls of tenants with a bounded number of counters.

#include "dragonflylane/TenantCounters.h"

#include "dragonflylane/RoutingTable.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    TenantEntry tenant(const std::string& name, double ratePerSecond)
    {
        return { .name = TenantName(name), .ratePerSecond = ratePerSecond };
    }

    TEST(TenantCountersTest, CountsByOutcome)
    {
        TenantCounters counters;
        counters.setTenants({ tenant("north", 10) });
        counters.count(TenantName("north"), ResultCode::Ok);
        counters.count(TenantName("north"), ResultCode::AllotmentExceeded);
        counters.count(TenantName("north"), ResultCode::QueueFull);
        counters.count(TenantName("north"), ResultCode::QueueFull);
        counters.count(TenantName(), ResultCode::Ok);
        EXPECT_EQ(counters.render(),
            "tenant_asked.north 4\ntenant_served.north 1\ntenant_refused.north 2\ntenant_over_allotment.north 1\n");
    }

    // Guards against a counter for each of very many tenants, and against counts that are lost when tenants change.
    TEST(TenantCountersTest, OnlyTheLargestAreCountedByName)
    {
        TenantCounters counters({ .maxNamed = 2 });
        counters.setTenants({ tenant("small", 1), tenant("large", 100), tenant("unlimited", 0) });
        EXPECT_EQ(counters.named().size(), 2U);
        for (const char* name : { "small", "large", "unlimited" })
            counters.count(TenantName(name), ResultCode::Ok);
        EXPECT_EQ(counters.others().served, 1U);
        counters.setTenants({ tenant("small", 1), tenant("unlimited", 0) });
        EXPECT_EQ(counters.named().at(TenantName("unlimited")).served, 1U);
        EXPECT_EQ(counters.others().served, 2U);
    }

} // namespace

} // namespace dragonflylane
