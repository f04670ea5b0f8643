#include "dragonflylane/PeerApi.h"

#include "dragonflylane/ForwardWire.h"
#include "dragonflylane/Wire.h"

#include <boost/asio/steady_timer.hpp>

namespace dragonflylane {

namespace {

    // Limits how long a paused or partitioned daemon delays the operator's response.
    constexpr std::chrono::milliseconds sendToAllTimeout { 1000 };

    wire::CallTransfer toWire(uint64_t id, const HttpRequest& request)
    {
        wire::CallTransfer message;
        message.requestId = static_cast<int64_t>(id);
        message.method = request.method;
        message.target = request.target;
        for (const HttpHeader& header : request.headers) {
            wire::Header& wireHeader = message.headers.emplace_back();
            wireHeader.name = header.name;
            wireHeader.value = header.value;
        }
        message.body = request.body;
        return message;
    }

    HttpRequest fromWire(wire::CallTransfer message)
    {
        HttpRequest request { .method = std::move(message.method), .target = std::move(message.target) };
        for (wire::Header& header : message.headers)
            request.headers.push_back({ std::move(header.name), std::move(header.value) });
        request.body = std::move(message.body);
        return request;
    }

} // namespace

PeerApi::PeerApi(boost::asio::io_context& context, PeerHub& hub, Server server)
    : m_context(context)
    , m_hub(hub)
    , m_server(std::move(server))
{
}

void PeerApi::start()
{
    m_hub.subscribe(FrameKind::ApiRequest, [this](const PeerFrame& frame) { serve(frame); });
    m_hub.subscribe(FrameKind::ApiResponse, [this](const PeerFrame& frame) { handleResponse(frame); });
    m_hub.subscribeLinkDown([this](LinkId link, const HostId&) { handleLinkDown(link); });
}

void PeerApi::sendRequest(const HostId& host, const HttpRequest& request, Duration timeout, Answer answer)
{
    uint64_t id = m_nextId++;
    m_pending.emplace(id, Pending { LinkId(), std::move(answer) });
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, timeout);
    timer->async_wait([this, timer, id](boost::system::error_code) { finish(id, std::nullopt); });
    m_hub.withLink(host, [this, id, bytes = encodeThrift(toWire(id, request))](std::error_code error, LinkId link) {
        auto it = m_pending.find(id);
        if (it == m_pending.end())
            return;
        it->second.link = link;
        if (error || !m_hub.send(link, FrameKind::ApiRequest, bytes))
            finish(id, std::nullopt);
    });
}

void PeerApi::sendRequestToAll(const std::vector<HostId>& hosts, const HttpRequest& request, Answers answers)
{
    if (hosts.empty())
        return answers({});
    struct PendingResponses {
        size_t outstanding;
        std::map<HostId, HttpResponse> responses;
        Answers answers;
    };
    auto pending = std::make_shared<PendingResponses>(PendingResponses { hosts.size(), {}, std::move(answers) });
    for (const HostId& host : hosts) {
        sendRequest(host, request, sendToAllTimeout, [pending, host](std::optional<HttpResponse> response) {
            if (response)
                pending->responses.emplace(host, std::move(*response));
            if (--pending->outstanding == 0)
                pending->answers(std::move(pending->responses));
        });
    }
}

void PeerApi::serve(const PeerFrame& frame)
{
    wire::CallTransfer message;
    if (!decodeThrift(frame.payload, message))
        return;
    int64_t id = message.requestId;
    m_server(frame.from, fromWire(std::move(message)), [this, id, link = frame.link](HttpResponse response) {
        wire::ForwardResponse reply = toForwardResponse(std::move(response));
        reply.requestId = id;
        m_hub.send(link, FrameKind::ApiResponse, encodeThrift(reply));
    });
}

void PeerApi::handleResponse(const PeerFrame& frame)
{
    wire::ForwardResponse response;
    if (!decodeThrift(frame.payload, response))
        return;
    rejectInvalidStatus(response);
    auto it = m_pending.find(static_cast<uint64_t>(response.requestId));
    if (it != m_pending.end() && it->second.link == frame.link)
        finish(it->first, toHttpResponse(std::move(response)));
}

void PeerApi::finish(uint64_t id, std::optional<HttpResponse> response)
{
    auto node = m_pending.extract(id);
    if (!node.empty())
        node.mapped().answer(std::move(response));
}

void PeerApi::handleLinkDown(LinkId link)
{
    std::vector<uint64_t> lost;
    for (const auto& [id, pending] : m_pending) {
        if (pending.link == link)
            lost.push_back(id);
    }
    for (uint64_t id : lost)
        finish(id, std::nullopt);
}

} // namespace dragonflylane
