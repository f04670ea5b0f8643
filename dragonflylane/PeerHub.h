#pragma once

// Connections between daemons: connects, authenticates with the shared secret, sends heartbeats, and transports frames.
//
//     hub.subscribe(FrameKind::Log, [&](const PeerFrame& frame) { ... });
//     hub.setAddress(HostId("b"), endpoint);
//     hub.sendToHost(HostId("b"), FrameKind::Log, payload);
//
// Each connection has a LinkId that is never reused, so a response to a request of an earlier connection cannot be
// mistaken for a response on the current one.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/Frame.h"
#include "dragonflylane/Ids.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

class LinkPacer;
class MeshSecret;
class BodyBudget;
class Metrics;

/// Identifies one connection between two daemons. Local to this process and never reused.
using LinkId = StrongNumber<struct LinkIdTag>;

/// A received frame; valid only during the call of the handler.
struct PeerFrame {
    LinkId link;
    HostId from;
    FrameKind kind;
    std::string_view payload;
};

struct PeerHubOptions {
    std::string meshId;
    HostId self;
    Endpoint listen;
    /// A link with a call in flight is probed after this long without a frame, see LinkLiveness.
    Duration heartbeatInterval { std::chrono::milliseconds(500) };
    /// The same for a link without a call in flight.
    Duration idleHeartbeatInterval { std::chrono::seconds(2) };
    /// A link with a call in flight is closed after this long without a frame, since a network partition may drop
    /// packets without a reset.
    Duration peerTimeout { std::chrono::seconds(2) };
    Duration connectTimeout { std::chrono::seconds(1) };
    /// Limit on the duration of the handshake. The kernel accepts connections on behalf of a stopped process, which
    /// then never sends its Hello. The default exceeds two round trips between regions.
    Duration handshakeTimeout { std::chrono::milliseconds(500) };
    /// If more bytes than this wait to be sent to a peer that reads too slowly, its link is closed.
    size_t maxQueuedBytes { 32 << 20 };
    size_t maxLinks { 1024 };
    /// Rate of this host's network link; zero: unknown, writes are not paced.
    uint64_t linkBytesPerSecond { 0 };
    /// Memory limit shared by all bodies of this process. Here it counts queued frames and incomplete received frames.
    BodyBudget* bodies { nullptr };
};

/// Owns all connections to other daemons. Not thread-safe.
class PeerHub {
public:
    using FrameHandler = std::function<void(const PeerFrame&)>;
    using LinkDownHandler = std::function<void(LinkId, const HostId&)>;
    using LinkHandler = std::function<void(std::error_code, LinkId)>;

    PeerHub(boost::asio::io_context&, PeerHubOptions, const MeshSecret&, Metrics&);
    ~PeerHub();
    PeerHub(const PeerHub&) = delete;
    PeerHub& operator=(const PeerHub&) = delete;

    /// Opens the listener. Errors: ListenFailed.
    std::error_code start();
    /// The bound port, which the kernel chooses if the options name port zero; zero before start().
    uint16_t port() const;
    /// Pacer of the writes to this host's network link.
    const LinkPacer& pacer() const;
    /// Closes the listener; links stay open.
    void stopListening();
    void closeAll();

    void subscribe(FrameKind, FrameHandler);
    void subscribeLinkDown(LinkDownHandler);

    void setAddress(const HostId&, const Endpoint&);

    /// Calls the handler with an established link: immediately if there is one, otherwise after connecting. Errors:
    /// OwnerUnreachable.
    void withLink(const HostId&, LinkHandler);
    /// Returns false if the link is closed; then nothing was sent.
    bool send(LinkId, FrameKind, std::string_view payload);
    /// Best effort: connects if needed and drops the frame if that fails.
    void sendToHost(const HostId&, FrameKind, std::string payload);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dragonflylane
