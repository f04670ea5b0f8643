#pragma once

// Plain byte encoding of numbers and texts, for hashes and file records.

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflylane {

/// Little endian.
inline void appendNumber(std::string& out, uint64_t value, size_t bytes = sizeof(uint64_t))
{
    constexpr unsigned byteBits = 8;
    for (size_t i = 0; i < bytes; ++i)
        out.push_back(static_cast<char>(value >> (byteBits * i)));
}

/// The length before the text, so that no two sequences of texts have equal bytes.
inline void appendText(std::string& out, std::string_view text)
{
    appendNumber(out, text.size());
    out.append(text);
}

} // namespace dragonflylane
