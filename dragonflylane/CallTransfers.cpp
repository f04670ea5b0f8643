#include "dragonflylane/CallTransfers.h"

#include "dragonflylane/ForwardWire.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/Wire.h"

#include <algorithm>

namespace dragonflylane {

namespace {

    constexpr size_t maxTransferAttempts = 3;

    // Result codes that prove that the peer did not start the call.
    bool mayTryAnotherPeer(ResultCode code)
    {
        return code == ResultCode::ConfigNotProven || code == ResultCode::OwnerUnreachable
            || code == ResultCode::DaemonLeaving;
    }

} // namespace

CallTransfers::CallTransfers(PeerHub& hub, const CallHeaderNames& names, Metrics& metrics, Hooks hooks)
    : m_hub(hub)
    , m_names(names)
    , m_metrics(metrics)
    , m_hooks(std::move(hooks))
{
}

void CallTransfers::start()
{
    m_hub.subscribe(FrameKind::CallTransfer, [this](const PeerFrame& frame) { serve(frame); });
    m_hub.subscribeLinkDown([this](LinkId link, const HostId&) { handleLinkDown(link); });
}

void CallTransfers::transfer(const CallPtr& call, uint64_t id)
{
    HostId peer = call->headers.isTransferred ? HostId() : m_hooks.selectPeer(call->tried);
    if (peer.isEmpty() || call->tried.size() >= maxTransferAttempts)
        return m_hooks.finished(call, ResultCode::ConfigNotProven, std::nullopt);
    call->tried.push_back(peer);
    m_pending.emplace(id, Pending { .call = call });
    m_metrics.add("calls_transferred");
    std::string message = encodeThrift(makeTransfer(*call, m_names, id));
    m_hub.withLink(peer, [this, id, message = std::move(message)](std::error_code error, LinkId link) {
        auto it = m_pending.find(id);
        if (it == m_pending.end())
            return;
        it->second.link = link;
        it->second.isSent = !error && m_hub.send(link, FrameKind::CallTransfer, message);
        if (!it->second.isSent)
            finish(id, link, makeResponse(id, ResultCode::OwnerUnreachable));
    });
}

bool CallTransfers::handleResponse(const PeerFrame& frame, wire::ForwardResponse& response)
{
    auto id = static_cast<uint64_t>(response.requestId);
    auto it = m_pending.find(id);
    if (it == m_pending.end() || it->second.link != frame.link)
        return false;
    finish(id, frame.link, std::move(response));
    return true;
}

bool CallTransfers::forget(const EntryCall& call)
{
    bool wasSent = isSent(call);
    std::erase_if(m_pending, [&](const auto& item) { return item.second.call->id == call.id; });
    return wasSent;
}

bool CallTransfers::isSent(const EntryCall& call) const
{
    return std::any_of(m_pending.begin(), m_pending.end(),
        [&](const auto& item) { return item.second.call->id == call.id && item.second.isSent; });
}

void CallTransfers::finish(uint64_t id, LinkId link, wire::ForwardResponse response)
{
    auto it = m_pending.find(id);
    if (it == m_pending.end() || it->second.link != link)
        return;
    CallPtr call = it->second.call;
    m_pending.erase(it);
    auto code = static_cast<ResultCode>(response.code);
    if (mayTryAnotherPeer(code) && BootClock::now() < call->deadline)
        return transfer(call, id);
    if (response.status == 0)
        return m_hooks.finished(call, code, std::nullopt);
    m_hooks.finished(call, code, toHttpResponse(std::move(response)));
}

void CallTransfers::handleLinkDown(LinkId link)
{
    std::vector<uint64_t> lost;
    for (const auto& [id, pending] : m_pending) {
        if (pending.link == link)
            lost.push_back(id);
    }
    for (uint64_t id : lost)
        finish(id, link, makeResponse(id, ResultCode::OwnerLost));
}

void CallTransfers::serve(const PeerFrame& frame)
{
    wire::CallTransfer message;
    if (!decodeThrift(frame.payload, message))
        return m_metrics.add("forward_malformed");
    int64_t id = message.requestId;
    CallOrigin origin = originOf(message);
    auto exchange = std::make_shared<HttpExchange>(toHttpRequest(std::move(message), m_names), BootClock::now(),
        [this, id, link = frame.link](HttpResponse response) {
            wire::ForwardResponse reply = toForwardResponse(std::move(response));
            reply.requestId = id;
            m_hub.send(link, FrameKind::ForwardResponse, encodeThrift(reply));
        });
    exchange->setOrigin(std::move(origin));
    m_hooks.serve(std::move(exchange));
}

} // namespace dragonflylane
