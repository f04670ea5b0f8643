#pragma once

// An IP address and port, as text in settings and records ("10.0.0.7:7000", "[::1]:7000").

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflylane {

/// Network address of a listener.
struct Endpoint {
    std::string address;
    uint16_t port { 0 };

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    auto operator<=>(const Endpoint&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const Endpoint&) const = default;

    bool isSet() const { return port != 0; }
    /// Reachable only from the same host.
    bool isLoopback() const { return address.starts_with("127.") || address == "::1"; }
    std::string toString() const;

    /// Accepts only numeric addresses, since the system never depends on name resolution.
    static std::optional<Endpoint> parse(std::string_view text);
};

} // namespace dragonflylane
