#pragma once

// Connections between daemons: dials, greets, checks the shared secret, keeps heartbeats, and carries frames.
//
//     hub.subscribe(FrameKind::Log, [&](const PeerFrame& frame) { ... });
//     hub.setAddress(HostId("b"), endpoint);
//     hub.sendToHost(HostId("b"), FrameKind::Log, payload);
//
// Each connection has a LinkId that is never used again, so an answer that arrives for a request of an earlier
// connection cannot be mistaken for an answer of the present one.

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

/// Incarnation of one connection between two daemons.
using LinkId = StrongNumber<struct LinkIdTag>;

/// A frame that arrived, valid during the call.
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
    /// The same for a link without one.
    Duration restingHeartbeatInterval { std::chrono::seconds(2) };
    /// A link with a call in flight is closed after this long without a frame: a silent partition sends no reset.
    Duration peerTimeout { std::chrono::seconds(2) };
    Duration connectTimeout { std::chrono::seconds(1) };
    /// A stopped process still accepts connections in its kernel, but never greets. Above two round trips between
    /// regions.
    Duration greetingTimeout { std::chrono::milliseconds(500) };
    /// A peer that reads too slowly loses its link instead of filling our memory.
    size_t maxQueuedBytes { 32 << 20 };
    size_t maxLinks { 1024 };
    /// Rate of the network link of this host; zero: not known.
    uint64_t linkBytesPerSecond { 0 };
    /// Shared with all other holders of bodies: frames that wait to be sent, and those that are incomplete.
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
    /// What waits for the network link of this host.
    const LinkPacer& pacer() const;
    /// Closes the listener; links stay.
    void stopListening();
    void closeAll();

    void subscribe(FrameKind, FrameHandler);
    void subscribeLinkDown(LinkDownHandler);

    void setAddress(const HostId&, const Endpoint&);

    /// Calls back with an established link, at once if there is one. Errors: OwnerUnreachable.
    void withLink(const HostId&, LinkHandler);
    /// Returns false if the link is gone; then nothing was sent.
    bool send(LinkId, FrameKind, std::string_view payload);
    /// Best effort: dials if needed; the frame is dropped if that fails.
    void sendToHost(const HostId&, FrameKind, std::string payload);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace dragonflylane
