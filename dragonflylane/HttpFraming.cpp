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

    // A carriage return at the end may be followed by its line feed in the next read.
    bool hasLoneLineEnd(std::string_view head)
    {
        for (size_t i = 0; i < head.size(); ++i) {
            if (head[i] == '\n' && (i == 0 || head[i - 1] != '\r'))
                return true;
            if (head[i] == '\r' && i + 1 < head.size() && head[i + 1] != '\n')
                return true;
        }
        return false;
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

HeadVerdict checkHead(std::string_view head)
{
    if (std::any_of(head.begin(), head.end(), isForbidden) || hasLoneLineEnd(head))
        return HeadVerdict::Malformed;
    size_t end = head.find(lineEnd);
    while (end != std::string_view::npos) {
        std::string_view rest = head.substr(end + lineEnd.size());
        if (rest.empty() || rest.starts_with(lineEnd))
            break;
        size_t length = rest.find(lineEnd);
        HeadVerdict verdict = checkField(rest.substr(0, length));
        if (verdict != HeadVerdict::Valid)
            return verdict;
        end = length == std::string_view::npos ? length : end + lineEnd.size() + length;
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
