#include "dragonflylane/CallHeaders.h"

#include "dragonflylane/ResultCode.h"

#include <gtest/gtest.h>

namespace dragonflylane {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::minutes;

    std::error_code parseDeadline(const std::string& value, CallHeaders& headers)
    {
        CallHeaderNames names;
        HttpRequest request { .method = "GET", .target = "/" };
        request.headers.push_back({ names.deadline, value });
        return parseCallHeaders(request, names, headers);
    }

} // namespace

// Guards against a proper request that is refused because its caller would wait for longer than any route may take.
TEST(CallHeadersTest, LongDeadlinesAreCutToTheLongestTimeout)
{
    CallHeaders headers;
    for (const char* value : { "600001", "86400000", "18446744073709551615", "99999999999999999999999" }) {
        EXPECT_FALSE(parseDeadline(value, headers)) << value;
        EXPECT_EQ(headers.timeout, minutes(10)) << value;
    }
    EXPECT_FALSE(parseDeadline("250", headers));
    EXPECT_EQ(headers.timeout, milliseconds(250));
    for (const char* value : { "-1", "1.5", "x", "12 " })
        EXPECT_EQ(parseDeadline(value, headers), ResultCode::MalformedRequest) << value;
}

// Guards against a key that is taken from credentials of another form, or from one of several headers.
TEST(CallHeadersTest, ApiKeyIsTakenFromExactlyOneHeaderWithABearerToken)
{
    auto parse = [](std::vector<HttpHeader> headers) {
        HttpRequest request { .method = "GET", .target = "/", .headers = std::move(headers) };
        CallHeaders parsed;
        EXPECT_FALSE(parseCallHeaders(request, {}, parsed));
        return parsed.apiKey;
    };
    EXPECT_EQ(parse({ { "Authorization", "Bearer key" } }), ApiKeyHash::of("key"));
    EXPECT_EQ(parse({ { "AUTHORIZATION", "bearer key" } }), ApiKeyHash::of("key"));
    EXPECT_EQ(
        parse({ { "Authorization", "Bearer " + std::string(10'000, 'k') } }), ApiKeyHash::of(std::string(10'000, 'k')));
    EXPECT_FALSE(parse({}));
    EXPECT_FALSE(parse({ { "Authorization", "" } }));
    EXPECT_FALSE(parse({ { "Authorization", "Bearer" } }));
    EXPECT_FALSE(parse({ { "Authorization", "Basic key" } }));
    EXPECT_FALSE(parse({ { "Authorization", "key" } }));
    EXPECT_FALSE(parse({ { "Authorization", "Bearer key" }, { "authorization", "Bearer key" } }));
}

// RFC 9110 requires the header in each response with this status.
TEST(CallHeadersTest, RefusalForLackOfAKeyNamesTheScheme)
{
    HttpResponse response = makeRefusal(ResultCode::ApiKeyUnknown, RequestId("r-1"));
    EXPECT_EQ(response.status, 401U);
    EXPECT_EQ(response.header("WWW-Authenticate"), "Bearer");
    EXPECT_EQ(makeRefusal(ResultCode::NoRoute, RequestId("r-1")).header("WWW-Authenticate"), "");
}

} // namespace dragonflylane
