#pragma once

#include <compare>
#include <optional>
#include <string>

namespace dragonflylane {

/// Requests per second; zero or more, finite.
struct RequestRate {
    double perSecond { 0 };

    auto operator<=>(const RequestRate&) const = default;
};

/// For logs: the number, or "none".
std::string toText(const std::optional<RequestRate>&);

} // namespace dragonflylane
