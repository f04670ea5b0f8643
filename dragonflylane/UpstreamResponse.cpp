#include "dragonflylane/UpstreamResponse.h"

#include "dragonflylane/HttpFraming.h"
#include "dragonflylane/HttpStatus.h"

namespace dragonflylane {

namespace {

    namespace http = boost::beast::http;

    // A response without the header cannot be matched to a request. A failure is accepted from a new connection, since
    // there was no other request that it could belong to.
    bool belongsToOtherRequest(const UpstreamMessage& message, const ResponseContext& context)
    {
        if (context.expectedValue.empty())
            return false;
        auto field = message.find(std::string(context.echoedHeader));
        if (field == message.end())
            return isSuccess(message) || context.isReused;
        return std::string_view(field->value()) != context.expectedValue;
    }

} // namespace

bool isSuccess(const UpstreamMessage& message)
{
    return message.result_int() / 100 == 2;
}

bool isDelimited(const UpstreamMessage& message, const ResponseContext& context)
{
    return context.isHead || message.chunked() || message.has_content_length()
        || message.result() == http::status::no_content || message.result() == http::status::not_modified;
}

ResponseVerdict judgeResponse(const UpstreamMessage& message, const ResponseContext& context)
{
    if (isInterimStatus(message.result_int()))
        return ResponseVerdict::Skip;
    if (!isFinalStatus(message.result_int()) || !isLengthUnambiguous(message, message.version()))
        return ResponseVerdict::Malformed;
    if (belongsToOtherRequest(message, context))
        return ResponseVerdict::Skip;
    // If only the close of the connection ends the body, a complete body cannot be told from a crash in the middle.
    if (!isDelimited(message, context) && !context.acceptsCloseDelimited)
        return ResponseVerdict::Malformed;
    return ResponseVerdict::Answer;
}

HttpResponse takeResponse(UpstreamMessage& message)
{
    HttpResponse response { .status = message.result_int() };
    for (const auto& field : message)
        response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    response.body = std::move(message.body());
    return response;
}

} // namespace dragonflylane
