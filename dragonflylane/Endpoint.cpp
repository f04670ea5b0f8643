#include "dragonflylane/Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace dragonflylane {

namespace {

    bool isNumericAddress(const std::string& address)
    {
        in6_addr buffer {};
        return inet_pton(AF_INET, address.c_str(), &buffer) == 1 || inet_pton(AF_INET6, address.c_str(), &buffer) == 1;
    }

} // namespace

std::string Endpoint::toString() const
{
    bool isV6 = address.find(':') != std::string::npos;
    return (isV6 ? "[" + address + "]" : address) + ":" + std::to_string(port);
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    std::string_view portText = text.substr(colon + 1);
    bool isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    if (!isBracketed && host.find(':') != std::string_view::npos)
        return std::nullopt;

    Endpoint endpoint { .address = std::string(host) };
    auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), endpoint.port);
    if (error != std::errc() || end != portText.data() + portText.size())
        return std::nullopt;
    if (!isNumericAddress(endpoint.address))
        return std::nullopt;
    return endpoint;
}

} // namespace dragonflylane
