#include "dragonflylane/ApiRequest.h"

#include "dragonflylane/MeshSecret.h"

#include <boost/json.hpp>
#include <charconv>
#include <cstdio>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    std::string decodePercent(std::string_view text)
    {
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            unsigned value = 0;
            bool isEscape = text[i] == '%' && i + 2 < text.size()
                && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3;
            decoded += isEscape ? static_cast<char>(value) : text[i];
            i += isEscape ? 2 : 0;
        }
        return decoded;
    }

    unsigned errorStatus(ResultCode code)
    {
        switch (code) {
        case ResultCode::UnknownOperator:
            return 401;
        case ResultCode::PlanNotFound:
        case ResultCode::NotFound:
            return 404;
        case ResultCode::PlanConflict:
            return 409;
        case ResultCode::NotLeader:
        case ResultCode::QuorumLost:
        case ResultCode::OutcomeUncertain:
            return 503;
        default:
            return 422;
        }
    }

} // namespace

std::string ApiRequest::query(std::string_view name) const
{
    std::string_view target = http.target;
    size_t questionMark = target.find('?');
    if (questionMark == std::string_view::npos)
        return {};
    std::string_view rest = target.substr(questionMark + 1);
    while (!rest.empty()) {
        size_t end = std::min(rest.find('&'), rest.size());
        std::string_view pair = rest.substr(0, end);
        size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return decodePercent(pair.substr(equals + 1));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return {};
}

void ApiRequest::respondJson(std::string body, unsigned status) const
{
    respond({ .status = status, .headers = { { "Content-Type", "application/json" } }, .body = std::move(body) });
}

void ApiRequest::respondError(ResultCode code, const std::string& detail) const
{
    json::object error { { "code", static_cast<unsigned>(code) }, { "name", std::string(name(code)) },
        { "message", std::string(message(code)) } };
    if (!detail.empty())
        error["detail"] = detail;
    respond({ .status = errorStatus(code),
        .headers = { { "Content-Type", "application/json" },
            { "Dragonflylane-Code", std::to_string(static_cast<unsigned>(code)) } },
        .body = json::serialize(json::object { { "error", std::move(error) } }) + "\n" });
}

std::vector<std::string> splitApiPath(std::string_view target)
{
    constexpr std::string_view prefix = "/v1/";
    target = target.substr(0, target.find('?'));
    if (!target.starts_with(prefix))
        return {};
    std::vector<std::string> segments;
    for (std::string_view rest = target.substr(prefix.size()); !rest.empty();) {
        size_t end = std::min(rest.find('/'), rest.size());
        segments.push_back(decodePercent(rest.substr(0, end)));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return segments;
}

std::string makePlanId()
{
    constexpr size_t idBytes = 6;
    std::string id = "p-";
    for (unsigned char byte : MeshSecret::makeNonce().substr(0, idBytes)) {
        char hex[3];
        std::snprintf(hex, sizeof(hex), "%02x", byte);
        id += hex;
    }
    return id;
}

} // namespace dragonflylane
