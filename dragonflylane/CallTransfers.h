#pragma once

// Transfers calls to another entry daemon while this one may not serve routes yet, because its configuration has not
// been proven current since it started. Also serves the calls that other entry daemons transfer.

#include "dragonflylane/EntryCall.h"
#include "dragonflylane/PeerHub.h"
#include "dragonflylane/ResultCode.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace dragonflylane {

namespace wire {
    class ForwardResponse;
}

class Metrics;

/// Calls that were transferred to other entry daemons and have no response yet.
class CallTransfers {
public:
    using CallPtr = std::shared_ptr<EntryCall>;

    struct Hooks {
        /// Selects another live daemon, excluding those tried; empty if there is none.
        std::function<HostId(const std::vector<HostId>& tried)> selectPeer;
        /// Called at the end of a transfer with the peer's response, or with a result code only.
        std::function<void(const CallPtr&, ResultCode, std::optional<HttpResponse>)> finished;
        /// Serves a call that another daemon transferred.
        std::function<void(std::shared_ptr<HttpExchange>)> serve;
    };

    CallTransfers(PeerHub&, const CallHeaderNames&, Metrics&, Hooks);

    void start();
    /// Transfers the call. The id must be unique among all attempts of this daemon.
    void transfer(const CallPtr&, uint64_t id);
    /// Consumes a response frame that belongs to a transfer. Returns false for any other response.
    bool handleResponse(const PeerFrame&, wire::ForwardResponse&);
    /// Drops the call. Returns true if it was sent to a peer, so that its outcome is unknown.
    bool forget(const EntryCall&);
    /// Returns true if the call was sent to a peer.
    bool isSent(const EntryCall&) const;

private:
    struct Pending {
        CallPtr call;
        LinkId link;
        bool isSent { false };
    };

    void finish(uint64_t id, LinkId, wire::ForwardResponse);
    void handleLinkDown(LinkId);
    void serve(const PeerFrame&);

    PeerHub& m_hub;
    const CallHeaderNames& m_names;
    Metrics& m_metrics;
    Hooks m_hooks;
    std::unordered_map<uint64_t, Pending> m_pending;
};

} // namespace dragonflylane
