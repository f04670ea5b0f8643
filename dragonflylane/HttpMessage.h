#pragma once

// HTTP requests and responses as plain values, so that code that makes decisions does not depend on an HTTP library.

#include <string>
#include <string_view>
#include <vector>

namespace dragonflylane {

/// One header field.
struct HttpHeader {
    std::string name;
    std::string value;
};

/// A complete HTTP request.
struct HttpRequest {
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    /// Returns the value of the first field with this name (case-insensitive), or an empty string if absent.
    std::string_view header(std::string_view name) const;
};

/// A complete HTTP response.
struct HttpResponse {
    unsigned status { 200 };
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

/// Compares two strings, ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view, std::string_view);

/// True for hop-by-hop fields, which apply to one connection and are not forwarded (RFC 9110, section 7.6.1).
bool isHopByHopHeader(std::string_view name);

} // namespace dragonflylane
