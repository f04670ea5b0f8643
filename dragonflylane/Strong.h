#pragma once

// Strongly typed identifiers: a ServiceName cannot be passed where an UpstreamId is expected.
//
//     using ServiceName = StrongString<struct ServiceNameTag>;
//     ServiceName name("orders");
//     name.value();

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace dragonflylane {

/// A string identifier of one kind. Ordered and hashable.
template <typename Tag> class StrongString {
public:
    StrongString() = default;
    explicit StrongString(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool isEmpty() const { return m_value.empty(); }

    // clang-tidy 14 reports the literal zero of the rewritten comparison as a null pointer.
    auto operator<=>(const StrongString&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const StrongString&) const = default;

private:
    std::string m_value;
};

/// A 64-bit number of one kind, such as a counter. Ordered and hashable.
template <typename Tag> class StrongNumber {
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(uint64_t value)
        : m_value(value)
    {
    }

    constexpr uint64_t value() const { return m_value; }
    constexpr StrongNumber next() const { return StrongNumber(m_value + 1); }

    // clang-tidy 14 reports the literal zero of the rewritten comparison as a null pointer.
    constexpr auto operator<=>(const StrongNumber&) const = default; // NOLINT(modernize-use-nullptr)
    constexpr bool operator==(const StrongNumber&) const = default;

private:
    uint64_t m_value { 0 };
};

} // namespace dragonflylane

template <typename Tag> struct std::hash<dragonflylane::StrongString<Tag>> {
    size_t operator()(const dragonflylane::StrongString<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};

template <typename Tag> struct std::hash<dragonflylane::StrongNumber<Tag>> {
    size_t operator()(const dragonflylane::StrongNumber<Tag>& id) const noexcept
    {
        return std::hash<uint64_t> {}(id.value());
    }
};
