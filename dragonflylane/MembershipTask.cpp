#include "dragonflylane/MembershipTask.h"

#include "dragonflylane/Event.h"
#include "dragonflylane/GossipWire.h"
#include "dragonflylane/MeshSecret.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/ResultCode.h"

namespace dragonflylane {

namespace asio = boost::asio;
using udp = asio::ip::udp;

MembershipTask::MembershipTask(asio::io_context& context, MembershipOptions options, MemberRecord self,
    const MeshSecret& secret, Metrics& metrics, Hooks hooks)
    : m_secret(secret)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
    , m_membership(options, std::move(self), BootClock::now())
    , m_socket(context)
    , m_buffer(maxGossipDatagramSize + 1, '\0')
    , m_timer(context, [this] {
        m_membership.tick(BootClock::now());
        processOutputs();
    })
{
}

std::error_code MembershipTask::start(std::vector<Endpoint> seeds)
{
    const Endpoint& address = m_membership.self().address;
    udp::endpoint endpoint(asio::ip::make_address(address.address), address.port);
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (!error)
        m_socket.bind(endpoint, error);
    if (error)
        return ResultCode::ListenFailed;
    receive();
    m_membership.join(std::move(seeds), BootClock::now());
    processOutputs();
    return {};
}

void MembershipTask::stop()
{
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void MembershipTask::setSeeds(std::vector<Endpoint> seeds)
{
    m_membership.setSeeds(std::move(seeds), BootClock::now());
    processOutputs();
}

void MembershipTask::setUpstream(std::optional<UpstreamRecord> record)
{
    m_membership.setUpstream(std::move(record), BootClock::now());
    processOutputs();
}

void MembershipTask::setControlRole(ControlRole role)
{
    m_membership.setControlRole(role, BootClock::now());
    processOutputs();
}

bool MembershipTask::broadcast(std::string payload)
{
    bool isQueued = m_membership.broadcast(std::move(payload), BootClock::now());
    processOutputs();
    return isQueued;
}

void MembershipTask::leave()
{
    m_membership.leave(BootClock::now());
    processOutputs();
}

void MembershipTask::exportMetrics() const
{
    const MembershipCounters& counters = m_membership.counters();
    m_metrics.set("membership_present", m_membership.presentCount());
    m_metrics.set("membership_suspicions", counters.suspicions);
    m_metrics.set("membership_deaths", counters.deaths);
    m_metrics.set("membership_refutations", counters.refutations);
    m_metrics.set("membership_probes_failed", counters.probesFailed);
    m_metrics.set("membership_records_invalid", counters.recordsInvalid);
    m_metrics.set("membership_records_refused", counters.recordsRefused);
    m_metrics.set("membership_record_conflicts", counters.recordConflicts);
    m_metrics.set("membership_broadcasts_refused", counters.broadcastsRefused);
}

void MembershipTask::receive()
{
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_sender, [this](boost::system::error_code error, size_t bytes) {
            if (error == asio::error::operation_aborted || !m_socket.is_open())
                return;
            if (!error)
                handleDatagram(std::string_view(m_buffer).substr(0, bytes));
            receive();
        });
}

void MembershipTask::handleDatagram(std::string_view authenticatedDatagram)
{
    m_metrics.add("control_bytes_received_gossip", authenticatedDatagram.size());
    std::string_view datagram;
    if (!m_secret.open(authenticatedDatagram, datagram))
        return m_metrics.add("gossip_wrong_seal");
    GossipMessage message;
    if (decode(datagram, message))
        return m_metrics.add("gossip_malformed");
    uint64_t invalidBefore = m_membership.counters().recordsInvalid;
    m_membership.receive({ m_sender.address().to_string(), m_sender.port() }, message, BootClock::now());
    logInvalidRecords(m_membership.counters().recordsInvalid - invalidBefore);
    processOutputs();
}

void MembershipTask::logInvalidRecords(uint64_t count)
{
    if (count == 0)
        return;
    auto entry = m_invalidLogLimiter.admit(BootClock::now());
    if (!entry)
        return;
    Event("gossip_records_invalid", EventLevel::Warning)
        .with("from", m_sender.address().to_string())
        .with("port", m_sender.port())
        .with("records", count)
        .with("left_out", entry->suppressed);
}

void MembershipTask::processOutputs()
{
    for (MembershipOutput& output : m_membership.takeOutputs()) {
        if (auto* datagram = std::get_if<GossipDatagram>(&output))
            send(*datagram);
        else if (auto* change = std::get_if<MemberChanged>(&output))
            m_hooks.memberChanged(change->host, change->current);
        else if (auto* broadcast = std::get_if<BroadcastReceived>(&output))
            m_hooks.broadcastReceived(broadcast->origin, broadcast->payload);
        else if (auto* earlier = std::get_if<EarlierRecordFound>(&output))
            m_hooks.earlierRecordFound(earlier->record);
    }
    m_timer.arm(m_membership.nextWakeup());
}

void MembershipTask::send(const GossipDatagram& datagram)
{
    boost::system::error_code error;
    auto address = asio::ip::make_address(datagram.to.address, error);
    if (error || !m_socket.is_open())
        return;
    std::string authenticatedDatagram = m_secret.seal(encode(datagram.message));
    m_metrics.add("control_bytes_sent_gossip", authenticatedDatagram.size());
    // If the socket buffer is full, the datagram is dropped; the protocol tolerates lost datagrams.
    m_socket.non_blocking(true, error);
    m_socket.send_to(asio::buffer(authenticatedDatagram), udp::endpoint(address, datagram.to.port), 0, error);
}

} // namespace dragonflylane
