#include "dragonflylane/PlanReview.h"

#include "dragonflylane/PlanJson.h"
#include "dragonflylane/PlanStateMachine.h"
#include "dragonflylane/ResultCode.h"
#include "tests/ConfigGenerators.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    SetItem set(ConfigItem item)
    {
        return { std::move(item) };
    }

    RemoveItem remove(ItemKind kind, const std::string& name)
    {
        return { { kind, name } };
    }

    /// Reference implementation on a plain list of items, directly after the rules in docs/design.md.
    class ReferenceChecker {
    public:
        explicit ReferenceChecker(const ConfigState& base)
        {
            for (const auto& [key, item] : base.items())
                m_base.emplace_back(key, *item);
        }

        ResultCode check(const std::vector<PlanChange>& changes)
        {
            if (changes.empty())
                return ResultCode::EmptyPlan;
            m_final = m_base;
            std::set<ItemKey> setKeys;
            for (const PlanChange& change : changes) {
                if (const auto* added = std::get_if<SetItem>(&change)) {
                    const auto* changedRoute = std::get_if<RouteItem>(&added->item);
                    if (changedRoute && weightSum(*changedRoute) == 0)
                        return ResultCode::ZeroWeights;
                    erase(keyOf(added->item));
                    m_final.emplace_back(keyOf(added->item), added->item);
                    setKeys.insert(keyOf(added->item));
                } else if (!erase(std::get<RemoveItem>(change).key))
                    return ResultCode::UnknownItem;
            }
            std::sort(m_final.begin(), m_final.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
            for (const auto& [key, item] : m_final) {
                for (const std::string& name : servicesOf(item)) {
                    if (has(m_final, name))
                        continue;
                    if (!has(m_base, name))
                        return ResultCode::UnknownService;
                    if (!setKeys.contains(key))
                        return ResultCode::ServiceInUse;
                    return key.kind == ItemKind::Route ? ResultCode::DanglingRoute : ResultCode::UnknownService;
                }
            }
            if (hasDuplicatePrefix())
                return ResultCode::DuplicatePrefix;
            if (hasCycle())
                return ResultCode::CallCycle;
            return m_final == m_base ? ResultCode::EmptyPlan : ResultCode::Ok;
        }

        const std::vector<std::pair<ItemKey, ConfigItem>>& base() const { return m_base; }
        const std::vector<std::pair<ItemKey, ConfigItem>>& final() const { return m_final; }

    private:
        using Items = std::vector<std::pair<ItemKey, ConfigItem>>;

        bool erase(const ItemKey& key)
        {
            return std::erase_if(m_final, [&](const auto& entry) { return entry.first == key; }) > 0;
        }

        static uint32_t weightSum(const RouteItem& item)
        {
            uint32_t sum = 0;
            for (const SplitPart& part : item.split)
                sum += part.weight;
            return sum;
        }

        static bool has(const Items& items, const std::string& name)
        {
            return name == "client" || std::any_of(items.begin(), items.end(), [&](const auto& entry) {
                return entry.first == ItemKey { ItemKind::Service, name };
            });
        }

        static std::vector<std::string> servicesOf(const ConfigItem& item)
        {
            std::vector<std::string> names;
            if (const auto* asRoute = std::get_if<RouteItem>(&item)) {
                for (const SplitPart& part : asRoute->split)
                    names.push_back(part.service.value());
            }
            if (const auto* asRule = std::get_if<CallRuleItem>(&item))
                names = { asRule->caller.value(), asRule->callee.value() };
            return names;
        }

        bool hasDuplicatePrefix() const
        {
            std::multiset<std::string> prefixes;
            for (const auto& [key, item] : m_final) {
                if (const auto* asRoute = std::get_if<RouteItem>(&item))
                    prefixes.insert(asRoute->pathPrefix);
            }
            return std::any_of(prefixes.begin(), prefixes.end(),
                [&](const std::string& prefix) { return prefixes.count(prefix) > 1; });
        }

        // Transitive closure by repetition.
        bool hasCycle() const
        {
            std::set<std::pair<std::string, std::string>> reach;
            for (const auto& [key, item] : m_final) {
                if (const auto* asRule = std::get_if<CallRuleItem>(&item))
                    reach.emplace(asRule->caller.value(), asRule->callee.value());
            }
            for (size_t before = 0; before != reach.size();) {
                before = reach.size();
                const auto copy = reach;
                for (const auto& [from, middle] : copy) {
                    for (const auto& [other, to] : copy) {
                        if (middle == other)
                            reach.emplace(from, to);
                    }
                }
            }
            return std::any_of(reach.begin(), reach.end(), [](const auto& pair) { return pair.first == pair.second; });
        }

        Items m_base;
        Items m_final;
    };

    const std::vector<PlanChange>& smallChanges()
    {
        static const std::vector<PlanChange> changes {
            set(service("a")),
            set(service("a", 5)),
            set(service("b")),
            remove(ItemKind::Service, "a"),
            remove(ItemKind::Service, "b"),
            set(route("r", "/x", "a")),
            set(route("r", "/x", "b")),
            set(route("s", "/x", "b")),
            set(route("s", "/y", "a")),
            set(route("s", "/y", "a", 0)),
            remove(ItemKind::Route, "r"),
            remove(ItemKind::Route, "s"),
            set(rule("client", "a")),
            set(rule("a", "b")),
            set(rule("b", "a")),
            remove(ItemKind::CallRule, "client>a"),
            remove(ItemKind::CallRule, "a>b"),
            set(DrainItem { UpstreamId("u") }),
            remove(ItemKind::Drain, "u"),
        };
        return changes;
    }

    std::vector<ConfigState> smallBases()
    {
        return {
            ConfigState(),
            ConfigState(Revision(1), { service("a") }),
            ConfigState(Revision(2), { service("a"), service("b"), rule("a", "b") }),
            ConfigState(Revision(3), { service("a"), route("r", "/x", "a"), rule("client", "a") }),
            ConfigState(Revision(4),
                { service("a"), service("b"), route("r", "/x", "a"), route("s", "/y", "a"), rule("b", "a"),
                    DrainItem { UpstreamId("u") } }),
        };
    }

    std::string nameOf(const std::error_code& error)
    {
        return std::string(name(resultCode(error)));
    }

    void compareWithReference(
        const ConfigState& base, ReferenceChecker& reference, const std::vector<PlanChange>& changes)
    {
        Plan plan;
        std::string detail;
        std::error_code error = PlanReview(base).review(changes, &plan, &detail);
        ResultCode expected = reference.check(changes);
        ASSERT_EQ(nameOf(error), name(expected)) << detail << renderPlanRequest({ base.revision(), changes });
        ASSERT_EQ(!error, detail.empty());
        if (error)
            return;
        std::map<ItemKey, ConfigItem> before(reference.base().begin(), reference.base().end());
        std::map<ItemKey, ConfigItem> after(reference.final().begin(), reference.final().end());
        size_t added = 0;
        size_t changed = 0;
        for (const auto& [key, item] : after) {
            added += before.contains(key) ? 0 : 1;
            changed += before.contains(key) && before.at(key) != item ? 1 : 0;
        }
        ASSERT_EQ(plan.added.size(), added);
        ASSERT_EQ(plan.changed.size(), changed);
        ASSERT_EQ(plan.removed.size(), before.size() + added - after.size());
        ConfigState final = base;
        ASSERT_FALSE(final.apply(plan.delta));
        ASSERT_EQ(final.revision(), base.revision().next());
        std::vector<std::pair<ItemKey, ConfigItem>> items;
        for (const auto& [key, item] : final.items())
            items.emplace_back(key, *item);
        ASSERT_EQ(items, reference.final());
    }

    std::error_code parse(const std::string& text, PlanRequest* request = nullptr, std::string* detail = nullptr)
    {
        PlanRequest ignored;
        return parsePlanRequest(text, request ? request : &ignored, detail);
    }

} // namespace

