#pragma once

// Runs Membership over a UDP socket at the peer address. Every datagram is authenticated by a truncated HMAC with the
// secret of the mesh.

#include "dragonflylane/LogRateLimiter.h"
#include "dragonflylane/Membership.h"
#include "dragonflylane/WakeupTimer.h"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string_view>
#include <system_error>

namespace dragonflylane {

class MeshSecret;
class Metrics;

/// Owns the socket and the membership of this daemon.
class MembershipTask {
public:
    struct Hooks {
        std::function<void(const HostId&, const std::optional<MemberRecord>&)> memberChanged;
        std::function<void(const HostId&, std::string_view payload)> broadcastReceived;
        /// Called with records that an earlier process of this daemon has published; may be called repeatedly.
        std::function<void(const MemberRecord&)> earlierRecordFound;
    };

    MembershipTask(boost::asio::io_context&, MembershipOptions, MemberRecord self, const MeshSecret&, Metrics&, Hooks);

    /// Errors: ListenFailed.
    std::error_code start(std::vector<Endpoint> seeds);
    void stop();

    void setSeeds(std::vector<Endpoint>);
    void setUpstream(std::optional<UpstreamRecord>);
    void setControlRole(ControlRole);
    bool broadcast(std::string payload);
    void leave();

    const Membership& view() const { return m_membership; }
    void exportMetrics() const;

private:
    void receive();
    void handleDatagram(std::string_view datagram);
    void logInvalidRecords(uint64_t count);
    void processOutputs();
    void send(const GossipDatagram&);

    MeshSecret const& m_secret;
    Metrics& m_metrics;
    Hooks m_hooks;
    Membership m_membership;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::string m_buffer;
    WakeupTimer m_timer;
    LogRateLimiter m_invalidLogLimiter { { .perSecond = 1, .burst = 5 } };
};

} // namespace dragonflylane
