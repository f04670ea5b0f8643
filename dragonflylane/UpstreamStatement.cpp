#include "dragonflylane/UpstreamStatement.h"

#include "dragonflylane/CallHeaders.h"

#include <charconv>

namespace dragonflylane {

namespace {

    std::optional<RequestRate> parseRate(std::string_view text)
    {
        double perSecond = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), perSecond);
        bool isNumber = error == std::errc() && end == text.data() + text.size();
        return isNumber ? toRequestRate(perSecond) : std::nullopt;
    }

} // namespace

UpstreamStatement parseUpstreamStatement(const HttpResponse& response, const CallHeaderNames& names)
{
    UpstreamStatement statement;
    if (std::string_view text = response.header(names.upstreamRateLimit); !text.empty()) {
        statement.rateLimit = parseRate(text);
        statement.hasInvalidRateLimit = !statement.rateLimit;
    }
    statement.isLeaving = response.header(names.upstreamLeaving) == "1";
    return statement;
}

} // namespace dragonflylane
