// Tests the adapter to the platform's API. The messages are the examples of the platform's documentation.

#include "dragonflylane/OwnerTask.h"
#include "dragonflylane/RolloutCommands.h"
#include "platform/InstanceReport.h"
#include "platform/OperatorDocument.h"
#include "platform/PlatformApi.h"

#include <gtest/gtest.h>
#include <map>

namespace dragonflylane::platform {

namespace {

    using std::chrono::milliseconds;

    std::string replaced(std::string text, const std::string& from, const std::string& to)
    {
        size_t at = text.find(from);
        EXPECT_NE(at, std::string::npos) << from;
        return text.replace(at, from.size(), to);
    }

    const std::string documentText
        = R"({"version":"r7","routes":[{"name":"r-n2ctnfz","host":"Hulo84.example","path_prefix":"/leny950/",)"
          R"("kind":"safe","timeout_s":0.8,"target_latency_s":0.2,"priority":2,"traffic_split":[{"service":"huvo11a",)"
          R"("weight":90},{"service":"lovo22d","weight":10}],"max_attempts":2},{"name":"r-s989anu",)"
          R"("host":"jepu9.example","path_prefix":"/puka111/","kind":"unsafe","timeout_s":1,"target_latency_s":0.25,)"
          R"("priority":1,"service":"huvo11a","max_attempts":3}],"services":[{"name":"huvo11a","health_path":"/health",)"
          R"("max_conns":110,"protocol":"h1","tls":false},{"name":"lovo22d","health_path":"/health","max_conns":110,)"
          R"("protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
          R"("header_timeout_s":3,"idle_timeout_s":15},"base_version":"r5"})";

    const std::string reportText
        = R"({"address":"10.128.0.9:8080","born":1760000000123,"info":{"service":"huvo11a","version":"v1",)"
          R"("zone":"muenchen","slots":12},"status":{"state":"ready","seq":4,"cold_left_s":0}})";

    std::optional<Announcement> report(const std::string& body)
    {
        return readInstanceReport(UpstreamId("i-7f3a91c2"), body);
    }

