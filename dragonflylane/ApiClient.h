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
    /// Asked in this order until one answers.
    std::vector<Endpoint> servers;
    /// Operator token; empty on loopback without operators.
    std::string token;
    Duration timeout { std::chrono::seconds(10) };
};

/// Sends one request a connection.
class ApiClient {
public:
    explicit ApiClient(ApiClientOptions options)
        : m_options(std::move(options))
    {
    }

    /// Asks the servers one after another. OutcomeUncertain if none answered.
    std::error_code send(const HttpRequest&, HttpResponse&) const;
    /// Asks one server. PeerClosed if the connection failed, PeerTimeout if no answer came in time.
    static std::error_code sendTo(const Endpoint&, const HttpRequest&, Duration timeout, HttpResponse&);

private:
    ApiClientOptions m_options;
};

} // namespace dragonflylane
