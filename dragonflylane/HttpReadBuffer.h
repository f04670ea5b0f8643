#pragma once

#include <cstddef>

namespace dragonflylane {

/// Bytes of an HTTP message that may be read before the parser consumes them, in addition to the header. The parser
/// consumes body bytes at once, but keeps an incomplete line of the chunked encoding, which a faulty sender may never
/// end.
inline constexpr size_t maxReadAheadBytes = 64 << 10;

} // namespace dragonflylane
