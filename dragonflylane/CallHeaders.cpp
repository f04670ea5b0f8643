#include "dragonflylane/CallHeaders.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace dragonflylane {

namespace {

    constexpr size_t maxKeyBytes = 128;
    constexpr size_t maxRequestIdBytes = 96;
    constexpr uint64_t maxTimeoutMilliseconds = 600'000;

    bool parseNumber(std::string_view text, uint64_t max, uint64_t& value)
    {
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size() && value <= max;
    }

    // A number that is too large, even for 64 bits, counts as `max`.
    bool parseNumberUpTo(std::string_view text, uint64_t max, uint64_t& value)
    {
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (end != text.data() + text.size() || error == std::errc::invalid_argument)
            return false;
        value = error == std::errc::result_out_of_range ? max : std::min(value, max);
        return true;
    }

    // Empty if the credentials are of another scheme, or if there are several headers with credentials.
    std::optional<ApiKeyHash> apiKeyHash(const HttpRequest& request, const std::string& headerName)
    {
        constexpr std::string_view scheme = "Bearer ";
        auto isCredentials = [&](const HttpHeader& header) { return equalsIgnoringCase(header.name, headerName); };
        if (std::count_if(request.headers.begin(), request.headers.end(), isCredentials) != 1)
            return std::nullopt;
        std::string_view credentials = request.header(headerName);
        if (!equalsIgnoringCase(credentials.substr(0, scheme.size()), scheme))
            return std::nullopt;
        return ApiKeyHash::of(credentials.substr(scheme.size()));
    }

    bool isRequestId(std::string_view text)
    {
        if (text.empty() || text.size() > maxRequestIdBytes)
            return false;
        return std::all_of(text.begin(), text.end(),
            [](unsigned char c) { return std::isalnum(c) || c == '.' || c == '_' || c == '-'; });
    }

} // namespace

std::error_code parseCallHeaders(const HttpRequest& request, const CallHeaderNames& names, CallHeaders& headers)
{
    headers = {};
    std::string_view caller = request.header(names.caller);
    headers.caller = ServiceName(caller.empty() ? clientServiceName : std::string(caller));
    headers.key = IdempotencyKey(std::string(request.header(names.idempotencyKey)));
    if (headers.key.value().size() > maxKeyBytes)
        return ResultCode::RequestTooLarge;
    if (std::string_view text = request.header(names.deadline); !text.empty()) {
        uint64_t milliseconds = 0;
        // No route may take longer, so a longer deadline changes nothing.
        if (!parseNumberUpTo(text, maxTimeoutMilliseconds, milliseconds))
            return ResultCode::MalformedRequest;
        headers.timeout = std::chrono::milliseconds(milliseconds);
    }
    if (std::string_view text = request.header(names.hops); !text.empty()) {
        uint64_t hops = 0;
        if (!parseNumber(text, UINT32_MAX, hops))
            return ResultCode::MalformedRequest;
        headers.hops = static_cast<uint32_t>(hops);
    }
    std::string_view id = request.header(names.requestId);
    if (isRequestId(id))
        headers.requestId = RequestId(std::string(id));
    headers.apiKey = apiKeyHash(request, names.apiKey);
    headers.isTransferred = !request.header(transferredHeader).empty();
    return {};
}

std::string_view parentRequestId(const RequestId& requestId, const CallHeaderNames& names)
{
    std::string_view id = requestId.value();
    size_t separator = names.nestedIdSeparator == 0 ? std::string_view::npos : id.rfind(names.nestedIdSeparator);
    return separator == std::string_view::npos ? std::string_view() : id.substr(0, separator);
}

unsigned httpStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::NoRoute:
        return 404;
    case ResultCode::ApiKeyUnknown:
        return 401;
    case ResultCode::AllotmentExceeded:
        return 429;
    case ResultCode::CallerNotAllowed:
        return 403;
    case ResultCode::MalformedRequest:
        return 400;
    case ResultCode::RequestTooLarge:
        return 413;
    case ResultCode::RequestTimeout:
        return 408;
    case ResultCode::TooManyHops:
        return 508;
    case ResultCode::DuplicateRunning:
        return 409;
    case ResultCode::DeadlineExceeded:
    case ResultCode::UpstreamTimeout:
        return 504;
    case ResultCode::OwnerLost:
    case ResultCode::UpstreamLost:
    case ResultCode::AnswerTruncated:
    case ResultCode::AnswerTooLarge:
    case ResultCode::AnswerMemoryFull:
    case ResultCode::MalformedAnswer:
    case ResultCode::DuplicateUnknown:
        return 502;
    default:
        return 503;
    }
}

HttpResponse makeRefusal(ResultCode code, const RequestId& id, const CallHeaderNames& names, Duration retryAfter)
{
    HttpResponse response { .status = httpStatus(code) };
    bool isNotRun = runState(code) == RunState::NotRun;
    response.headers = { { names.code, std::to_string(static_cast<unsigned>(code)) },
        { names.run, isNotRun ? "not-run" : "unknown" }, { "Content-Type", "text/plain" } };
    if (!id.isEmpty())
        response.headers.push_back({ names.requestId, id.value() });
    if (retryAfter > Duration::zero()) {
        double seconds = std::chrono::duration<double>(retryAfter).count();
        char text[32];
        std::snprintf(text, sizeof(text), "%.3f", seconds);
        response.headers.push_back({ "Retry-After", text });
    }
    response.body = std::string(message(code)) + "\n";
    return response;
}

} // namespace dragonflylane
