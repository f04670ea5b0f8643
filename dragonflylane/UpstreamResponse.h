#pragma once

// Decides whether a response that was read from an upstream's connection is the answer to the request that was sent on
// it. No I/O: UpstreamClient reads the response, and the fuzzer passes in arbitrary bytes.

#include "dragonflylane/HttpMessage.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

namespace dragonflylane {

/// What is known of the request and its connection.
struct ResponseContext {
    /// Request header that the upstream copies to its response; empty: none.
    std::string_view echoedHeader;
    /// Value of that header in the request; empty: not checked.
    std::string_view expectedValue;
    bool isHead { false };
    /// The connection has carried an earlier request.
    bool isReused { false };
    /// See UpstreamClientOptions::acceptsCloseDelimited.
    bool acceptsCloseDelimited { false };
};

enum class ResponseVerdict : uint8_t {
    /// The whole final response to the request.
    Answer,
    /// An interim response or one to an earlier request. The answer may follow.
    Skip,
    /// No answer to any request. The request may have run.
    Malformed,
};

using UpstreamMessage = boost::beast::http::response<boost::beast::http::string_body>;

ResponseVerdict judgeResponse(const UpstreamMessage&, const ResponseContext&);

/// True if the end of the response can be told from a connection that breaks off in the middle of it.
bool isDelimited(const UpstreamMessage&, const ResponseContext&);

/// True for status 200 to 299.
bool isSuccess(const UpstreamMessage&);

/// Moves status, headers and body out of the message.
HttpResponse takeResponse(UpstreamMessage&);

} // namespace dragonflylane
