#pragma once

// Rules about where an HTTP/1.1 message ends, stricter than those of the parser. What two readers might understand
// differently is refused, since one of them could take a part of a body for another message (RFC 9112, 5 to 7
// and 11.2).

#include <boost/beast/http/fields.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dragonflylane {

/// Longest name and longest value of a field that the parser can hold, in bytes.
inline constexpr size_t maxFieldBytes = 65'533;

/// Highest limit on the header of a request that protects the memory of a host.
inline constexpr uint32_t maxHeadBytes = 1 << 20;

enum class HeadVerdict : uint8_t {
    Valid,
    /// A folded line.
    Malformed,
    /// A field exceeds maxFieldBytes.
    FieldTooLong,
};

/// Checks the bytes of a head as far as they have arrived. Those before `from` have been checked already. True if the
/// head holds a line end other than CRLF or a control character.
bool hasForbiddenBytes(std::string_view head, size_t from);

/// Checks the lines of a whole head, up to and including the empty line.
HeadVerdict checkFields(std::string_view head);

/// True if the fields state the length of the body in one way only: by one Content-Length of digits, by chunked as the
/// only transfer coding (not under HTTP/1.0), or not at all. `version` is 10 or 11.
bool isLengthUnambiguous(const boost::beast::http::fields&, unsigned version);

} // namespace dragonflylane
