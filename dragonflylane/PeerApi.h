#pragma once

// API requests between daemons: a daemon that cannot serve an operator's request forwards it to one that can.

#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/PeerHub.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace dragonflylane {

/// Sends API requests to other daemons and serves theirs.
class PeerApi {
public:
    /// Receives the response; empty if the daemon did not respond in time.
    using Answer = std::function<void(std::optional<HttpResponse>)>;
    using Answers = std::function<void(std::map<HostId, HttpResponse>)>;
    /// Serves a request of another daemon.
    using Server = std::function<void(const HostId&, HttpRequest, std::function<void(HttpResponse)>)>;

    PeerApi(boost::asio::io_context&, PeerHub&, Server);

    void start();
    void sendRequest(const HostId&, const HttpRequest&, Duration timeout, Answer);
    /// Sends the request to several daemons in parallel. Reports the responses once each daemon has responded or the
    /// timeout of one second has passed.
    void sendRequestToAll(const std::vector<HostId>&, const HttpRequest&, Answers);

private:
    struct Pending {
        LinkId link;
        Answer answer;
    };

    void serve(const PeerFrame&);
    void handleResponse(const PeerFrame&);
    void finish(uint64_t id, std::optional<HttpResponse>);
    void handleLinkDown(LinkId);

    boost::asio::io_context& m_context;
    PeerHub& m_hub;
    Server m_server;
    uint64_t m_nextId { 1 };
    std::map<uint64_t, Pending> m_pending;
};

} // namespace dragonflylane