// Guards against a wrong result or effect of any plan of up to three changes on a small state: inconsistent final
// states must be rejected with the right code, all others accepted.
TEST(PlanReviewTest, MatchesReferenceCheckerOnAllSmallPlans)
{
    const std::vector<PlanChange>& changes = smallChanges();
    for (const ConfigState& base : smallBases()) {
        ASSERT_FALSE(base.validate());
        ReferenceChecker reference(base);
        compareWithReference(base, reference, {});
        for (const PlanChange& first : changes) {
            compareWithReference(base, reference, { first });
            for (const PlanChange& second : changes) {
                compareWithReference(base, reference, { first, second });
                for (const PlanChange& third : changes) {
                    compareWithReference(base, reference, { first, second, third });
                    if (HasFatalFailure())
                        return;
                }
            }
        }
    }
}

// Guards against wrong results that need more items than the exhaustive test has.
RC_GTEST_PROP(PlanReviewProperty, MatchesReferenceChecker, ())
{
    ConfigState base = randomChain(4).back();
    std::vector<PlanChange> changes;
    for (uint32_t i = 1 + randomBelow(8); i > 0; --i) {
        ConfigItem item = randomItem();
        if (std::holds_alternative<KeeperViewItem>(item))
            continue;
        if (randomBelow(3) == 0)
            changes.push_back(RemoveItem { keyOf(item) });
        else
            changes.push_back(SetItem { std::move(item) });
    }
    ReferenceChecker reference(base);
    compareWithReference(base, reference, changes);
    RC_ASSERT(!testing::Test::HasFatalFailure());
}

