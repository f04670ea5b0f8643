#pragma once

// API requests between daemons: a daemon that cannot answer an operator itself asks one that can.

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

/// Sends API requests to other daemons and answers theirs.
class PeerApi {
public:
    /// Empty if the daemon did not answer in time.
    using Answer = std::function<void(std::optional<HttpResponse>)>;
    using Answers = std::function<void(std::map<HostId, HttpResponse>)>;
    /// Serves a request of another daemon.
    using Server = std::function<void(const HostId&, HttpRequest, std::function<void(HttpResponse)>)>;

    PeerApi(boost::asio::io_context&, PeerHub&, Server);

    void start();
    void ask(const HostId&, const HttpRequest&, Duration timeout, Answer);
    /// Asks several daemons at once and reports what came back, from each at most once.
    void askAll(const std::vector<HostId>&, const HttpRequest&, Answers);

private:
    struct Pending {
        LinkId link;
        Answer answer;
    };

    void serve(const PeerFrame&);
    void take(const PeerFrame&);
    void finish(uint64_t id, std::optional<HttpResponse>);
    void linkDown(LinkId);

    boost::asio::io_context& m_context;
    PeerHub& m_hub;
    Server m_server;
    uint64_t m_nextId { 1 };
    std::map<uint64_t, Pending> m_pending;
};

} // namespace dragonflylane
