#include "dragonflylane/PeerHub.h"

#include "dragonflylane/BodyBudget.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/LinkPacer.h"
#include "dragonflylane/Listener.h"
#include "dragonflylane/MeshSecret.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/PeerLink.h"
#include "dragonflylane/ResultCode.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

namespace dragonflylane {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

    // Minimum time between two wakeups of the pacer, since each wakeup costs CPU time.
    constexpr std::chrono::milliseconds minPaceInterval { 2 };

    /// Metric names of the byte counters for a kind of frame.
    struct ByteCounters {
        std::string_view sent;
        std::string_view received;
    };

    ByteCounters byteCounters(FrameKind kind)
    {
        switch (kind) {
        case FrameKind::ForwardRequest:
        case FrameKind::ForwardCancel:
        case FrameKind::CallTransfer:
            return { "peer_bytes_sent_requests", "peer_bytes_received_requests" };
        case FrameKind::ForwardResponse:
            return { "peer_bytes_sent_answers", "peer_bytes_received_answers" };
        default:
            return { "peer_bytes_sent_control", "peer_bytes_received_control" };
        }
    }

} // namespace

class PeerHub::Impl : public std::enable_shared_from_this<PeerHub::Impl> {
public:
    Impl(asio::io_context& context, PeerHubOptions options, const MeshSecret& secret, Metrics& metrics)
        : m_context(context)
        , m_options(std::move(options))
        , m_secret(secret)
        , m_metrics(metrics)
        , m_acceptor(context)
        , m_timer(context)
        , m_pacer({ .bytesPerSecond = m_options.linkBytesPerSecond })
        , m_paceTimer(context)
    {
    }

    std::error_code start()
    {
        if (auto error = openListener(m_acceptor, m_options.listen, m_port))
            return error;
        m_lastTick = BootClock::now();
        accept();
        scheduleTick();
        return {};
    }

    uint16_t port() const { return m_port; }
    const LinkPacer& pacer() const { return m_pacer; }

    void stopListening()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

    void closeAll()
    {
        m_isStopped = true;
        stopListening();
        m_timer.cancel();
        m_paceTimer.cancel();
        closeLinks(ResultCode::DaemonLeaving);
    }

    /// Subscribers may be destroyed before the hub.
    void dropSubscribers()
    {
        m_handlers.clear();
        m_downHandlers.clear();
        m_dials.clear();
    }

    void subscribe(FrameKind kind, FrameHandler handler) { m_handlers[kind] = std::move(handler); }
    void subscribeLinkDown(LinkDownHandler handler) { m_downHandlers.push_back(std::move(handler)); }
    void setAddress(const HostId& host, const Endpoint& endpoint) { m_addresses[host] = endpoint; }

    void withLink(const HostId& host, LinkHandler handler)
    {
        auto existing = m_primaryLinks.find(host);
        if (existing != m_primaryLinks.end())
            return handler({}, existing->second);
        auto [dial, isNew] = m_dials.try_emplace(host);
        dial->second.push_back(std::move(handler));
        if (isNew)
            startDial(host);
    }

    bool send(LinkId id, FrameKind kind, std::string_view payload)
    {
        auto it = m_links.find(id);
        if (it == m_links.end() || !it->second->isEstablished())
            return false;
        m_metrics.add(byteCounters(kind).sent, frameHeaderBytes + payload.size());
        it->second->send(kind, payload);
        return m_links.contains(id);
    }