// Guards against results that depend on the order of the changes: only the final state is validated.
TEST(PlanReviewTest, ReplacesTheOnlyServiceOfARoute)
{
    ConfigState base(Revision(1), { service("a"), route("r", "/r", "a") });
    Plan plan;
    EXPECT_FALSE(PlanReview(base).review(
        { remove(ItemKind::Service, "a"), set(route("r", "/r", "b")), set(service("b")) }, &plan));
    EXPECT_EQ(plan.added, (std::vector<ItemKey> { { ItemKind::Service, "b" } }));
    EXPECT_EQ(plan.changed, (std::vector<ItemKey> { { ItemKind::Route, "r" } }));
    EXPECT_EQ(plan.removed, (std::vector<ItemKey> { { ItemKind::Service, "a" } }));
    EXPECT_TRUE(plan.routesGained.empty());
    EXPECT_TRUE(plan.routesLost.empty());
    EXPECT_EQ(plan.before.at({ ItemKind::Route, "r" }), ConfigItem(route("r", "/r", "a")));
}

// Guards against plans that change the keeper view, contain invalid names or exceed the size limits.
TEST(PlanReviewTest, RejectsKeeperViewBadNamesAndOversizedPlans)
{
    ConfigState base(
        Revision(1), { service("a"), KeeperViewItem { Epoch(1), { { HostId("h"), DataCentreName("dc") } } } });
    Plan plan;
    EXPECT_EQ(PlanReview(base).review({ set(KeeperViewItem { Epoch(2), {} }) }, &plan), ResultCode::InvalidValue);
    EXPECT_EQ(PlanReview(base).review({ remove(ItemKind::KeeperView, "") }, &plan), ResultCode::InvalidValue);
    EXPECT_EQ(PlanReview(base).review({ set(service("Bad name")) }, &plan), ResultCode::InvalidName);
    EXPECT_EQ(PlanReview(base).review({ set(service("client")) }, &plan), ResultCode::InvalidName);
    EXPECT_EQ(PlanReview(base).review({ set(rule("a", "client")) }, &plan), ResultCode::InvalidValue);

    std::vector<PlanChange> changes;
    for (size_t i = 0; i < PlanLimits::changes; ++i)
        changes.push_back(set(DrainItem { UpstreamId("u" + std::to_string(i)) }));
    EXPECT_FALSE(PlanReview(base).review(changes, &plan));
    changes.push_back(set(DrainItem { UpstreamId("u") }));
    EXPECT_EQ(PlanReview(base).review(changes, &plan), ResultCode::PlanTooLarge);
    EXPECT_EQ(PlanReview(base).review({ remove(ItemKind::Drain, std::string(PlanLimits::bytes + 1, 'u')) }, &plan),
        ResultCode::PlanTooLarge);
}

