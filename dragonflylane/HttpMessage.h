#pragma once

// HTTP requests and answers as plain values, so that decision code needs no HTTP library.

#include <string>
#include <string_view>
#include <vector>

namespace dragonflylane {

/// One header field.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// A whole HTTP request.
struct HttpRequest {
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    /// Value of the first field with this name, compared without case; empty if absent.
    std::string_view header(std::string_view name) const;
};

/// A whole HTTP answer.
struct HttpResponse {
    unsigned status { 200 };
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

/// Compares two ASCII strings without case.
bool equalsIgnoringCase(std::string_view, std::string_view);

/// True for fields that concern one connection only and are not forwarded (RFC 9110, section 7.6.1).
bool isHopByHopHeader(std::string_view name);

} // namespace dragonflylane