    void sendToHost(const HostId& host, FrameKind kind, std::string payload)
    {
        withLink(
            host, [self = shared_from_this(), kind, payload = std::move(payload)](std::error_code error, LinkId id) {
                if (!error)
                    self->send(id, kind, payload);
            });
    }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted || !self->m_acceptor.is_open())
                return;
            if (!error)
                self->addLink(std::move(socket), HostId());
            self->accept();
        });
    }

    // Starts the handshake. `dialled` is the host that this daemon connected to, or empty for an accepted connection.
    void addLink(tcp::socket socket, const HostId& dialled)
    {
        if (m_links.size() >= m_options.maxLinks) {
            m_metrics.add("peer_links_refused");
            failDial(dialled);
            return;
        }
        LinkId id = m_nextLink;
        m_nextLink = m_nextLink.next();
        PeerLink::Hooks hooks {
            .established = [this, dialled](PeerLink& link) { handleEstablished(link, dialled); },
            .frame = [this](PeerLink& link, const FrameView& frame) { dispatch(link, frame); },
            .closed = [this, dialled](PeerLink& link, std::error_code reason) { handleClosed(link, dialled, reason); },
            .paced = [this](PeerLink& link) { waitForPacer(link); },
        };
        auto link = std::make_shared<PeerLink>(std::move(socket), id, m_options, m_secret, m_pacer, std::move(hooks));
        m_links.emplace(id, link);
        link->start(BootClock::now());
    }

    void startDial(const HostId& host)
    {
        auto address = m_addresses.find(host);
        if (address == m_addresses.end() || m_isStopped)
            return failDial(host);
        auto socket = std::make_shared<tcp::socket>(m_context);
        auto timer = std::make_shared<asio::steady_timer>(m_context, m_options.connectTimeout);
        timer->async_wait([socket](boost::system::error_code error) {
            boost::system::error_code ignored;
            if (!error)
                socket->close(ignored);
        });
        tcp::endpoint endpoint(asio::ip::make_address(address->second.address), address->second.port);
        socket->async_connect(
            endpoint, [self = shared_from_this(), socket, timer, host](boost::system::error_code error) {
                timer->cancel();
                if (error || !socket->is_open())
                    return self->failDial(host);
                self->addLink(std::move(*socket), host);
            });
    }

    void failDial(const HostId& host)
    {
        if (host.isEmpty())
            return;
        // Posted instead of called, because the handlers may dial the host again. The entry in m_dials is removed
        // first.
        asio::post(m_context,
            [self = shared_from_this(), host] { self->finishDial(host, ResultCode::OwnerUnreachable, LinkId()); });
    }

    void finishDial(const HostId& host, std::error_code error, LinkId id)
    {
        auto node = m_dials.extract(host);
        if (node.empty())
            return;
        for (LinkHandler& handler : node.mapped())
            handler(error, id);
    }

    void handleEstablished(PeerLink& link, const HostId& dialled)
    {
        if (!dialled.isEmpty() && link.peer() != dialled) {
            Event("peer_identity_mismatch", EventLevel::Warning).with("wanted", dialled).with("found", link.peer());
            m_metrics.add("peer_identity_mismatch");
            // handleClosed() does not fail the dial of an established link, so it is done here.
            failDial(dialled);
            return link.close(ResultCode::WrongProof);
        }
        // The first link to a host is used for sending until it closes, so that frames to the host keep their order.
        m_primaryLinks.try_emplace(link.peer(), link.id());
        finishDial(link.peer(), {}, link.id());
    }

    void dispatch(PeerLink& link, const FrameView& frame)
    {
        if (detectPause(BootClock::now()))
            return;
        auto handler = m_handlers.find(frame.kind);
        if (handler == m_handlers.end()) {
            m_metrics.add("peer_frames_unknown");
            return;
        }
        m_metrics.add("peer_frames_received");
        m_metrics.add(byteCounters(frame.kind).received, frame.size);
        handler->second({ link.id(), link.peer(), frame.kind, frame.payload });
    }

    void handleClosed(PeerLink& link, const HostId& dialled, std::error_code reason)
    {
        m_metrics.add(std::string("peer_closed_").append(name(resultCode(reason))));
        if (resultCode(reason) != ResultCode::PeerClosed && resultCode(reason) != ResultCode::DaemonLeaving)
            Event("peer_closed", EventLevel::Warning).with("peer", link.peer()).with("reason", reason);
        LinkId id = link.id();
        const HostId& peer = link.peer();
        bool wasEstablished = link.isEstablished();
        m_links.erase(id);
        if (!wasEstablished)
            return failDial(dialled);
        auto primary = m_primaryLinks.find(peer);
        if (primary != m_primaryLinks.end() && primary->second == id) {
            m_primaryLinks.erase(primary);
            selectOtherLink(peer);
        }
        for (const LinkDownHandler& handler : m_downHandlers)
            handler(id, peer);
    }

    void selectOtherLink(const HostId& peer)
    {
        for (const auto& [id, link] : m_links) {
            if (link->isEstablished() && link->peer() == peer)
                m_primaryLinks[peer] = id;
        }
    }

    // Links whose frames wait for the pacer are served round robin, those with small responses first.
    void waitForPacer(const PeerLink& link)
    {
        (link.hasSmallAnswers() ? m_waitingSmallLinks : m_waitingLinks).push_back(link.id());
        if (!m_isPaceTimerArmed)
            schedulePaceTimer();
    }

    bool hasWaitingLinks() const { return !m_waitingLinks.empty() || !m_waitingSmallLinks.empty(); }

    void schedulePaceTimer()
    {
        m_isPaceTimerArmed = true;
        m_paceTimer.expires_after(std::max<Duration>(m_pacer.nextSend() - BootClock::now(), minPaceInterval));
        m_paceTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            self->m_isPaceTimerArmed = false;
            if (!error && !self->m_isStopped)
                self->resumeWaitingLinks();
        });
    }

    void resumeWaitingLinks()
    {
        while (hasWaitingLinks() && m_pacer.maySend(BootClock::now())) {
            std::deque<LinkId>& waiting = m_waitingSmallLinks.empty() ? m_waitingLinks : m_waitingSmallLinks;
            auto link = m_links.find(waiting.front());
            waiting.pop_front();
            if (link != m_links.end())
                std::shared_ptr(link->second)->resume();
        }
        if (hasWaitingLinks() && !m_isPaceTimerArmed)
            schedulePaceTimer();
    }

    void scheduleTick()
    {
        m_timer.expires_after(m_options.heartbeatInterval / 2);
        m_timer.async_wait([self = shared_from_this()](boost::system::error_code error) {
            if (error || self->m_isStopped)
                return;
            self->tick();
            self->scheduleTick();
        });
    }

    void tick()
    {
        TimePoint now = BootClock::now();
        detectPause(now);
        std::vector<std::shared_ptr<PeerLink>> links;
        links.reserve(m_links.size());
        for (const auto& [id, link] : m_links)
            links.push_back(link);
        for (const auto& link : links)
            link->tick(now);
        m_metrics.set("peer_links", m_links.size());
        if (m_options.bodies)
            m_metrics.set("body_memory_bytes", m_options.bodies->used());
    }

    // If this process was stopped for longer than the peer timeout, its sockets hold old frames, but its peers may have
    // timed out and closed the links. None of these frames may be processed.
    bool detectPause(TimePoint now)
    {
        bool wasPaused = now - m_lastTick > m_options.peerTimeout;
        m_lastTick = now;
        if (!wasPaused)
            return false;
        Event("process_was_paused", EventLevel::Warning).with("links_closed", m_links.size());
        m_metrics.add("process_pauses");
        closeLinks(ResultCode::PeerTimeout);
        return true;
    }

    void closeLinks(ResultCode reason)
    {
        std::vector<std::shared_ptr<PeerLink>> links;
        for (const auto& [id, link] : m_links)
            links.push_back(link);
        for (const auto& link : links)
            link->close(reason);
    }

    asio::io_context& m_context;
    const PeerHubOptions m_options;
    const MeshSecret& m_secret;
    Metrics& m_metrics;
    tcp::acceptor m_acceptor;
    uint16_t m_port { 0 };
    asio::steady_timer m_timer;
    bool m_isStopped { false };
    LinkPacer m_pacer;
    asio::steady_timer m_paceTimer;
    bool m_isPaceTimerArmed { false };
    /// Links that wait for the pacer, in the order in which they are served. m_waitingSmallLinks is served first.
    std::deque<LinkId> m_waitingLinks;
    std::deque<LinkId> m_waitingSmallLinks;
    TimePoint m_lastTick;

    LinkId m_nextLink { 1 };
    std::unordered_map<LinkId, std::shared_ptr<PeerLink>> m_links;
    /// The link used for sending to each host. There may be a second link if both sides connected at the same time.
    std::unordered_map<HostId, LinkId> m_primaryLinks;
    std::unordered_map<HostId, std::vector<LinkHandler>> m_dials;
    std::unordered_map<HostId, Endpoint> m_addresses;
    std::map<FrameKind, FrameHandler> m_handlers;
    std::vector<LinkDownHandler> m_downHandlers;
};

