#pragma once

// Blocking HTTP/1.1 client on plain sockets that tells apart where a request failed. The demo needs to know whether a
// connection was refused before any byte was sent, which ApiClient does not say.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/HttpMessage.h"

namespace dragonflylane {

enum class ExchangeEnd {
    /// A whole answer with as many bytes as announced.
    Answered,
    /// No connection, so the server received nothing.
    NotConnected,
    /// The connection ended before the whole answer.
    Closed,
    TimedOut,
};

/// Sends one request on a new connection.
ExchangeEnd exchangePlain(const Endpoint&, const HttpRequest&, Duration timeout, HttpResponse&);

} // namespace dragonflylane
