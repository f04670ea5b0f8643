#include "dragonflylane/RoutingTableBuilder.h"

#include "tests/ConfigGenerators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    UpstreamEntry upstream(const std::string& id, const std::string& owner, const std::string& service,
        uint64_t incarnation = 1, UpstreamPhase phase = UpstreamPhase::Ready)
    {
        return { UpstreamId(id), HostId(owner), ServiceName(service), DataCentreName("kandy-a"),
            Incarnation(incarnation), 12, phase };
    }

    UpstreamEntry randomUpstream()
    {
        return upstream("upstream-" + std::to_string(randomBelow(6)), "host-" + std::to_string(randomBelow(6)),
            "service-" + std::to_string(randomBelow(6)), randomBelow(4), static_cast<UpstreamPhase>(randomBelow(4)));
    }

    /// Reference implementation of findRoute(): a prefix matches the same path and all paths that continue it after a
    /// slash.
    const RouteItem* referenceRoute(const ConfigState& state, const std::string& target)
    {
        std::string path = target.substr(0, std::min(target.find('?'), target.find('#')));
        const RouteItem* best = nullptr;
        for (const RouteItem* item : state.all<RouteItem>()) {
            const std::string& prefix = item->pathPrefix;
            bool matches = path == prefix || path.starts_with(prefix == "/" ? prefix : prefix + "/");
            if (matches && (!best || prefix.size() > best->pathPrefix.size()))
                best = item;
        }
        return best;
    }

    using Announced = std::map<HostId, UpstreamEntry>;

    std::vector<UpstreamEntry> referenceUpstreams(
        const ConfigState& state, const Announced& announced, const ServiceName& of)
    {
        std::vector<UpstreamEntry> result;
        std::set<UpstreamId> ids;
        for (const auto& [host, entry] : announced)
            ids.insert(entry.id);
        for (const UpstreamId& id : ids) {
            const UpstreamEntry* best = nullptr;
            for (const auto& [host, entry] : announced) {
                if (entry.id == id && (!best || entry.incarnation > best->incarnation))
                    best = &entry;
            }
            if (best->service != of || best->phase == UpstreamPhase::Stopped)
                continue;
            result.push_back(*best);
            if (state.isDrained(id))
                result.back().phase = UpstreamPhase::Draining;
        }
        return result;
    }

    void compareServices(const RoutingTable& routingTable, const ConfigState& state, const Announced& announced)
    {
        std::vector<const ServiceItem*> services = state.all<ServiceItem>();
        RC_ASSERT(routingTable.serviceCount() == services.size());
        for (const ServiceItem* item : services) {
            std::optional<ServiceIndex> index = routingTable.findService(item->name.value());
            RC_ASSERT(index.has_value());
            const ServiceEntry& found = routingTable.service(*index);
            RC_ASSERT(found.name == item->name);
            RC_ASSERT(found.timeout == item->timeout);
            RC_ASSERT(found.maxAttempts == item->maxAttempts);
            RC_ASSERT(found.upstreams == referenceUpstreams(state, announced, item->name));
            for (const UpstreamEntry& entry : found.upstreams)
                RC_ASSERT(found.find(entry.id) == &entry);
            RC_ASSERT(found.find(UpstreamId("absent")) == nullptr);
            for (const char* caller : { "client", "service-0", "service-1", "service-2", "service-9" })
                RC_ASSERT(routingTable.mayCall(caller, *index) == state.isCallAllowed(ServiceName(caller), item->name));
        }
    }

    void compareRoutes(const RoutingTable& routingTable, const ConfigState& state)
    {
        for (const char* target : { "", "x", "/", "/a", "/a/", "/a/b", "/a/b/", "/a/bc", "/a/bcd", "/a/b/c/d", "/ab/c",
                 "/abc", "/b?/a/b", "/b/#/a", "/c", "//", "/a//b", "/a/b/c/d/e/f/g/h?x=/a" }) {
            const RouteEntry* found = routingTable.findRoute(target);
            const RouteItem* expected = referenceRoute(state, target);
            RC_ASSERT((found == nullptr) == (expected == nullptr));
            if (!found)
                continue;
            RC_ASSERT(found->name == expected->name);
            RC_ASSERT(found->idempotentMethods == expected->idempotentMethods);
            RC_ASSERT(found->split.size() == expected->split.size());
            for (size_t i = 0; i < found->split.size(); ++i) {
                RC_ASSERT(routingTable.service(found->split[i].service).name == expected->split[i].service);
                RC_ASSERT(found->split[i].weight == expected->split[i].weight);
            }
        }
    }

} // namespace

