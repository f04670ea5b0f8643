#include "dragonflylane/ForwardServer.h"

#include "dragonflylane/Metrics.h"
#include "dragonflylane/OwnerTask.h"
#include "dragonflylane/Wire.h"
#include "gen-cpp/peer_types.h"

namespace dragonflylane {

ForwardServer::ForwardServer(PeerHub& hub, OwnerTask& owner, Metrics& metrics)
    : m_hub(hub)
    , m_owner(owner)
    , m_metrics(metrics)
{
}

void ForwardServer::start()
{
    m_hub.subscribe(FrameKind::ForwardRequest, [this](const PeerFrame& frame) { serve(frame); });
    m_hub.subscribe(FrameKind::ForwardCancel, [this](const PeerFrame& frame) { cancel(frame); });
    // The entry daemon has closed the connection. Its calls are not cancelled, since a non-idempotent request that was
    // sent to the upstream may already have run. Their responses are dropped.
    m_hub.subscribeLinkDown([this](LinkId link, const HostId&) {
        std::erase_if(m_calls, [link](const auto& item) { return item.first.first == link; });
    });
}

void ForwardServer::serve(const PeerFrame& frame)
{
    wire::ForwardRequest request;
    if (!decodeThrift(frame.payload, request))
        return m_metrics.add("forward_malformed");
    auto key = std::pair(frame.link, request.requestId);
    m_calls[key] = 0;
    uint64_t ownerCallId = m_owner.handle(
        std::move(request),
        [this, key](const wire::ForwardResponse& response) {
            m_calls.erase(key);
            m_hub.send(key.first, FrameKind::ForwardResponse, encodeThrift(response));
        },
        OwnerTask::CallSource::Peer);
    // The owner may have answered within handle().
    if (auto it = m_calls.find(key); it != m_calls.end())
        it->second = ownerCallId;
}

void ForwardServer::cancel(const PeerFrame& frame)
{
    wire::ForwardCancel message;
    if (!decodeThrift(frame.payload, message))
        return m_metrics.add("forward_malformed");
    auto node = m_calls.extract({ frame.link, message.requestId });
    if (!node.empty())
        m_owner.cancel(node.mapped());
}

} // namespace dragonflylane