// Guards against a missing warning when a plan leaves a service without upstreams, and against warnings about problems
// that existed before.
TEST(PlanReviewTest, WarnsOfServicesThatThePlanMakesUnavailable)
{
    ConfigState base(Revision(1),
        { service("a"), service("b"), route("r", "/r", "a"), route("s", "/s", "b"), rule("client", "a"),
            rule("client", "b") });
    FleetView fleet;
    fleet.daemons = 10;
    fleet.upstreams = { { UpstreamId("a-1"), HostId("h"), ServiceName("a"), {}, {}, 1, UpstreamPhase::Ready },
        { UpstreamId("a-2"), HostId("i"), ServiceName("a"), {}, {}, 1, UpstreamPhase::Stopped } };
    PlanReview review(base);
    Plan plan;
    ASSERT_FALSE(review.review({ set(DrainItem { UpstreamId("a-1") }), set(DrainItem { UpstreamId("x") }),
                                   remove(ItemKind::CallRule, "client>b") },
        &plan));
    review.describe(&plan, fleet);
    std::vector<PlanWarning> expected {
        { { ItemKind::Service, "a" }, "has no live upstream" },
        { { ItemKind::Route, "r" }, "has no live upstream" },
        { { ItemKind::Route, "s" }, "no call rule lets client call service b" },
        { { ItemKind::Drain, "x" }, "no host announces this upstream" },
    };
    EXPECT_EQ(plan.warnings, expected);
    EXPECT_EQ(plan.daemonsAffected, 10U);
    EXPECT_GT(plan.estimatedControlBytes, 10 * plan.delta.size());
    review.describe(&plan, fleet);
    EXPECT_EQ(plan.warnings, expected) << "a second description must not repeat warnings";
}

// Guards against a plan document that is parsed wrongly.
TEST(PlanJsonTest, ReadsEveryKindOfChange)
{
    PlanRequest request;
    std::string detail;
    ASSERT_FALSE(parse(R"({"base": 4, "changes": [
        {"setService": {"name": "catalogue", "timeoutMs": 800, "maxAttempts": 3}},
        {"removeService": "x"},
        {"setRoute": {"name": "books", "pathPrefix": "/catalogue", "timeoutMs": 500,
                      "split": [{"service": "catalogue", "weight": 100}], "idempotentMethods": ["GET"]}},
        {"removeRoute": "y"},
        {"allowCall": {"caller": "client", "callee": "catalogue"}},
        {"denyCall": {"caller": "client", "callee": "x"}},
        {"drainUpstream": "catalogue-1"}, {"undrainUpstream": "catalogue-2"}]})",
        &request, &detail))
        << detail;
    RouteItem books = route("books", "/catalogue", "catalogue", 100);
    books.timeout = std::chrono::milliseconds(500);
    books.idempotentMethods = { "GET" };
    ServiceItem catalogue = service("catalogue", 800);
    catalogue.maxAttempts = 3;
    PlanRequest expected { Revision(4),
        { set(catalogue), remove(ItemKind::Service, "x"), set(books), remove(ItemKind::Route, "y"),
            set(rule("client", "catalogue")), remove(ItemKind::CallRule, "client>x"),
            set(DrainItem { UpstreamId("catalogue-1") }), remove(ItemKind::Drain, "catalogue-2") } };
    EXPECT_EQ(request, expected);

    ASSERT_FALSE(parse(R"({"changes": [{"setService": {"name": "a:b\":"}},
        {"setRoute": {"name": "r", "pathPrefix": "/", "split": []}}]})",
        &request));
    EXPECT_FALSE(request.base.has_value());
    EXPECT_EQ(request.changes[0], PlanChange(set(service("a:b\":"))));
    RouteItem defaults;
    defaults.name = RouteName("r");
    defaults.pathPrefix = "/";
    EXPECT_EQ(request.changes[1], PlanChange(set(defaults)));
}

