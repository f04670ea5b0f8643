#include "dragonflylane/HttpMessage.h"

#include <algorithm>
#include <array>

namespace dragonflylane {

namespace {

    char toLowerAscii(char c)
    {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    }

    std::string_view findHeader(const std::vector<HttpHeader>& headers, std::string_view name)
    {
        for (const HttpHeader& header : headers) {
            if (equalsIgnoringCase(header.name, name))
                return header.value;
        }
        return {};
    }

} // namespace

std::string_view HttpRequest::header(std::string_view name) const
{
    return findHeader(headers, name);
}

std::string_view HttpResponse::header(std::string_view name) const
{
    return findHeader(headers, name);
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) { return toLowerAscii(x) == toLowerAscii(y); });
}

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array names { "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
        "trailer", "transfer-encoding", "upgrade", "content-length" };
    return std::any_of(names.begin(), names.end(), [&](const char* known) { return equalsIgnoringCase(name, known); });
}

} // namespace dragonflylane
