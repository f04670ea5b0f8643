#include "dragonflylane/DocumentCheck.h"
#include "dragonflylane/JsonPlace.h"
#include "tests/ConfigGenerators.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    std::vector<std::string> textsOf(const std::vector<ConfigItem>& items)
    {
        std::vector<std::string> texts;
        for (const ConfigFinding& finding : checkConfiguration(ConfigState(Revision(1), items)))
            texts.push_back(std::string(name(finding.kind)) + " " + finding.item.toString() + ": " + finding.text);
        return texts;
    }

    using Texts = std::vector<std::string>;

} // namespace

TEST(ConfigCheckTest, ConfigurationWithoutFaultHasNoFinding)
{
    EXPECT_EQ(textsOf({ service("a"), route("r", "/r", "a"), rule("client", "a") }), Texts {});
}

TEST(ConfigCheckTest, FirstErrorOfTheDaemonsIsTheOnlyFinding)
{
    Texts texts = textsOf({ service("a"), route("r", "/r", "missing") });
    ASSERT_EQ(texts.size(), 1U);
    EXPECT_TRUE(texts[0].starts_with("error "));
    EXPECT_NE(texts[0].find("missing"), std::string::npos);
}

TEST(ConfigCheckTest, EntriesThatNeverMatch)
{
    RouteItem split = route("r", "/r", "a");
    split.split.push_back({ ServiceName("b"), 0 });
    EXPECT_EQ(textsOf({ service("a"), service("b"), split, rule("client", "a"), rule("client", "b") }),
        (Texts { "never_matches service b: no route sends requests to it",
            "never_matches route r: its part b has the weight 0 and gets no requests",
            "never_matches call_rule client>b: no route sends requests to b" }));
    EXPECT_EQ(textsOf({ service("a"), route("r", "/r", "a") }),
        Texts { "never_matches route r: no call rule lets anybody call its services" });
    EXPECT_EQ(textsOf({ MeshPolicyItem { .openCalls = true }, TenantItem { .name = TenantName("t") } }),
        Texts { "never_matches tenant t: it has no API key" });
}

// Guards against a limit on headers that is acknowledged and not kept (review/9).
TEST(ConfigCheckTest, HeaderLimitsThatAreNotKept)
{
    MeshPolicyItem policy { .openCalls = true, .maxHeaderBytes = 16384 };
    EXPECT_EQ(textsOf({ policy }), Texts {});
    policy.maxHeaderBytes = 131072;
    EXPECT_EQ(textsOf({ policy }),
        Texts { "contradiction mesh_policy: a single header field of over 65533 bytes is refused all the same" });
    policy.maxHeaderBytes = 2 << 20;
    EXPECT_EQ(
        textsOf({ policy }), Texts { "contradiction mesh_policy: daemons accept headers of at most 1048576 bytes" });
}

TEST(ConfigCheckTest, LimitsThatContradictEachOther)
{
    RouteItem late = route("r", "/r", "a");
    late.timeout = std::chrono::milliseconds(100);
    late.targetLatency = std::chrono::milliseconds(200);
    MeshPolicyItem policy { .openCalls = true };
    EXPECT_EQ(textsOf({ service("a"), late, policy }),
        Texts { "contradiction route r: its target latency of 200 ms is over the timeout of 100 ms" });
    late.targetLatency = std::chrono::milliseconds(60);
    EXPECT_EQ(textsOf({ service("a"), late, policy }),
        Texts { "contradiction route r: 2 attempts of its target latency of 60 ms take longer than the timeout of 100 "
                "ms" });
    policy.requiresApiKeys = true;
    TenantItem tenant { .name = TenantName("t"), .keys = { ApiKeyHash::of("key") }, .burst = 5 };
    EXPECT_EQ(textsOf({ policy, tenant }),
        Texts { "contradiction tenant t: it has a burst but no rate, so there is no limit" });
    tenant.keys.clear();
    tenant.burst = 0;
    EXPECT_EQ(
        textsOf({ policy, tenant })[0], "contradiction mesh_policy: API keys are required, but no tenant has one");
}

TEST(JsonPlaceTest, FindsLines)
{
    EXPECT_EQ(lineOfJsonError("{\"a\": 1}"), std::nullopt);
    EXPECT_EQ(lineOfJsonError("{\n\"a\": 1,\n}"), 3U);
    EXPECT_EQ(lineOfJsonError("{\n\"a\": "), 2U);
    std::string_view text = "{\n\"x\": [\"changes\", [1]],\n\"changes\": [ {\"a\": [\"},]\"]},\n\n 5,\n\"s\\\"\" ]}";
    EXPECT_EQ(lineOfJsonElement(text, "changes", 0), 3U);
    EXPECT_EQ(lineOfJsonElement(text, "changes", 1), 5U);
    EXPECT_EQ(lineOfJsonElement(text, "changes", 2), 6U);
    EXPECT_EQ(lineOfJsonElement(text, "changes", 3), std::nullopt);
    EXPECT_EQ(lineOfJsonElement(text, "absent", 0), std::nullopt);
}

TEST(DocumentCheckTest, ReportNamesThePlaceAndTheDifference)
{
    ConfigState base(Revision(4), { service("a"), route("r", "/r", "a"), rule("client", "a") });
    CheckedDocument document = readPlanDocument(R"({"changes": [
{"removeRoute": "r"},
{"setRoute": {"name": "s", "pathPrefix": "/s", "timeoutMs": 10, "targetLatencyMs": 20,
  "split": [{"service": "a", "weight": 1}]}}]})",
        base);
    CheckReport report = reportOn(document, base);
    EXPECT_EQ(report.result, CheckResult::Findings);
    EXPECT_NE(report.text.find("contradiction: line 3, changes[1]: route s: its target latency"), std::string::npos)
        << report.text;
    EXPECT_NE(report.text.find("remove route r"), std::string::npos) << report.text;
    EXPECT_NE(report.json.find("\"place\":\"line 3, changes[1]\""), std::string::npos) << report.json;
}

TEST(DocumentCheckTest, ResultTellsErrorsFromCleanDocuments)
{
    ConfigState base(Revision(4), { service("a"), route("r", "/r", "a"), rule("client", "a") });
    CheckedDocument broken = readPlanDocument("{\"changes\": [\n}", base);
    CheckReport report = reportOn(broken, base);
    EXPECT_EQ(report.result, CheckResult::Findings);
    EXPECT_TRUE(report.text.starts_with("error: line 2: ")) << report.text;
    CheckedDocument refused = readPlanDocument(R"({"changes": [{"removeService": "a"}]})", base);
    EXPECT_EQ(reportOn(refused, base).result, CheckResult::Findings);
    CheckedDocument clean = readPlanDocument(
        R"({"changes": [{"setRoute": {"name": "s", "pathPrefix": "/s", "split": [{"service": "a", "weight": 1}]}}]})",
        base);
    EXPECT_EQ(reportOn(clean, std::nullopt).result, CheckResult::Clean);
}

} // namespace dragonflylane
