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

} // namespace dragonflylane
