#pragma once

// Ranges of HTTP status codes. A parser accepts any three digits, but RFC 9110 (section 15) defines 100 to 599 only.

namespace dragonflylane {

inline constexpr unsigned firstInterimStatus = 100;
inline constexpr unsigned firstFinalStatus = 200;
inline constexpr unsigned lastFinalStatus = 599;
inline constexpr unsigned statusSwitchingProtocols = 101;

/// True for 100 to 199 without 101, which ends HTTP on the connection.
constexpr bool isInterimStatus(unsigned status)
{
    return status >= firstInterimStatus && status < firstFinalStatus && status != statusSwitchingProtocols;
}

/// True for the status of a response that ends a request: 200 to 599.
constexpr bool isFinalStatus(unsigned status)
{
    return status >= firstFinalStatus && status <= lastFinalStatus;
}

} // namespace dragonflylane
