#pragma once

// Reads one request of a caller from a buffer. No I/O: HttpSession reads the bytes, and the fuzzer passes in arbitrary
// ones. Refuses what isn't clear about the end of the request, see HttpFraming.h.
//
//     RequestParser parser({ .maxHeaderBytes = ..., .maxBodyBytes = ... });
//     while (parser.parse(buffer) == RequestProgress::Incomplete)
//         ... // read more into the buffer
//     HttpRequest request = parser.takeRequest();

#include "dragonflylane/HttpMessage.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>

namespace dragonflylane {

struct RequestParserOptions {
    uint32_t maxHeaderBytes { 16 << 10 };
    uint64_t maxBodyBytes { 1 << 20 };
};

enum class RequestProgress : uint8_t {
    Incomplete,
    Complete,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

class RequestParser {
public:
    explicit RequestParser(RequestParserOptions);

    /// Parses and consumes as much of the buffer as belongs to the request. Throws nothing.
    RequestProgress parse(boost::beast::flat_buffer&);
    bool hasHead() const { return m_hasHead; }
    /// Length of the body as the head states it; zero if it doesn't.
    uint64_t statedBodyBytes() const { return m_parser.content_length().value_or(0); }
    size_t bodyBytes() const { return m_parser.get().body().size(); }

    /// The following may be called once the request is complete.
    unsigned version() const { return m_parser.get().version(); }
    bool keepAlive() const { return m_parser.keep_alive(); }
    bool isHead() const { return m_parser.get().method() == boost::beast::http::verb::head; }
    /// Fields that concern only this connection are left out.
    HttpRequest takeRequest();

private:
    RequestProgress parseHead(boost::beast::flat_buffer&);
    RequestProgress parseBody(boost::beast::flat_buffer&);
    boost::beast::error_code put(boost::beast::flat_buffer&);

    boost::beast::http::request_parser<boost::beast::http::string_body> m_parser;
    const RequestParserOptions m_options;
    /// Method, target and fields of the head. The parser adds trailers to its own fields later.
    HttpRequest m_request;
    /// Bytes of an incomplete head that have been checked.
    size_t m_checkedBytes { 0 };
    bool m_hasHead { false };
};

} // namespace dragonflylane