// Guards against misspelt or repeated keys that are ignored, so that a default silently takes effect.
TEST(PlanJsonTest, RejectsUnknownRepeatedAndInvalidKeys)
{
    for (const char* text :
        {
            "",
            "[]",
            "{",
            R"({"base": 1})",
            R"({"changes": {}})",
            R"({"changes": [], "extra": 1})",
            R"({"base": 1, "changes": [], "extra": 1})",
            R"({"base": -1, "changes": []})",
            R"({"base": 1.5, "changes": []})",
            R"({"base": 1.0, "changes": []})",
            R"({"base": "1", "changes": []})",
            R"({"base": 18446744073709551615, "changes": []})",
            R"({"changes": [1]})",
            R"({"changes": [{}]})",
            R"({"changes": [{"addService": "x"}]})",
            R"({"changes": [{"removeService": 1}]})",
            R"({"changes": [{"removeService": "a", "removeRoute": "b"}]})",
            R"({"changes": [{"setService": "a"}]})",
            R"({"changes": [{"setService": {}}]})",
            R"({"changes": [{"setService": {"name": "a", "timeoutms": 1}}]})",
            R"({"changes": [{"setService": {"name": "a", "timeoutMs": -1}}]})",
            R"({"changes": [{"setService": {"name": "a", "timeoutMs": 4294967297}}]})",
            R"({"changes": [{"setService": {"name": "a", "name": "b"}}]})",
            R"({"changes": [], "changes": []})",
            R"({"changes": [{"setRoute": {"name": "r", "pathPrefix": "/"}}]})",
            R"({"changes": [{"setRoute": {"name": "r", "pathPrefix": "/", "split": [{"service": "a"}]}}]})",
            R"({"changes": [{"setRoute": {"name": "r", "pathPrefix": "/", "split": [{"service": "a", "weight": 1, "w": 1}]}}]})",
            R"({"changes": [{"setRoute": {"name": "r", "pathPrefix": "/", "split": [], "idempotentMethods": [1]}}]})",
            R"({"changes": [{"allowCall": {"caller": "client"}}]})",
            R"({"changes": []} x)",
        }) {
        std::string detail;
        EXPECT_EQ(parse(text, nullptr, &detail), ResultCode::MalformedPlan) << text;
        EXPECT_FALSE(detail.empty()) << text;
    }
}

// Guards against documents that exhaust the stack or memory.
TEST(PlanJsonTest, BoundsDepthAndSize)
{
    std::string detail;
    std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    EXPECT_EQ(parse(R"({"changes": )" + deep + "}", nullptr, &detail), ResultCode::MalformedPlan);
    EXPECT_NE(detail.find("not valid JSON"), std::string::npos) << "rejected only after parsing: " << detail;
    EXPECT_EQ(parse(std::string(PlanLimits::bytes + 1, ' ')), ResultCode::PlanTooLarge);
    std::string changes = R"({"drainUpstream": "u"})";
    for (size_t i = 1; i < PlanLimits::changes; ++i)
        changes += R"(,{"drainUpstream": "u"})";
    EXPECT_FALSE(parse(R"({"changes": [)" + changes + "]}"));
    EXPECT_EQ(parse(R"({"changes": [)" + changes + R"(,{"drainUpstream": "u"}]})"), ResultCode::PlanTooLarge);
}

// Guards against a rendered request that is parsed as a different one.
RC_GTEST_PROP(PlanJsonProperty, RenderedRequestRoundTrips, ())
{
    PlanRequest request;
    if (randomBelow(2) == 0)
        request.base = Revision(randomBelow(1000));
    for (uint32_t i = randomBelow(6); i > 0; --i) {
        ConfigItem item = randomItem();
        if (std::holds_alternative<KeeperViewItem>(item))
            continue;
        if (randomBelow(3) == 0)
            request.changes.push_back(RemoveItem { keyOf(item) });
        else
            request.changes.push_back(SetItem { std::move(item) });
    }
    PlanRequest parsed;
    RC_ASSERT(!parsePlanRequest(renderPlanRequest(request), &parsed));
    RC_ASSERT(parsed == request);
}

