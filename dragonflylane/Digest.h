#pragma once

// Commutative 128-bit digest of a set of (key, value) items. Adding or removing an item costs O(size of the item), so
// the digest of a large state is updated in time proportional to the size of a delta.

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflylane {

/// Digest of a set of items; zero for the empty set. Detects accidental differences, but is not cryptographic.
class Digest {
public:
    constexpr Digest() = default;
    constexpr Digest(uint64_t high, uint64_t low)
        : m_high(high)
        , m_low(low)
    {
    }

    void add(std::string_view key, std::string_view value);
    void remove(std::string_view key, std::string_view value);

    uint64_t high() const { return m_high; }
    uint64_t low() const { return m_low; }
    /// Text of 32 hexadecimal digits.
    std::string toString() const;

    auto operator<=>(const Digest&) const = default;
    bool operator==(const Digest&) const = default;

private:
    uint64_t m_high { 0 };
    uint64_t m_low { 0 };
};

/// 64-bit hash (XXH3) of a byte string; the same on all hosts.
uint64_t stableHash(std::string_view bytes, uint64_t seed = 0);

} // namespace dragonflylane
