#pragma once

#include <compare>

namespace dragonflylane {

/// Requests per second; zero or more, finite.
struct RequestRate {
    double perSecond { 0 };

    auto operator<=>(const RequestRate&) const = default;
};

} // namespace dragonflylane