// Guards against an incrementally built routing table that differs from a direct lookup in configuration and
// announcements, after any sequence of revisions, announcements, conflicts and removals.
RC_GTEST_PROP(RoutingTableProperty, MatchesReferenceLookup, ())
{
    RoutingTableBuilder builder;
    ConfigState state;
    Announced announced;
    for (int step = 0; step < 40; ++step) {
        switch (randomBelow(6)) {
        case 0:
            state = randomSuccessor(state);
            builder.setState(state);
            break;
        case 1: {
            HostId owner("host-" + std::to_string(randomBelow(6)));
            announced.erase(owner);
            builder.update(owner, std::nullopt);
            break;
        }
        case 2: {
            std::vector<UpstreamEntry> entries;
            announced.clear();
            for (uint32_t i = randomBelow(6); i > 0; --i) {
                entries.push_back(randomUpstream());
                announced[entries.back().owner] = entries.back();
            }
            builder.setUpstreams(entries);
            break;
        }
        default: {
            UpstreamEntry entry = randomUpstream();
            announced[entry.owner] = entry;
            builder.update(entry.owner, entry);
        }
        }
        if (randomBelow(3) == 0)
            continue; // Builds one routing table after several changes.
        std::shared_ptr<const RoutingTable> routingTable = builder.build();
        RC_ASSERT(routingTable->revision() == state.revision());
        RC_ASSERT(routingTable->digest() == state.digest());
        RC_ASSERT(routingTable->keepers() == (state.keeperView() ? *state.keeperView() : KeeperViewItem {}));
        compareServices(*routingTable, state, announced);
        compareRoutes(*routingTable, state);
        RC_ASSERT(builder.build() == routingTable);
    }
}

// Guards against a rebuild of all services after the change of one upstream, and against changes to a routing table
// that is in use.
TEST(RoutingTableTest, UpdateSharesUnchangedServicesAndKeepsOldRoutingTables)
{
    RoutingTableBuilder builder;
    builder.setState(ConfigState(Revision(1), { service("a"), service("b"), service("c") }));
    builder.update(HostId("h1"), upstream("a-1", "h1", "a"));
    builder.update(HostId("h2"), upstream("b-1", "h2", "b"));
    std::shared_ptr<const RoutingTable> before = builder.build();
    builder.update(HostId("h1"), upstream("a-1", "h1", "a", 1, UpstreamPhase::Draining));
    std::shared_ptr<const RoutingTable> after = builder.build();
    EXPECT_EQ(before->service(0).upstreams[0].phase, UpstreamPhase::Ready);
    EXPECT_EQ(after->service(0).upstreams[0].phase, UpstreamPhase::Draining);
    EXPECT_EQ(before->sharedService(1), after->sharedService(1));
    EXPECT_EQ(before->sharedService(2), after->sharedService(2));

    // Also if a new revision changes the service indexes and drains one upstream.
    builder.setState(ConfigState(
        Revision(2), { service("0"), service("a"), service("b"), service("c"), DrainItem { UpstreamId("b-1") } }));
    std::shared_ptr<const RoutingTable> moved = builder.build();
    EXPECT_EQ(moved->sharedService(1), after->sharedService(0));
    EXPECT_EQ(moved->sharedService(3), after->sharedService(2));
    EXPECT_EQ(moved->service(2).upstreams[0].phase, UpstreamPhase::Draining);
}

