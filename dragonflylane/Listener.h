#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <system_error>

namespace dragonflylane {

struct Endpoint;

/// Opens, binds and starts a TCP listener; port is the bound one, which differs from the endpoint's if that is zero.
/// Errors: ListenFailed.
std::error_code openListener(boost::asio::ip::tcp::acceptor&, const Endpoint&, uint16_t& port);

} // namespace dragonflylane
