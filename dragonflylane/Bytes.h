#pragma once

// Byte encoding of integers and strings, for hash inputs and file records.

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflylane {

/// Appends the lowest `bytes` bytes of the value in little-endian order.
inline void appendNumber(std::string& out, uint64_t value, size_t bytes = sizeof(uint64_t))
{
    constexpr unsigned byteBits = 8;
    for (size_t i = 0; i < bytes; ++i)
        out.push_back(static_cast<char>(value >> (byteBits * i)));
}

/// Appends the text with its length as prefix, so that different sequences of texts never encode to equal bytes.
inline void appendText(std::string& out, std::string_view text)
{
    appendNumber(out, text.size());
    out.append(text);
}

} // namespace dragonflylane