PeerHub::PeerHub(asio::io_context& context, PeerHubOptions options, const MeshSecret& secret, Metrics& metrics)
    : m_impl(std::make_shared<Impl>(context, std::move(options), secret, metrics))
{
}

PeerHub::~PeerHub()
{
    m_impl->dropSubscribers();
    m_impl->closeAll();
}

std::error_code PeerHub::start()
{
    return m_impl->start();
}
uint16_t PeerHub::port() const
{
    return m_impl->port();
}
const LinkPacer& PeerHub::pacer() const
{
    return m_impl->pacer();
}
void PeerHub::stopListening()
{
    m_impl->stopListening();
}
void PeerHub::closeAll()
{
    m_impl->closeAll();
}

void PeerHub::subscribe(FrameKind kind, FrameHandler handler)
{
    m_impl->subscribe(kind, std::move(handler));
}
void PeerHub::subscribeLinkDown(LinkDownHandler handler)
{
    m_impl->subscribeLinkDown(std::move(handler));
}
void PeerHub::setAddress(const HostId& host, const Endpoint& endpoint)
{
    m_impl->setAddress(host, endpoint);
}
void PeerHub::withLink(const HostId& host, LinkHandler handler)
{
    m_impl->withLink(host, std::move(handler));
}

bool PeerHub::send(LinkId id, FrameKind kind, std::string_view payload)
{
    return m_impl->send(id, kind, payload);
}

void PeerHub::sendToHost(const HostId& host, FrameKind kind, std::string payload)
{
    m_impl->sendToHost(host, kind, std::move(payload));
}

} // namespace dragonflylane
