#include "dragonflylane/PeerLink.h"

#include "dragonflylane/MeshSecret.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/Wire.h"
#include "gen-cpp/peer_types.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace dragonflylane {

namespace asio = boost::asio;

namespace {

    // Size of one read. Small at first, so that the many idle links of a daemon need only a few MB together. Doubled
    // while reads fill the buffer.
    constexpr size_t minReadBytes = 2 << 10;
    constexpr size_t maxReadBytes = 64 << 10;

    LinkLivenessOptions livenessOptions(const PeerHubOptions& options)
    {
        return { .busyInterval = options.heartbeatInterval,
            .idleInterval = options.idleHeartbeatInterval,
            .probeTimeout = options.peerTimeout - options.heartbeatInterval };
    }

} // namespace

PeerLink::PeerLink(asio::ip::tcp::socket socket, LinkId id, const PeerHubOptions& options, const MeshSecret& secret,
    LinkPacer& pacer, Hooks hooks)
    : m_socket(std::move(socket))
    , m_id(id)
    , m_options(options)
    , m_secret(secret)
    , m_pacer(pacer)
    , m_hooks(std::move(hooks))
    , m_ownNonce(MeshSecret::makeNonce())
    , m_readBytes(minReadBytes)
    , m_assemblyReservation(options.bodies)
    , m_queueReservation(options.bodies)
    , m_liveness(livenessOptions(options), BootClock::now())
{
}

void PeerLink::start(TimePoint now)
{
    boost::system::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_liveness.bytesReceived(now);
    wire::Hello hello;
    hello.meshId = m_options.meshId;
    hello.hostId = m_options.self.value();
    hello.nonce = m_ownNonce;
    enqueue(FrameKind::Hello, encodeThrift(hello));
    read();
}

void PeerLink::send(FrameKind kind, std::string_view payload)
{
    if (!m_isClosed)
        enqueue(kind, payload);
}

void PeerLink::close(std::error_code reason)
{
    if (m_isClosed)
        return;
    // Keeps this object alive: the hook releases the hub's reference.
    auto self = shared_from_this();
    m_isClosed = true;
    m_pacer.queueChanged(
        -static_cast<std::ptrdiff_t>(m_queue.bytes()), -static_cast<std::ptrdiff_t>(m_queue.smallBytes()));
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_hooks.closed(*this, reason);
}

void PeerLink::tick(TimePoint now)
{
    if (!m_isEstablished) {
        if (now - m_liveness.lastReceivedAt() > m_options.handshakeTimeout)
            close(ResultCode::PeerTimeout);
        return;
    }
    LinkLiveness::Action action = m_liveness.check(now);
    if (action == LinkLiveness::Action::Close)
        return close(ResultCode::PeerTimeout);
    if (action == LinkLiveness::Action::Probe)
        enqueue(FrameKind::Probe, {});
}

void PeerLink::read()
{
    size_t used = m_input.size();
    m_input.resize(used + m_readBytes);
    m_socket.async_read_some(asio::buffer(m_input.data() + used, m_readBytes),
        [self = shared_from_this(), used](boost::system::error_code error, size_t bytes) {
            self->m_input.resize(used + bytes);
            if (self->m_isClosed)
                return;
            if (error)
                return self->close(ResultCode::PeerClosed);
            self->handleInput(bytes);
        });
}

void PeerLink::handleInput(size_t bytes)
{
    m_liveness.bytesReceived(BootClock::now());
    m_readBytes = bytes == m_readBytes ? std::min(m_readBytes * 2, maxReadBytes) : minReadBytes;
    size_t offset = 0;
    while (!m_isClosed) {
        FrameView frame;
        size_t limit = m_isEstablished ? maxFramePayloadBytes : maxHandshakePayloadBytes;
        if (auto error = decodeFrame(std::string_view(m_input).substr(offset), limit, frame))
            return close(error);
        if (frame.size == 0)
            break;
        if (auto error = handle(frame))
            return close(error);
        offset += frame.size;
    }
    if (m_isClosed)
        return;
    m_input.erase(0, offset);
    if (m_input.empty() && m_input.capacity() > maxReadBytes)
        m_input.shrink_to_fit();
    read();
}

std::error_code PeerLink::handle(const FrameView& frame)
{
    if (frame.kind == FrameKind::Hello)
        return handleHello(frame.payload);
    if (frame.kind == FrameKind::HelloProof)
        return handleProof(frame.payload);
    if (!m_isEstablished)
        return ResultCode::WrongProof;
    if (frame.kind == FrameKind::Segment)
        return handleSegment(frame.payload);
    m_liveness.received(frame.kind);
    if (frame.kind == FrameKind::Probe)
        enqueue(FrameKind::Heartbeat, {});
    else if (frame.kind != FrameKind::Heartbeat)
        m_hooks.frame(*this, frame);
    return {};
}

