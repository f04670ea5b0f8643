// Decides which calls are let in, and for which tenant.

#include "dragonflylane/CallerAuthentication.h"

#include "dragonflylane/CallCredentials.h"
#include "dragonflylane/RoutingTableBuilder.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    /// Two tenants, each with one key that is the tenant's name and "-key".
    std::shared_ptr<const RoutingTable> makeRoutingTable(bool requiresApiKeys)
    {
        ConfigDelta delta;
        auto add = [&](ConfigItem item) { delta.upserts.emplace(keyOf(item), std::move(item)); };
        add(MeshPolicyItem { .requiresApiKeys = requiresApiKeys });
        add(TenantItem { .name = TenantName("north"), .keys = { ApiKeyHash::of("north-key") }, .priority = 3 });
        add(TenantItem { .name = TenantName("south"), .keys = { ApiKeyHash::of("south-key") }, .priority = 1 });
        ConfigState state;
        EXPECT_FALSE(state.apply(delta, { .base = false, .digest = false }));
        RoutingTableBuilder builder;
        builder.setState(state);
        return builder.build();
    }

    struct Case {
        const char* description;
        bool isPublicRoute;
        const char* key;
        const char* parentTenant;
        ResultCode code;
        const char* tenant;
        uint32_t tenantPriority;
        bool isNested;
    };

    constexpr ResultCode ok = ResultCode::Ok;
    constexpr ResultCode unknown = ResultCode::ApiKeyUnknown;
    constexpr const char* none = nullptr;

    const Case cases[] = {
        { "key of a tenant", false, "north-key", none, ok, "north", 3, false },
        { "key of another tenant", false, "south-key", none, ok, "south", 1, false },
        { "no key", false, none, none, unknown, "", 0, false },
        { "unknown key", false, "north-kez", none, unknown, "", 0, false },
        { "empty key", false, "", none, unknown, "", 0, false },
        { "name of a tenant", false, "north", none, unknown, "", 0, false },
        { "public route without a key", true, none, none, ok, "", 0, false },
        { "public route with an unknown key", true, "x", none, ok, "", 0, false },
        { "public route with a key", true, "north-key", none, ok, "north", 3, false },
        { "nested call", false, none, "south", ok, "south", 7, true },
        { "nested call on a public route", true, none, "south", ok, "south", 7, true },
        { "nested in a call without a tenant", false, none, "", ok, "", 7, true },
        { "nested id with an unknown key", false, "x", "south", unknown, "", 0, false },
        { "nested id with a key of its own", false, "north-key", "south", ok, "north", 3, false },
    };

    CallCredentials credentialsOf(const Case& test)
    {
        CallCredentials credentials;
        if (test.key)
            credentials.apiKey = ApiKeyHash::of(test.key);
        if (test.parentTenant)
            credentials.parent = InheritedTenant { .name = TenantName(test.parentTenant), .priority = 7 };
        return credentials;
    }

    TEST(CallerAuthenticationTest, DecidesByKeyThenByParentThenByRoute)
    {
        auto routingTable = makeRoutingTable(true);
        for (const Case& test : cases) {
            AuthenticatedCaller caller;
            ResultCode code = authenticateCaller(*routingTable, test.isPublicRoute, credentialsOf(test), &caller);
            EXPECT_EQ(name(code), name(test.code)) << test.description;
            EXPECT_EQ(caller.tenant, TenantName(test.tenant)) << test.description;
            EXPECT_EQ(caller.tenantPriority, test.tenantPriority) << test.description;
            EXPECT_EQ(caller.isNested, test.isNested) << test.description;
        }
    }

    // Guards against a mesh without API keys that refuses calls or gives them a tenant.
    TEST(CallerAuthenticationTest, LetsEveryCallInIfTheMeshRequiresNoKeys)
    {
        auto routingTable = makeRoutingTable(false);
        for (const Case& test : cases) {
            AuthenticatedCaller caller;
            CallCredentials credentials = credentialsOf(test);
            EXPECT_EQ(authenticateCaller(*routingTable, test.isPublicRoute, credentials, &caller), ResultCode::Ok);
            EXPECT_TRUE(caller.tenant.isEmpty()) << test.description;
            EXPECT_EQ(caller.isNested, credentials.parent.has_value()) << test.description;
        }
        // The upstream might need the header that was left out.
        AuthenticatedCaller caller;
        EXPECT_EQ(authenticateCaller(*routingTable, false, { .isHeaderOmitted = true }, &caller),
            ResultCode::ConfigNotProven);
    }

    // A daemon that has no configuration yet must let no key in.
    TEST(CallerAuthenticationTest, KeyOfNoTenantIsUnknown)
    {
        ConfigDelta delta;
        delta.upserts.emplace(meshPolicyKey(), MeshPolicyItem { .requiresApiKeys = true });
        ConfigState state;
        ASSERT_FALSE(state.apply(delta, { .base = false, .digest = false }));
        RoutingTableBuilder builder;
        builder.setState(state);
        AuthenticatedCaller caller;
        EXPECT_EQ(authenticateCaller(*builder.build(), false, { .apiKey = ApiKeyHash() }, &caller), unknown);
    }

} // namespace

} // namespace dragonflylane
