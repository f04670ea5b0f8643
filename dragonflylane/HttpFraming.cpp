#include "dragonflylane/HttpFraming.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace dragonflylane {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr std::string_view lineEnd = "\r\n";

    bool isForbidden(char c)
    {
        constexpr char del = 0x7f;
        auto byte = static_cast<unsigned char>(c);
        return (byte < ' ' && c != '\t' && c != '\r' && c != '\n') || c == del;
    }

    HeadVerdict checkField(std::string_view line)
    {
        bool isFolded = line.front() == ' ' || line.front() == '\t';
        if (isFolded)
            return HeadVerdict::Malformed;
        return line.size() > maxFieldBytes ? HeadVerdict::FieldTooLong : HeadVerdict::Valid;
    }

    bool isDigit(char c)
    {
        return c >= '0' && c <= '9';
    }

} // namespace

// A carriage return at the end may be followed by its line feed in the next read, so the byte before `from` is checked
// once more.
bool hasForbiddenBytes(std::string_view head, size_t from)
{
    for (size_t i = from > 0 ? from - 1 : 0; i < head.size(); ++i) {
        bool isLoneLineFeed = head[i] == '\n' && (i == 0 || head[i - 1] != '\r');
        bool isLoneReturn = head[i] == '\r' && i + 1 < head.size() && head[i + 1] != '\n';
        if (isLoneLineFeed || isLoneReturn || isForbidden(head[i]))
            return true;
    }
    return false;
}

HeadVerdict checkFields(std::string_view head)
{
    size_t start = head.find(lineEnd) + lineEnd.size();
    while (start < head.size() && !head.substr(start).starts_with(lineEnd)) {
        std::string_view line = head.substr(start, head.find(lineEnd, start) - start);
        HeadVerdict verdict = checkField(line);
        if (verdict != HeadVerdict::Valid)
            return verdict;
        start += line.size() + lineEnd.size();
    }
    return HeadVerdict::Valid;
}

bool isLengthUnambiguous(const http::fields& fields, unsigned version)
{
    constexpr unsigned http11 = 11;
    size_t lengths = fields.count(http::field::content_length);
    size_t codings = fields.count(http::field::transfer_encoding);
    if (lengths + codings == 0)
        return true;
    if (lengths + codings > 1)
        return false;
    if (codings == 1)
        return version >= http11 && beast::iequals(fields[http::field::transfer_encoding], "chunked");
    auto length = fields[http::field::content_length];
    return !length.empty() && std::all_of(length.begin(), length.end(), isDigit);
}

} // namespace dragonflylane