// Guards against a plan that holds or shows an API key.
TEST(PlanJsonTest, KeysOfATenantAreHashedAndNotRendered)
{
    PlanRequest request;
    std::string detail;
    const std::string hashOfAbc = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    ASSERT_FALSE(parsePlanRequest(R"({"changes": [{"setTenant": {"name": "north", "keys": ["secret"], "keySha256": [")"
            + hashOfAbc + R"("], "priority": 2, "ratePerSecond": 1.5, "burst": 3}}, {"removeTenant": "south"}]})",
        &request, &detail))
        << detail;
    ASSERT_EQ(request.changes.size(), 2U);
    auto tenant = std::get<TenantItem>(std::get<SetItem>(request.changes[0]).item);
    EXPECT_EQ(tenant.keys, (std::vector { ApiKeyHash::of("secret"), ApiKeyHash::of("abc") }));
    EXPECT_EQ(tenant.ratePerSecond, 1.5);
    EXPECT_EQ(std::get<RemoveItem>(request.changes[1]).key, tenantKey(TenantName("south")));
    std::string rendered = renderPlanRequest(request);
    EXPECT_EQ(rendered.find("secret"), std::string::npos);
    EXPECT_EQ(rendered.find(hashOfAbc), std::string::npos);
    EXPECT_NE(rendered.find(R"("keyCount":2)"), std::string::npos) << rendered;
}

TEST(PlanJsonTest, InvalidTenantsAreRefusedWithTheReason)
{
    for (const char* tenant : { R"({"keys": ["k"]})", R"({"name": "a", "keys": [""]})", R"({"name": "a", "keys": "k"})",
             R"({"name": "a", "keys": [7]})", R"({"name": "a", "keySha256": ["ba78"]})",
             R"({"name": "a", "ratePerSecond": "1"})", R"({"name": "a", "priority": -1})",
             R"({"name": "a", "keyCount": 1})" }) {
        PlanRequest request;
        std::string detail;
        EXPECT_TRUE(parsePlanRequest(R"({"changes": [{"setTenant": )" + std::string(tenant) + "}]}", &request, &detail))
            << tenant;
        EXPECT_FALSE(detail.empty()) << tenant;
    }
}

// Guards against effects or warnings that are missing in the output for operators.
TEST(PlanJsonTest, RendersEffectsAsJsonAndText)
{
    ConfigState base(Revision(7), { service("a"), route("r", "/r", "a") });
    Plan plan;
    ASSERT_FALSE(
        PlanReview(base).review({ set(service("a", 5)), set(service("b")), remove(ItemKind::Route, "r") }, &plan));
    PlanReview(base).describe(&plan, { {}, 3 });
    std::string text = renderPlanText(PlanId("p1"), plan);
    for (const char* part :
        { "plan p1 on revision 7", "add service b", "change service a", "\"timeoutMs\":1000", "\"timeoutMs\":5",
            "remove route r", "route lost: r", "warning: service b has no live upstream", "daemons affected: 3" })
        EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
    std::string document = renderPlan(PlanId("p1"), plan);
    for (const char* part : { R"("plan":"p1")", R"("base":7)", R"("revision":8)", R"("routesLost":["r"])",
             R"("added":[{"kind":"service","name":"b"}])", R"("daemonsAffected":3)",
             R"("text":"has no live upstream")" })
        EXPECT_NE(document.find(part), std::string::npos) << part << "\n" << document;
}

// Guards against a reported conflict without the conflicting items.
TEST(PlanJsonTest, RendersConflicts)
{
    ApplyOutcome outcome;
    outcome.code = ResultCode::PlanConflict;
    outcome.status = PlanStatus::Conflicted;
    outcome.revision = Revision(9);
    outcome.conflictItems = { { ItemKind::Service, "a" } };
    outcome.conflictCount = 1;
    std::string document = renderOutcome(outcome);
    for (const char* part : { R"("status":"conflicted")", R"("revision":9)", R"("code":312)",
             R"("changedSinceBase":[{"kind":"service","name":"a"}])", R"("changedSinceBaseCount":1)" })
        EXPECT_NE(document.find(part), std::string::npos) << part << "\n" << document;
}

} // namespace dragonflylane
