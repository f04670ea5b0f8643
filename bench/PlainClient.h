#pragma once

// Blocking HTTP/1.1 client on plain sockets that reports at which stage a request failed. The demo must distinguish a
// refused connection, where no byte was sent, from later failures; ApiClient does not report the difference.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/HttpMessage.h"

namespace dragonflylane {

enum class ExchangeResult {
    /// A complete response with the announced content length.
    Completed,
    /// The connection failed, so the server received nothing.
    NotConnected,
    /// The connection was closed before the response was complete.
    Closed,
    TimedOut,
};

/// Sends one request on a new connection and waits for the response. The timeout applies to each socket operation.
ExchangeResult sendPlainRequest(const Endpoint&, const HttpRequest&, Duration timeout, HttpResponse&);

} // namespace dragonflylane
