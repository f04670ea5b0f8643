#include "dragonflylane/Listener.h"

#include "dragonflylane/Endpoint.h"
#include "dragonflylane/ResultCode.h"

namespace dragonflylane {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::error_code openListener(tcp::acceptor& acceptor, const Endpoint& address, uint16_t& port)
{
    tcp::endpoint endpoint(asio::ip::make_address(address.address), address.port);
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return ResultCode::ListenFailed;
    port = acceptor.local_endpoint(error).port();
    return {};
}

} // namespace dragonflylane
