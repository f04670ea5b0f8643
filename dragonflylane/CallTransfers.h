#pragma once

// Hands whole calls of callers to another entry daemon while this one may not serve routes yet (restart floor), and
// serves those that others hand over.

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

/// Calls on their way to and from other entry daemons.
class CallTransfers {
public:
    using CallPtr = std::shared_ptr<EntryCall>;

    struct Hooks {
        /// Another live daemon, excluding those tried; empty if there is none.
        std::function<HostId(const std::vector<HostId>& tried)> choosePeer;
        /// The end of a transfer: the peer's answer, or a code without one.
        std::function<void(const CallPtr&, ResultCode, std::optional<HttpResponse>)> finished;
        /// A call that another daemon hands over.
        std::function<void(std::shared_ptr<HttpExchange>)> serve;
    };

    CallTransfers(PeerHub&, const CallHeaderNames&, Metrics&, Hooks);

    void start();
    /// Transfers the call; ids are unique among the attempts of this daemon.
    void transfer(const CallPtr&, uint64_t id);
    /// Takes a response frame if it belongs to a transfer.
    bool take(const PeerFrame&, wire::ForwardResponse&);
    /// Drops the call. True if a peer has it, so that its outcome is unknown.
    bool forget(const EntryCall&);
    /// True if a peer has the call.
    bool isSent(const EntryCall&) const;

private:
    struct Pending {
        CallPtr call;
        LinkId link;
        bool isSent { false };
    };

    void finish(uint64_t id, LinkId, wire::ForwardResponse);
    void linkDown(LinkId);
    void serve(const PeerFrame&);

    PeerHub& m_hub;
    const CallHeaderNames& m_names;
    Metrics& m_metrics;
    Hooks m_hooks;
    std::unordered_map<uint64_t, Pending> m_pending;
};

} // namespace dragonflylane