std::error_code PeerLink::handleSegment(std::string_view payload)
{
    std::string whole;
    if (auto error = m_reassembler.add(payload, whole))
        return error;
    // The link is closed if its incomplete frames exceed the limit: there is no flow control between peers, and the
    // frames that follow on this connection cannot be read before this one.
    if (!m_assemblyReservation.growWithinLimit(m_reassembler.bytes()))
        return ResultCode::FrameTooLarge;
    m_assemblyReservation.setBytes(m_reassembler.bytes());
    if (whole.empty())
        return {};
    FrameView frame;
    if (auto error = decodeFrame(whole, maxFramePayloadBytes, frame))
        return error;
    // Nested segments are rejected, since the depth of nesting would be unbounded.
    if (frame.size != whole.size() || frame.kind == FrameKind::Segment)
        return ResultCode::MalformedFrame;
    return handle(frame);
}

std::error_code PeerLink::handleHello(std::string_view payload)
{
    wire::Hello hello;
    if (!m_peerNonce.empty() || !decodeThrift(payload, hello) || hello.nonce.empty() || hello.hostId.empty())
        return ResultCode::MalformedFrame;
    if (hello.meshId != m_options.meshId)
        return ResultCode::WrongMesh;
    // A peer without the secret could send our nonce back and then return our own proof (reflection attack).
    if (hello.nonce == m_ownNonce)
        return ResultCode::WrongProof;
    m_peer = HostId(hello.hostId);
    m_peerNonce = hello.nonce;
    wire::HelloProof proof;
    proof.proof = m_secret.prove("hello", transcript(m_options.self.value(), m_peerNonce, m_ownNonce));
    enqueue(FrameKind::HelloProof, encodeThrift(proof));
    return {};
}

std::error_code PeerLink::handleProof(std::string_view payload)
{
    wire::HelloProof proof;
    if (m_peerNonce.empty() || m_isEstablished || !decodeThrift(payload, proof))
        return ResultCode::MalformedFrame;
    if (!m_secret.verify("hello", transcript(m_peer.value(), m_ownNonce, m_peerNonce), proof.proof))
        return ResultCode::WrongProof;
    m_isEstablished = true;
    m_hooks.established(*this);
    return {};
}

std::string PeerLink::transcript(
    const std::string& prover, const std::string& challenge, const std::string& ownNonce) const
{
    return std::to_string(prover.size()) + ":" + prover + challenge + ownNonce;
}

// Changes the queue and updates the body budget and the pacer accordingly.
template <typename Change> void PeerLink::changeQueue(const Change& change)
{
    auto bytes = static_cast<std::ptrdiff_t>(m_queue.bytes());
    auto smallBytes = static_cast<std::ptrdiff_t>(m_queue.smallBytes());
    change();
    m_queueReservation.setBytes(m_queue.bytes());
    m_pacer.queueChanged(static_cast<std::ptrdiff_t>(m_queue.bytes()) - bytes,
        static_cast<std::ptrdiff_t>(m_queue.smallBytes()) - smallBytes);
}

void PeerLink::enqueue(FrameKind kind, std::string_view payload)
{
    if (kind == FrameKind::ForwardResponse && payload.size() > FrameQueue::maxShortAnswerBytes)
        m_pacer.recordResponseSize(payload.size());
    m_liveness.sent(kind);
    changeQueue(
        [&] { m_queue.push(kind, encodeFrame(kind, payload), m_pacer.smallAnswerBytes(), m_pacer.segmentBytes()); });
    if (m_queue.bytes() + m_writingBytes > m_options.maxQueuedBytes)
        return close(ResultCode::PeerTimeout);
    writeQueued();
}

void PeerLink::resume()
{
    m_paced = Paced::No;
    writeQueued();
}

void PeerLink::writeQueued()
{
    if (!m_isClosed && m_writing.empty() && !m_queue.isEmpty())
        write();
}

// Urgent frames do not wait for the pacer: they are small, and other daemons declare this host dead without them.
void PeerLink::write()
{
    TimePoint now = BootClock::now();
    bool mayWriteBulk = m_pacer.maySend(now);
    if (!mayWriteBulk && !m_queue.hasUrgent()) {
        // Registers the link with the hub once, and again if a small response has been queued since then.
        bool isFirst = m_paced == Paced::No;
        bool isNowSmall = m_queue.hasSmall() && m_paced != Paced::Small;
        if (isFirst || isNowSmall) {
            m_paced = m_queue.hasSmall() ? Paced::Small : Paced::Bulk;
            m_hooks.paced(*this);
        }
        return;
    }
    size_t queued = m_queue.bytes();
    size_t bulkQueued = m_queue.bulkBytes();
    changeQueue([&] { m_writing = mayWriteBulk ? m_queue.takeBatch(m_pacer.batchBytes()) : m_queue.takeUrgent(); });
    m_writingBytes = queued - m_queue.bytes();
    m_pacer.sent(m_writingBytes, m_writingBytes - (bulkQueued - m_queue.bulkBytes()), now);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_writing.size());
    for (const std::string& frame : m_writing)
        buffers.emplace_back(frame.data(), frame.size());
    asio::async_write(m_socket, buffers, [self = shared_from_this()](boost::system::error_code error, size_t) {
        self->m_writing.clear();
        self->m_writingBytes = 0;
        if (self->m_isClosed)
            return;
        if (error)
            return self->close(ResultCode::PeerClosed);
        self->writeQueued();
    });
}

} // namespace dragonflylane
