#include "dragonflylane/ForwardWire.h"
#include "dragonflylane/Admission.h"
#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/EntryCall.h"
#include "dragonflylane/HeaderCoding.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/RoutingTableBuilder.h"
#include "dragonflylane/Wire.h"

#include "gen-cpp/peer_types.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dragonflylane {

namespace {

    CallHeaderNames names()
    {
        CallHeaderNames names;
        names.requestId = "X-Id";
        names.upstreamLoad = "X-Load";
        names.upstreamsEchoRequestId = true;
        return names;
    }

    std::shared_ptr<const RoutingTable> routingTable(bool requiresApiKeys)
    {
        ConfigDelta delta;
        delta.toRevision = Revision(1);
        delta.upserts.emplace(meshPolicyKey(), MeshPolicyItem { .requiresApiKeys = requiresApiKeys });
        ConfigState state;
        EXPECT_FALSE(state.apply(delta, { .base = false, .digest = false }));
        RoutingTableBuilder builder;
        builder.setState(state);
        return builder.build();
    }

    const std::string apiKey = "secret-key";

    /// A call of tenant north whose request has an API key and a forged tenant.
    EntryCall makeCall(std::shared_ptr<const RoutingTable> routingTable)
    {
        HttpRequest request { .method = "GET", .target = "/" };
        request.headers
            = { { "authorization", "Bearer " + apiKey }, { "Dragonflylane-Tenant", "south" }, { "X-Other", "kept" } };
        EntryCall call;
        call.exchange = std::make_shared<HttpExchange>(request, TimePoint(), nullptr);
        call.routingTable = std::move(routingTable);
        EXPECT_FALSE(parseCallHeaders(request, names(), call.headers));
        call.origin.credentials.apiKey = call.headers.apiKey;
        call.tenant = TenantName("north");
        call.tenantPriority = 2;
        return call;
    }

} // namespace

RC_GTEST_PROP(HeaderCodingProperty, DecodingRestoresTheText, ())
{
    auto text = *rc::gen::container<std::string>(rc::gen::inRange<char>(32, 127));
    RC_ASSERT(expandHeaderName(compressHeaderName(text)) == text);
    RC_ASSERT(expandHeaderValue(compressHeaderValue(text)) == text);
}

TEST(HeaderCodingTest, FrequentTextsAreEncodedInOneByte)
{
    for (const char* name : { "Host", "User-Agent", "Accept", "Accept-Encoding", "Content-Type" }) {
        EXPECT_EQ(compressHeaderName(name).size(), 1U);
        EXPECT_EQ(expandHeaderName(compressHeaderName(name)), name);
    }
    EXPECT_EQ(compressHeaderValue("application/octet-stream").size(), 1U);
    // Only the exact case is abbreviated, so names keep the case in which the caller wrote them.
    EXPECT_EQ(compressHeaderName("host"), "host");
    EXPECT_EQ(expandHeaderValue("\t"), "\t");
}

TEST(HeaderCodingTest, UnknownAbbreviationIsNotDecoded)
{
    EXPECT_FALSE(expandHeaderName("\x1f"));
    EXPECT_FALSE(expandHeaderValue(std::string_view("\0", 1)));
}

// Guards against responses that are longer than needed on slow links, and against losing other headers.
TEST(ForwardWireTest, ResponseOmitsHeadersThatTheEntryDaemonRestores)
{
    HttpResponse answer { .status = 200 };
    answer.headers = { { "X-Id", "id1" }, { "X-Load", "1,0,12" }, { "Keep-Alive", "timeout=10" },
        { "Content-Length", "3" }, { "Content-Type", "text/plain" }, { "X-Other", "kept" } };
    answer.body = "abc";
    wire::ForwardResponse message;
    message.status = 200;
    message.headers = toAnswerHeaders(answer, names(), "id1");
    EXPECT_EQ(message.headers.size(), 2U);
    message.body = answer.body;
    HttpResponse restored = toHttpResponse(message);
    EXPECT_EQ(restored.header("Content-Type"), "text/plain");
    EXPECT_EQ(restored.header("X-Other"), "kept");
}

// The entry daemon cannot restore the id of another request or the length that a response to HEAD states.
TEST(ForwardWireTest, ResponseKeepsHeadersThatCannotBeRestored)
{
    HttpResponse answer { .status = 200 };
    answer.headers = { { "X-Id", "other" }, { "Content-Length", "3" } };
    EXPECT_EQ(toAnswerHeaders(answer, names(), "id1").size(), 2U);
}

// Guards against an API key that reaches the owner daemon or an upstream, and against a forged tenant.
TEST(ForwardWireTest, RequestHoldsTheTenantInsteadOfTheKey)
{
    EntryCall call = makeCall(routingTable(true));
    wire::ForwardRequest request = makeForwardRequest(call, names(), 1, {}, TimePoint());
    EXPECT_EQ(encodeThrift(request).find(apiKey), std::string::npos);
    EXPECT_EQ(request.headers.size(), 1U);
    EXPECT_EQ(request.tenant, "north");
    EXPECT_EQ(request.tenantPriority, 2);
}

TEST(ForwardWireTest, UpstreamGetsTheNameOfTheTenant)
{
    EntryCall call = makeCall(routingTable(true));
    wire::ForwardRequest message = makeForwardRequest(call, names(), 1, {}, TimePoint());
    HttpRequest request = takeUpstreamRequest(message, names(), std::chrono::seconds(1));
    EXPECT_EQ(request.header("Dragonflylane-Tenant"), "north");
    call.tenant = {};
    message = makeForwardRequest(call, names(), 1, {}, TimePoint());
    request = takeUpstreamRequest(message, names(), std::chrono::seconds(1));
    EXPECT_EQ(request.header("Dragonflylane-Tenant"), "");
}