// Guards against two hosts that both act as the owner of one upstream, and against daemons that select different
// owners.
TEST(RoutingTableTest, HighestIncarnationOwnsAnUpstreamIdAndConflictIsReturned)
{
    RoutingTableBuilder builder;
    builder.setState(ConfigState(Revision(1), { service("a"), service("b") }));
    EXPECT_TRUE(builder.update(HostId("h2"), upstream("u", "h2", "a", 5)).empty());
    std::vector<UpstreamConflict> conflict { { UpstreamId("u"), HostId("h2"), HostId("h1") } };
    EXPECT_EQ(builder.update(HostId("h1"), upstream("u", "h1", "a", 4)), conflict);
    EXPECT_EQ(builder.build()->service(0).upstreams[0].owner, HostId("h2"));

    // If the incarnations are equal, the host that sorts first is selected.
    conflict = { { UpstreamId("u"), HostId("h1"), HostId("h2") } };
    EXPECT_EQ(builder.update(HostId("h1"), upstream("u", "h1", "a", 5)), conflict);
    EXPECT_EQ(builder.update(HostId("h1"), upstream("u", "h1", "a", 5)), conflict) << "also without a change";
    EXPECT_EQ(builder.conflicts(), conflict);
    EXPECT_EQ(builder.build()->service(0).upstreams[0].owner, HostId("h1"));

    // A stopped entry with a higher incarnation also takes precedence, since the older one must be outdated.
    builder.update(HostId("h3"), upstream("u", "h3", "b", 9, UpstreamPhase::Stopped));
    EXPECT_TRUE(builder.build()->service(0).upstreams.empty());
    EXPECT_TRUE(builder.build()->service(1).upstreams.empty());

    builder.update(HostId("h3"), std::nullopt);
    builder.update(HostId("h1"), std::nullopt);
    EXPECT_EQ(builder.build()->service(0).upstreams[0].owner, HostId("h2"));
    EXPECT_TRUE(builder.conflicts().empty());
}

// Guards against a split that does not follow its weights, and against requests to a service with weight zero.
TEST(RoutingTableTest, SelectFollowsWeights)
{
    RoutingTableBuilder builder;
    RouteItem split = route("r", "/r", "c", 3);
    split.split.push_back({ ServiceName("b"), 0 });
    split.split.push_back({ ServiceName("a"), 1 });
    builder.setState(ConfigState(Revision(1), { service("a"), service("b"), service("c"), split }));
    std::shared_ptr<const RoutingTable> routingTable = builder.build();
    const RouteEntry* found = routingTable->findRoute("/r");
    ASSERT_NE(found, nullptr);
    std::vector<int> counts(3);
    for (uint64_t random = 0; random < 400; ++random)
        ++counts[found->select(random)];
    EXPECT_EQ(counts, (std::vector<int> { 100, 0, 300 }));
}

// Guards against a retried PUT or DELETE that the operator did not declare idempotent (I6).
TEST(RoutingTableTest, OnlyListedMethodsAreIdempotent)
{
    RoutingTableBuilder builder;
    RouteItem declared = route("s", "/s", "a");
    declared.idempotentMethods = { "PUT" };
    declared.timeout = std::chrono::milliseconds(50);
    builder.setState(ConfigState(Revision(1), { service("a"), route("r", "/r", "a"), declared }));
    std::shared_ptr<const RoutingTable> routingTable = builder.build();
    const RouteEntry* defaults = routingTable->findRoute("/r");
    for (const char* method : { "GET", "HEAD", "OPTIONS" })
        EXPECT_TRUE(defaults->isIdempotent(method)) << method;
    for (const char* method : { "PUT", "DELETE", "POST", "PATCH", "get", "" })
        EXPECT_FALSE(defaults->isIdempotent(method)) << method;
    EXPECT_TRUE(routingTable->findRoute("/s")->isIdempotent("PUT"));
    EXPECT_FALSE(routingTable->findRoute("/s")->isIdempotent("GET"));
    EXPECT_EQ(routingTable->timeout(*defaults, 0), std::chrono::milliseconds(1000));
    EXPECT_EQ(routingTable->timeout(*routingTable->findRoute("/s"), 0), std::chrono::milliseconds(50));
}

// Guards against routes before the first configuration.
TEST(RoutingTableTest, EmptyRoutingTableHasNoRoutes)
{
    std::shared_ptr<const RoutingTable> routingTable = RoutingTableBuilder().build();
    EXPECT_EQ(routingTable->revision(), Revision(0));
    EXPECT_EQ(routingTable->findRoute("/"), nullptr);
    EXPECT_EQ(routingTable->findRoute("/a/b"), nullptr);
    EXPECT_FALSE(routingTable->findService("client").has_value());
    EXPECT_TRUE(routingTable->keepers().hosts.empty());
}

} // namespace dragonflylane
