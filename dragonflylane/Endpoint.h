#pragma once

// IP address and port, written as "10.0.0.7:7000" or "[::1]:7000" in settings and records.

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

    // clang-tidy 14 reports the literal zero of the rewritten comparison as a null pointer.
    auto operator<=>(const Endpoint&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const Endpoint&) const = default;

    bool isSet() const { return port != 0; }
    /// Reachable only from the same host.
    bool isLoopback() const { return address.starts_with("127.") || address == "::1"; }
    std::string toString() const;

    /// Accepts only numeric addresses, because the mesh must not depend on name resolution.
    static std::optional<Endpoint> parse(std::string_view text);
};

} // namespace dragonflylane