    /// Passes one request to the adapter and returns its response.
    HttpResponse serve(
        const std::string& method, const std::string& target, const std::string& body, const DaemonHooks& hooks)
    {
        HttpResponse result { .status = 0 };
        HttpRequest request { .method = method, .target = target, .body = body };
        EXPECT_TRUE(serveApi(
            request, [&](HttpResponse response) { result = std::move(response); }, hooks));
        return result;
    }

} // namespace

// The operator's document must be converted to configuration items without a change of meaning.
TEST(PlatformTest, ConvertsOperatorDocument)
{
    std::string detail;
    auto command = readOperatorDocument(documentText, &detail);
    ASSERT_TRUE(command) << detail;
    EXPECT_EQ(command->version, DocumentVersion(7));
    EXPECT_EQ(command->base, DocumentVersion(5));
    EXPECT_EQ(command->document, documentText);
    ConfigState state(Revision(1), command->items);
    EXPECT_FALSE(state.validate(&detail)) << detail;
    const RouteItem* safeRoute = state.route(RouteName("r-n2ctnfz"));
    ASSERT_TRUE(safeRoute);
    EXPECT_EQ(safeRoute->host, "hulo84.example");
    EXPECT_EQ(safeRoute->pathPrefix, "/leny950/");
    EXPECT_EQ(safeRoute->isIdempotent, true);
    EXPECT_EQ(safeRoute->timeout, milliseconds(800));
    EXPECT_EQ(safeRoute->targetLatency, milliseconds(200));
    EXPECT_EQ(safeRoute->priority, 2U);
    ASSERT_EQ(safeRoute->split.size(), 2U);
    EXPECT_EQ(safeRoute->split[1].weight, 10U);
    const RouteItem* unsafeRoute = state.route(RouteName("r-s989anu"));
    ASSERT_TRUE(unsafeRoute);
    EXPECT_EQ(unsafeRoute->isIdempotent, false);
    EXPECT_EQ(unsafeRoute->maxAttempts, 3U);
    EXPECT_TRUE(state.meshPolicy() && state.meshPolicy()->openCalls);
}

// Requests of kind "safe" and "download" are idempotent and may be retried. Unknown kinds must not be.
TEST(PlatformTest, OnlySafeRequestsAndDownloadsAreIdempotent)
{
    auto isIdempotent = [](const std::string& kind) {
        std::string detail;
        auto command = readOperatorDocument(replaced(documentText, "\"safe\"", "\"" + kind + "\""), &detail);
        if (!command)
            return false;
        ConfigState state(Revision(1), command->items);
        return state.route(RouteName("r-n2ctnfz"))->isIdempotent.value_or(false);
    };
    EXPECT_TRUE(isIdempotent("safe"));
    EXPECT_TRUE(isIdempotent("download"));
    EXPECT_FALSE(isIdempotent("unsafe"));
    EXPECT_FALSE(isIdempotent("stream"));
}

// Invalid configurations must be rejected, and valid ones accepted, including those with unknown fields.
TEST(PlatformTest, RejectsOnlyInvalidDocuments)
{
    auto isAccepted = [](const std::string& text) {
        std::string detail;
        auto command = readOperatorDocument(text, &detail);
        return command && !ConfigState(Revision(1), command->items).validate();
    };
    EXPECT_TRUE(isAccepted(documentText));
    const std::pair<const char*, const char*> invalid[] = { { "\"max_attempts\":2", "\"max_attempts\":0" },
        { "\"timeout_s\":0.8", "\"timeout_s\":601" }, { "/leny950/", "leny950/" }, { "\"weight\":90", "\"weight\":-1" },
        { "Hulo84.example", "" }, { "\"service\":\"lovo22d\"", "\"service\":\"gone\"" }, { "\"r7\"", "\"x\"" },
        { "],\"services\"", ",\"services\"" }, { "\"kind\":\"safe\",", "" } };
    for (const auto& [from, to] : invalid)
        EXPECT_FALSE(isAccepted(replaced(documentText, from, to))) << to;
    EXPECT_FALSE(isAccepted(documentText.substr(0, documentText.size() / 2)));
    const std::pair<const char*, const char*> valid[] = { { "\"timeout_s\":0.8", "\"timeout_s\":600" },
        { "\"weight\":10", "\"weight\":0" }, { "\"weight\":90", "\"weight\":89.5" }, { "\"r5\"", "0" },
        { "\"max_attempts\":2", "\"max_attempts\":50" }, { "\"priority\":2", "\"priority\":0" },
        { "\"limits\":", "\"new_field\":[1],\"limits\":" } };
    for (const auto& [from, to] : valid)
        EXPECT_TRUE(isAccepted(replaced(documentText, from, to))) << to;
}

// Guards against weights that are cut to a limit one by one, which changes the shares of the split (review/4).
TEST(PlatformTest, WeightsOfAnySizeKeepTheirProportions)
{
    constexpr double tolerance = 0.001;
    const std::pair<std::string, std::string> weights[] = { { "980000", "20000" }, { "980", "20" }, { "98.5", "1.5" },
        { "0.004", "0.001" }, { "3e12", "1e12" }, { "1e300", "1e300" }, { "20000.5", "1" }, { "0", "15000" } };
    for (const auto& [first, second] : weights) {
        std::string text = replaced(documentText, "\"weight\":90", "\"weight\":" + first);
        std::string detail;
        auto command = readOperatorDocument(replaced(text, "\"weight\":10}", "\"weight\":" + second + "}"), &detail);
        ASSERT_TRUE(command) << detail;
        ConfigState state(Revision(1), command->items);
        EXPECT_FALSE(state.validate(&detail)) << detail;
        const auto& split = state.route(RouteName("r-n2ctnfz"))->split;
        double used = split[0].weight / (1.0 * split[0].weight + split[1].weight);
        double wanted = std::stod(first) / (std::stod(first) + std::stod(second));
        EXPECT_NEAR(used, wanted, tolerance) << first << " and " << second;
        EXPECT_EQ(split[0].weight == 0, std::stod(first) == 0) << "a part that gets requests keeps getting some";
    }
    std::string detail;
    EXPECT_FALSE(readOperatorDocument(replaced(documentText, "\"weight\":90", "\"weight\":1e400"), &detail));
}

// Guards against routes that lose their order of priority because the numbers are cut to a limit.
TEST(PlatformTest, PrioritiesOfAnySizeKeepTheirOrder)
{
    std::string text = replaced(documentText, "\"priority\":2", "\"priority\":300000");
    std::string detail;
    auto command = readOperatorDocument(replaced(text, "\"priority\":1,", "\"priority\":200000,"), &detail);
    ASSERT_TRUE(command) << detail;
    ConfigState state(Revision(1), command->items);
    EXPECT_FALSE(state.validate(&detail)) << detail;
    EXPECT_GT(state.route(RouteName("r-n2ctnfz"))->priority, state.route(RouteName("r-s989anu"))->priority);
}

// A malformed report, or one with an unknown state, must not announce a backend.
TEST(PlatformTest, AcceptsOnlyCompleteReportsWithKnownState)
{
    auto announcement = report(reportText);
    ASSERT_TRUE(announcement);
    EXPECT_EQ(announcement->service, ServiceName("huvo11a"));
    EXPECT_EQ(announcement->slots, 12U);
    EXPECT_EQ(announcement->phase, UpstreamPhase::Ready);
    EXPECT_EQ(announcement->startedAt, 1760000000123U);
    EXPECT_EQ(announcement->sequence, Sequence(4));
    EXPECT_EQ(report(replaced(reportText, "\"cold_left_s\":0", "\"cold_left_s\":2.5"))->phase, UpstreamPhase::Cold);
    EXPECT_EQ(report(replaced(reportText, "\"ready\"", "\"draining\""))->phase, UpstreamPhase::Draining);
    const std::pair<const char*, const char*> malformed[]
        = { { "\"ready\"", "\"resting\"" }, { "\"slots\":12", "\"slots\":\"12\"" }, { "\"seq\":4,", "" },
              { "10.128.0.9:8080", "somewhere" }, { "\"huvo11a\"", "7" }, { "{\"state\"", "[{\"state\"" } };
    for (const auto& [from, to] : malformed)
        EXPECT_FALSE(report(replaced(reportText, from, to))) << to;
    EXPECT_FALSE(report("\xff\xfe"));
    EXPECT_EQ(readDeregistration(UpstreamId("i-1"), R"({"born":5})")->startedAt, 5U);
    EXPECT_EQ(readDeregistration(UpstreamId("i-1"), "")->startedAt, 0U);
    EXPECT_FALSE(readDeregistration(UpstreamId("i 1"), ""));
}

// Guards against a report of another writer that ends the daemon, or names a backend that can't exist.
TEST(PlatformTest, OddReportsAndDocumentsAreRejected)
{
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    std::string deepObject;
    for (int i = 0; i < 50'000; ++i)
        deepObject += "{\"a\":";
    const std::pair<std::string, std::string> odd[] = { { "\"version\":\"v1\"", "\"version\":" + deep },
        { "\"version\":\"v1\"", "\"version\":" + deepObject }, { "\"slots\":12", "\"slots\":1e999" },
        { "\"slots\":12", "\"slots\":-1" }, { "\"slots\":12", "\"slots\":99999999999999999999999999" },
        { "\"seq\":4", "\"seq\":1e400" }, { "\"seq\":4", "\"seq\":4.5" }, { "10.128.0.9:8080", "10.128.0.9:65536" },
        { "10.128.0.9:8080", "10.128.0.9:0" }, { "10.128.0.9:8080", "10.128.0.9:-1" },
        { "10.128.0.9:8080", "10.128.0.9:99999999999999999999" }, { "10.128.0.9:8080", "10.128.0.9:" },
        { "10.128.0.9:8080", "300.1.1.1:80" }, { "huvo11a", std::string(100'000, 'x') } };
    for (const auto& [from, to] : odd)
        EXPECT_FALSE(report(replaced(reportText, from, to))) << to.substr(0, 60);
    // The start and the rest of a cold start are optional; an odd value doesn't count.
    for (const char* born : { "1e999", "-1", "\"x\"", "[[[[]]]]" }) {
        auto announcement = report(replaced(reportText, "1760000000123", born));
        ASSERT_TRUE(announcement) << born;
        EXPECT_EQ(announcement->startedAt, 0U) << born;
    }
    const std::pair<std::string, std::string> oddDocuments[]
        = { { "\"r7\"", "\"r99999999999999999999999\"" }, { "\"timeout_s\":0.8", "\"timeout_s\":1e400" },
              { "\"max_attempts\":2", "\"max_attempts\":1e30" }, { "\"priority\":2", "\"priority\":\"2\"" },
              { "\"priority\":2", "\"priority\":-2" }, { "\"limits\":{", "\"limits\":" + deep + ",\"x\":{" } };
    for (const auto& [from, to] : oddDocuments) {
        std::string detail;
        EXPECT_FALSE(readOperatorDocument(replaced(documentText, from, to), &detail)) << to.substr(0, 60);
    }
}

namespace {

    /// The document with a member "tenants" of this value.
    std::string documentWithTenants(const std::string& tenants)
    {
        return replaced(documentText, "\"limits\":{", "\"tenants\":" + tenants + ",\"limits\":{");
    }

    bool isAccepted(const std::string& document)
    {
        std::string detail;
        bool isAccepted = readOperatorDocument(document, &detail).has_value();
        EXPECT_EQ(detail.empty(), isAccepted) << detail;
        return isAccepted;
    }

} // namespace

TEST(PlatformTest, ConvertsTenants)
{
    std::string detail;
    auto command = readOperatorDocument(
        documentWithTenants(R"([{"name":"north","api_keys":["k1","k2"],"priority":3,"rate_per_s":10.5,"burst":4},)"
                            R"({"name":"south","api_keys":[],"priority":99999999999,"rate_per_s":1e300}])"),
        &detail);
    ASSERT_TRUE(command) << detail;
    std::vector<TenantItem> tenants;
    bool requiresApiKeys = false;
    for (const ConfigItem& item : command->items) {
        if (const auto* tenant = std::get_if<TenantItem>(&item))
            tenants.push_back(*tenant);
        if (const auto* policy = std::get_if<MeshPolicyItem>(&item))
            requiresApiKeys = policy->requiresApiKeys;
    }
    EXPECT_TRUE(requiresApiKeys);
    ASSERT_EQ(tenants.size(), 2U);
    EXPECT_EQ(tenants[0].name, TenantName("north"));
    EXPECT_EQ(tenants[0].keys, (std::vector { ApiKeyHash::of("k1"), ApiKeyHash::of("k2") }));
    EXPECT_EQ(tenants[0].ratePerSecond, 10.5);
    EXPECT_EQ(tenants[0].burst, 4);
    EXPECT_LT(tenants[0].priority, tenants[1].priority) << "the order is kept";
    EXPECT_EQ(tenants[1].ratePerSecond, ItemLimits::requestRate);
}

TEST(PlatformTest, DocumentWithoutTenantsRequiresNoKeys)
{
    for (const char* tenants : { "null", "[]" }) {
        std::string detail;
        auto command = readOperatorDocument(documentWithTenants(tenants), &detail);
        ASSERT_TRUE(command) << detail;
        for (const ConfigItem& item : command->items) {
            if (const auto* policy = std::get_if<MeshPolicyItem>(&item))
                EXPECT_FALSE(policy->requiresApiKeys);
        }
    }
}

TEST(PlatformTest, AbsurdTenantsAreAcceptedOrRejectedWithAReason)
{
    EXPECT_TRUE(isAccepted(documentWithTenants(R"([{"name":"a","api_keys":["k"],"rate_per_s":0.25,"burst":0.5}])")));
    EXPECT_TRUE(
        isAccepted(documentWithTenants(R"([{"name":"a","api_keys":[")" + std::string(10'000, 'k') + R"("]}])")));
    for (const char* tenants : { "{}", "7", "[7]", "[{}]", R"([{"name":"a"}])", R"([{"api_keys":["k"]}])",
             R"([{"name":"","api_keys":["k"]}])", R"([{"name":"a b","api_keys":["k"]}])",
             R"([{"name":"a","api_keys":[""]}])", R"([{"name":"a","api_keys":[7]}])",
             R"([{"name":"a","api_keys":"k"}])", R"([{"name":"a","api_keys":["k"],"rate_per_s":-1}])",
             R"([{"name":"a","api_keys":["k"],"burst":-0.5}])", R"([{"name":"a","api_keys":["k"],"rate_per_s":"9"}])",
             R"([{"name":"a","api_keys":["k"],"rate_per_s":1e999}])",
             R"([{"name":"a","api_keys":["k"],"priority":-1}])" })
        EXPECT_FALSE(isAccepted(documentWithTenants(tenants))) << tenants;
    EXPECT_FALSE(
        isAccepted(documentWithTenants(R"([{"name":")" + std::string(10'000, 'n') + R"(","api_keys":["k"]}])")));
    EXPECT_FALSE(isAccepted(replaced(documentText, "\"priority\":2", "\"priority\":2,\"public\":\"yes\"")));
}

// Guards against a document that is in force in part, or not refused at all.
TEST(PlatformTest, DocumentsThatTheMeshCannotHoldAreRefusedAsAWhole)
{
    std::string many = "[";
    for (int i = 0; i < 100'000; ++i)
        many += (i == 0 ? "" : ",") + (R"({"name":"t)" + std::to_string(i)) + R"(","api_keys":["k)" + std::to_string(i)
            + R"("]})";
    EXPECT_FALSE(isAccepted(documentWithTenants(many + "]")));
    std::string detail;
    auto command = readOperatorDocument(
        documentWithTenants(R"([{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}])"), &detail);
    ASSERT_TRUE(command) << detail;
    ConfigDelta delta;
    for (const ConfigItem& item : command->items)
        delta.upserts.emplace(keyOf(item), item);
    ConfigState state;
    ASSERT_FALSE(state.apply(delta, { .base = false, .digest = false }));
    EXPECT_EQ(state.validate(&detail), ResultCode::DuplicateApiKey);
    EXPECT_EQ(detail, "tenants a and b have the same API key");
}

TEST(PlatformTest, RefusedDocumentStatesTheReason)
{
    HttpResponse malformed = serve("POST", "/v1/Config.Put", documentWithTenants("7"), {});
    EXPECT_EQ(malformed.status, 400U);
    EXPECT_EQ(malformed.body, R"({"error":"tenants is not an array"})");
    DaemonHooks hooks;
    hooks.replaceConfiguration = [](const ReplaceCommand&, const std::function<void(ReplaceAnswer)>& callback) {
        callback({ .code = ResultCode::DuplicateApiKey, .detail = "tenants a and b have the same API key" });
    };
    HttpResponse refused = serve("POST", "/v1/Config.Put", documentText, hooks);
    EXPECT_EQ(refused.status, 400U);
    EXPECT_EQ(refused.body, R"({"error":"tenants a and b have the same API key"})");
}

// The HTTP statuses sent to operators and backends must match the outcome in the mesh.
TEST(PlatformTest, MapsOutcomesToHttpStatuses)
{
    const std::map<ResultCode, unsigned> statuses { { ResultCode::Ok, 200 }, { ResultCode::PlanConflict, 412 },
        { ResultCode::InvalidValue, 400 }, { ResultCode::DanglingRoute, 400 }, { ResultCode::QuorumLost, 503 },
        { ResultCode::OutcomeUncertain, 503 } };
    for (const auto& [code, status] : statuses) {
        DaemonHooks hooks;
        hooks.replaceConfiguration = [code = code](const ReplaceCommand&,
                                         const std::function<void(ReplaceAnswer)>& callback) { callback({ code }); };
        EXPECT_EQ(serve("POST", "/v1/Config.Put", documentText, hooks).status, status);
    }
    DaemonHooks follower;
    follower.readDocument = [](const std::function<void(DocumentAnswer)>& callback) {
        callback({ .code = ResultCode::NotLeader, .leader = Endpoint { "10.0.0.4", 8080 } });
    };
    HttpResponse redirect = serve("GET", "/v1/Config.Get", "", follower);
    EXPECT_EQ(redirect.status, 307U);
    EXPECT_EQ(redirect.header("Location"), "http://10.0.0.4:8080/v1/Config.Get");
    follower.readDocument
        = [](const std::function<void(DocumentAnswer)>& callback) { callback({ .code = ResultCode::NotLeader }); };
    EXPECT_EQ(serve("GET", "/v1/Config.Get", "", follower).status, 503U);

    int announced = 0;
    DaemonHooks local { .service = ServiceName("huvo11a"), .upstream = Endpoint { "10.128.0.9", 8080 } };
    local.announce = [&](const Announcement&, const std::function<void(ResultCode)>& acknowledge) {
        ++announced;
        acknowledge(ResultCode::Ok);
    };
    EXPECT_EQ(serve("POST", "/v1/Instances.Heartbeat/i-1", reportText, local).status, 200U);
    local.service = ServiceName("other");
    EXPECT_EQ(serve("POST", "/v1/Instances.Heartbeat/i-1", reportText, local).status, 400U);
    EXPECT_EQ(announced, 1);
    HttpRequest daemonRequest { .method = "GET", .target = "/v1/ready" };
    EXPECT_FALSE(serveApi(
        daemonRequest, [](const HttpResponse&) {}, local));
}

// The operator starts roll-outs and asks for their state in the words of the platform.
TEST(PlatformTest, TranslatesRollouts)
{
    const std::string order = R"({"service":"huvo11a","target_version":"v2","duration_s":12.5})";
    const std::map<ResultCode, unsigned> statuses { { ResultCode::Ok, 200 }, { ResultCode::RolloutConflict, 409 },
        { ResultCode::UnknownService, 404 }, { ResultCode::InvalidValue, 400 }, { ResultCode::QuorumLost, 503 },
        { ResultCode::OutcomeUncertain, 503 } };
    for (const auto& [code, status] : statuses) {
        StartRolloutCommand started;
        DaemonHooks hooks;
        hooks.startRollout
            = [&, code = code](const StartRolloutCommand& command, const std::function<void(RolloutAnswer)>& callback) {
                  started = command;
                  callback({ .code = code });
              };
        EXPECT_EQ(serve("POST", "/v1/Rollouts.Start", order, hooks).status, status);
        EXPECT_EQ(
            started, (StartRolloutCommand { ServiceName("huvo11a"), UpstreamVersion("v2"), milliseconds(12500) }));
        for (const char* odd : { "{}", R"({"service":"huvo11a","target_version":"v2","duration_s":1e300})" })
            EXPECT_EQ(serve("POST", "/v1/Rollouts.Start", odd, hooks).status, 400U);
    }
    DaemonHooks hooks;
    hooks.readRollout = [](const ServiceName& service, const std::function<void(RolloutAnswer)>& callback) {
        if (service != ServiceName("huvo11a"))
            return callback({ .code = ResultCode::NotFound });
        callback({ .item
            = RolloutItem { .service = service, .target = UpstreamVersion("v2"), .state = RolloutState::RolledBack } });
    };
    EXPECT_EQ(
        serve("GET", "/v1/Rollouts.Get/huvo11a", "", hooks).body, R"({"state":"rolled_back","target_version":"v2"})");
    EXPECT_EQ(serve("GET", "/v1/Rollouts.Get/other", "", hooks).status, 404U);
    hooks.readRollout = [](const ServiceName&, const std::function<void(RolloutAnswer)>& callback) {
        callback({ .code = ResultCode::NotLeader, .leader = Endpoint { "10.0.0.4", 8080 } });
    };
    EXPECT_EQ(serve("GET", "/v1/Rollouts.Get/huvo11a", "", hooks).header("Location"),
        "http://10.0.0.4:8080/v1/Rollouts.Get/huvo11a");
}

} // namespace dragonflylane::platform
