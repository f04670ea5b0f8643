#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <system_error>

namespace dragonflylane {

struct Endpoint;

/// Opens, binds and starts a TCP listener. Sets `port` to the bound port, which the kernel chooses if the endpoint's
/// port is zero. Returns ListenFailed on any error.
std::error_code openListener(boost::asio::ip::tcp::acceptor&, const Endpoint&, uint16_t& port);

} // namespace dragonflylane
