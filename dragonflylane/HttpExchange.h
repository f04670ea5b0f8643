#pragma once

// One HTTP request from a caller together with its response callback.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/CallCredentials.h"
#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"

#include <functional>
#include <optional>

namespace dragonflylane {

/// Where a call entered the mesh.
struct CallOrigin {
    /// Service on the host where the call entered the mesh; empty if callers state their service in a header.
    ServiceName service;
    CallCredentials credentials {};
};

/// Sends at most one response. The handler may keep the exchange and respond later; a response after the caller has
/// disconnected is dropped.
class HttpExchange {
public:
    using Responder = std::function<void(HttpResponse)>;

    HttpExchange(HttpRequest request, TimePoint received, Responder responder)
        : m_request(std::move(request))
        , m_received(received)
        , m_responder(std::move(responder))
    {
    }

    const HttpRequest& request() const { return m_request; }
    HttpRequest& request() { return m_request; }
    TimePoint received() const { return m_received; }

    /// Origin stated by the daemon that transferred the call to this one.
    const std::optional<CallOrigin>& origin() const { return m_origin; }
    void setOrigin(CallOrigin origin) { m_origin = std::move(origin); }

    void respond(HttpResponse response)
    {
        if (!m_responder)
            return;
        Responder responder = std::move(m_responder);
        m_responder = nullptr;
        responder(std::move(response));
    }

    /// Sets a hook that runs if the caller closes its connection before the response.
    void setCancelHook(std::function<void()> hook) { m_cancelHook = std::move(hook); }

    void cancel()
    {
        m_responder = nullptr;
        if (!m_cancelHook)
            return;
        auto hook = std::move(m_cancelHook);
        m_cancelHook = nullptr;
        hook();
    }

private:
    HttpRequest m_request;
    TimePoint m_received;
    Responder m_responder;
    std::function<void()> m_cancelHook;
    std::optional<CallOrigin> m_origin;
};

} // namespace dragonflylane
