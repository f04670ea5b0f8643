#include "dragonflylane/RequestParser.h"

#include "dragonflylane/HttpFraming.h"

#include <stdexcept>
#include <string_view>

namespace dragonflylane {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr std::string_view endOfHead = "\r\n\r\n";

    bool isFramingHeader(http::field field)
    {
        return field == http::field::content_length || field == http::field::transfer_encoding
            || field == http::field::connection || field == http::field::keep_alive;
    }

    std::string_view contents(const beast::flat_buffer& buffer)
    {
        return { static_cast<const char*>(buffer.data().data()), buffer.size() };
    }

    RequestProgress progressOf(beast::error_code error)
    {
        if (error == http::error::need_more)
            return RequestProgress::Incomplete;
        if (error == http::error::body_limit)
            return RequestProgress::BodyTooLarge;
        if (error == http::error::header_limit)
            return RequestProgress::HeaderTooLarge;
        return RequestProgress::Malformed;
    }

} // namespace

RequestParser::RequestParser(RequestParserOptions options)
    : m_options(options)
{
    m_parser.header_limit(options.maxHeaderBytes);
    m_parser.body_limit(options.maxBodyBytes);
}

RequestProgress RequestParser::parse(beast::flat_buffer& buffer)
{
    RequestProgress progress = m_hasHead ? RequestProgress::Complete : parseHead(buffer);
    return progress == RequestProgress::Complete ? parseBody(buffer) : progress;
}

// The parser would unfold lines, so the bytes are checked before it gets them.
RequestProgress RequestParser::parseHead(beast::flat_buffer& buffer)
{
    std::string_view input = contents(buffer);
    size_t end = input.find(endOfHead, m_checkedBytes < endOfHead.size() ? 0 : m_checkedBytes - endOfHead.size());
    bool isWhole = end != std::string_view::npos;
    std::string_view head = isWhole ? input.substr(0, end + endOfHead.size()) : input;
    if (hasForbiddenBytes(head, m_checkedBytes))
        return RequestProgress::Malformed;
    m_checkedBytes = head.size();
    if (!isWhole)
        return head.size() > m_options.maxHeaderBytes ? RequestProgress::HeaderTooLarge : RequestProgress::Incomplete;
    HeadVerdict verdict = checkFields(head);
    if (verdict != HeadVerdict::Valid)
        return verdict == HeadVerdict::FieldTooLong ? RequestProgress::HeaderTooLarge : RequestProgress::Malformed;
    while (!m_parser.is_header_done()) {
        if (auto error = put(buffer))
            return progressOf(error);
    }
    const auto& message = m_parser.get();
    if (!isLengthUnambiguous(message, message.version()))
        return RequestProgress::Malformed;
    m_request = { .method = std::string(message.method_string()), .target = std::string(message.target()) };
    for (const auto& field : message) {
        if (!isFramingHeader(field.name()))
            m_request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    m_hasHead = true;
    return RequestProgress::Complete;
}

RequestProgress RequestParser::parseBody(beast::flat_buffer& buffer)
{
    while (!m_parser.is_done()) {
        if (buffer.size() == 0)
            return RequestProgress::Incomplete;
        if (auto error = put(buffer))
            return progressOf(error);
    }
    return RequestProgress::Complete;
}

// A trailer that the parser can't hold is found by its exception only.
beast::error_code RequestParser::put(beast::flat_buffer& buffer)
{
    beast::error_code error;
    try {
        buffer.consume(m_parser.put(buffer.data(), error));
    } catch (const std::length_error&) {
        return http::error::header_limit;
    }
    return error;
}

HttpRequest RequestParser::takeRequest()
{
    m_request.body = std::move(m_parser.get().body());
    return std::move(m_request);
}

} // namespace dragonflylane
