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

/// Empty unless the number is finite and zero or more.
std::optional<RequestRate> toRequestRate(double perSecond);

/// For logs: the number, or "none".
std::string toText(const std::optional<RequestRate>&);

} // namespace dragonflylane
