#pragma once

// Blocking HTTP client of the command-line tool and of the test programs.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/HttpMessage.h"

#include <string>
#include <system_error>
#include <vector>

namespace dragonflylane {

struct ApiClientOptions {
    /// Tried in this order until one responds.
    std::vector<Endpoint> servers;
    /// Operator token; may be empty on loopback if no operators are configured.
    std::string token;
    Duration timeout { std::chrono::seconds(10) };
};

/// Opens a new connection for each request.
class ApiClient {
public:
    explicit ApiClient(ApiClientOptions options)
        : m_options(std::move(options))
    {
    }

    /// Tries the servers in order. Returns OutcomeUncertain if none responded.
    std::error_code send(const HttpRequest&, HttpResponse&) const;
    /// Sends to one server. Returns PeerClosed if the connection failed, PeerTimeout if no response came in time, and
    /// MalformedAnswer if its status is not that of a final response.
    static std::error_code sendTo(const Endpoint&, const HttpRequest&, Duration timeout, HttpResponse&);

private:
    ApiClientOptions m_options;
};

} // namespace dragonflylane
