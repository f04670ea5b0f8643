#pragma once

// One TCP connection between two daemons, from handshake to close.
//
// Both sides send Hello with a nonce, and answer the peer's Hello with a proof over both nonces. Other frames are sent
// and accepted only after the peer's proof has been verified, so a frame for a link that was never established has
// certainly not reached the peer.

#include "dragonflylane/BodyBudget.h"
#include "dragonflylane/BootClock.h"
#include "dragonflylane/Frame.h"
#include "dragonflylane/FrameQueue.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/LinkLiveness.h"
#include "dragonflylane/LinkPacer.h"
#include "dragonflylane/PeerHub.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

namespace dragonflylane {

/// One connection. PeerHub holds a shared pointer to it, and so do pending asynchronous operations.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
public:
    struct Hooks {
        std::function<void(PeerLink&)> established;
        std::function<void(PeerLink&, const FrameView&)> frame;
        /// Called exactly once, with the reason.
        std::function<void(PeerLink&, std::error_code)> closed;
        /// Called when frames of this link wait for the pacer. The owner then calls resume() in this link's turn.
        std::function<void(PeerLink&)> paced;
    };

    PeerLink(boost::asio::ip::tcp::socket, LinkId, const PeerHubOptions&, const MeshSecret&, LinkPacer&, Hooks);

    /// Starts the handshake on a connected socket.
    void start(TimePoint now);
    void send(FrameKind, std::string_view payload);
    void close(std::error_code reason);
    /// Writes frames that wait for the pacer, if it permits.
    void resume();
    /// Probes a peer that has sent nothing for a while, and closes the link if the peer does not respond.
    void tick(TimePoint now);

    LinkId id() const { return m_id; }
    const HostId& peer() const { return m_peer; }
    bool isEstablished() const { return m_isEstablished; }
    bool isClosed() const { return m_isClosed; }
    bool hasSmallAnswers() const { return m_queue.hasSmall(); }

private:
    /// What was last reported to Hooks::paced since the last resume().
    enum class Paced : uint8_t {
        No,
        Bulk,
        Small,
    };

    void read();
    void handleInput(size_t bytes);
    std::error_code handle(const FrameView&);
    std::error_code handleSegment(std::string_view payload);
    std::error_code handleHello(std::string_view payload);
    std::error_code handleProof(std::string_view payload);
    void enqueue(FrameKind, std::string_view payload);
    /// Writes queued frames unless a write is in progress.
    void writeQueued();
    void write();
    template <typename Change> void changeQueue(const Change&);
    std::string transcript(const std::string& prover, const std::string& challenge, const std::string& ownNonce) const;

    boost::asio::ip::tcp::socket m_socket;
    LinkId m_id;
    const PeerHubOptions& m_options;
    const MeshSecret& m_secret;
    LinkPacer& m_pacer;
    Hooks m_hooks;

    HostId m_peer;
    std::string m_ownNonce;
    std::string m_peerNonce;
    bool m_isEstablished { false };
    bool m_isClosed { false };
    Paced m_paced { Paced::No };

    std::string m_input;
    size_t m_readBytes;
    FrameReassembler m_reassembler;
    /// Parts of the body budget that incomplete received frames and queued frames use.
    BodyReservation m_assemblyReservation;
    BodyReservation m_queueReservation;
    FrameQueue m_queue;
    std::vector<std::string> m_writing;
    size_t m_writingBytes { 0 };
    LinkLiveness m_liveness;
};

} // namespace dragonflylane