// A mesh that requires no API keys does not know what the header is for, so it reaches the upstream.
TEST(ForwardWireTest, CredentialsAreSentOnInAMeshWithoutApiKeys)
{
    EntryCall call = makeCall(routingTable(false));
    EXPECT_EQ(makeForwardRequest(call, names(), 1, {}, TimePoint()).headers.size(), 3U);
    wire::CallTransfer transfer = makeTransfer(call, names(), 1);
    EXPECT_FALSE(originOf(transfer).credentials.isHeaderOmitted);
    EXPECT_EQ(transfer.headers.size(), 3U);
}

// Guards against an API key in a frame to another entry daemon, which still has to authenticate the caller.
TEST(ForwardWireTest, TransferHoldsTheHashOfTheKey)
{
    for (const auto& table : { routingTable(true), std::make_shared<const RoutingTable>() }) {
        EntryCall call = makeCall(table);
        call.origin.credentials.parent = InheritedTenant { .name = TenantName("west"), .priority = 5 };
        std::string payload = encodeThrift(makeTransfer(call, names(), 1));
        EXPECT_EQ(payload.find(apiKey), std::string::npos);
        wire::CallTransfer received;
        ASSERT_TRUE(decodeThrift(payload, received));
        CallCredentials credentials = originOf(received).credentials;
        EXPECT_EQ(credentials.apiKey, ApiKeyHash::of(apiKey));
        EXPECT_TRUE(credentials.isHeaderOmitted);
        ASSERT_TRUE(credentials.parent);
        EXPECT_EQ(credentials.parent->name, TenantName("west"));
        EXPECT_EQ(credentials.parent->priority, 5U);
    }
}

// Guards against bodies that entry and owner accept and that the other daemon drops, so that a request vanishes, or
// runs and its response is thrown away (review/2).
TEST(ForwardWireTest, EveryBodyThatIsAcceptedIsDecoded)
{
    for (size_t bytes :
        { size_t { 2 } << 20, size_t { 3'000'000 }, size_t { 4 } << 20, size_t { maxForwardedBodyBytes } }) {
        wire::ForwardRequest request;
        request.body = std::string(bytes, 'b');
        wire::ForwardRequest receivedRequest;
        ASSERT_TRUE(decodeThrift(encodeThrift(request), receivedRequest)) << bytes;
        EXPECT_EQ(receivedRequest.body, request.body);
        wire::ForwardResponse response;
        response.body = std::string(bytes, 'b');
        wire::ForwardResponse receivedResponse;
        ASSERT_TRUE(decodeThrift(encodeThrift(response), receivedResponse)) << bytes;
        EXPECT_EQ(receivedResponse.body, response.body);
    }
    // A forged length must not be believed.
    wire::ForwardRequest forged;
    forged.body = std::string(100, 'b');
    std::string payload = encodeThrift(forged);
    wire::ForwardRequest ignored;
    EXPECT_FALSE(decodeThrift(payload.substr(0, payload.size() / 2), ignored));
}

// Guards against passing on a status that no HTTP response may have, from a daemon of an earlier build.
TEST(ForwardWireTest, InvalidStatusBecomesACode)
{
    auto codeFor = [](int32_t status, ResultCode code) {
        wire::ForwardResponse response = makeResponse(1, code);
        response.status = status;
        response.body = "body";
        rejectInvalidStatus(response);
        EXPECT_EQ(response.body.empty(), response.code == static_cast<int32_t>(ResultCode::MalformedAnswer));
        return static_cast<ResultCode>(response.code);
    };
    for (int32_t status : { -1, 0, 1, 99, 100, 101, 199, 600, 999 })
        EXPECT_EQ(codeFor(status, ResultCode::Ok), ResultCode::MalformedAnswer) << status;
    for (int32_t status : { 200, 404, 599 })
        EXPECT_EQ(codeFor(status, ResultCode::Ok), ResultCode::Ok) << status;
    // A refusal by a daemon has no status.
    EXPECT_EQ(codeFor(0, ResultCode::QueueFull), ResultCode::QueueFull);
}

TEST(ForwardWireTest, SpeedAndPaceReachTheEntryDaemon)
{
    constexpr uint64_t route = 7;
    LoadReport sent { .limit = 12,
        .speed = SpeedReport { .routeKey = route,
            .usualServiceTime = std::chrono::milliseconds(120),
            .slowness = SlownessPercent(250) },
        .paceLimit = 4 };
    wire::ForwardResponse message;
    addSpeed(message, sent);
    wire::ForwardResponse received;
    ASSERT_TRUE(decodeThrift(encodeThrift(message), received));
    LoadReport report = loadReport(received, route);
    ASSERT_TRUE(report.speed);
    EXPECT_EQ(report.speed->usualServiceTime, sent.speed->usualServiceTime);
    EXPECT_EQ(report.speed->slowness, sent.speed->slowness);
    EXPECT_EQ(report.paceLimit, sent.paceLimit);

    // An owner whose upstream states no load sends neither.
    LoadReport plain = loadReport(wire::ForwardResponse(), route);
    EXPECT_FALSE(plain.speed);
    EXPECT_FALSE(plain.paceLimit);
}

} // namespace dragonflylane
