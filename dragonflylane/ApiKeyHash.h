#pragma once

// SHA-256 hash of an API key. Daemons store and compare only hashes, so that neither a dump of the configuration nor
// the time of a comparison tells anything about a key.

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflylane {

class ApiKeyHash {
public:
    static constexpr size_t length = 32;

    ApiKeyHash() = default;
    static ApiKeyHash of(std::string_view key);
    /// Empty unless there are exactly `length` bytes.
    static std::optional<ApiKeyHash> fromBytes(std::string_view);

    std::string bytes() const { return { m_bytes.begin(), m_bytes.end() }; }

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    auto operator<=>(const ApiKeyHash&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const ApiKeyHash&) const = default;

private:
    std::array<char, length> m_bytes {};
};

} // namespace dragonflylane

template <> struct std::hash<dragonflylane::ApiKeyHash> {
    size_t operator()(const dragonflylane::ApiKeyHash& hash) const noexcept
    {
        return std::hash<std::string> {}(hash.bytes());
    }
};
