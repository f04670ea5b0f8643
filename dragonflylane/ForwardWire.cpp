#include "dragonflylane/ForwardWire.h"

#include "dragonflylane/Admission.h"
#include "dragonflylane/EntryCall.h"
#include "dragonflylane/HeaderCoding.h"
#include "dragonflylane/HttpStatus.h"
#include "dragonflylane/ProcessStatement.h"

#include <charconv>

namespace dragonflylane {

namespace {

    wire::Header toWire(const HttpHeader& header)
    {
        wire::Header wireHeader;
        wireHeader.name = compressHeaderName(header.name);
        wireHeader.value = compressHeaderValue(header.value);
        return wireHeader;
    }

    std::vector<wire::Header> toWire(const std::vector<HttpHeader>& headers)
    {
        std::vector<wire::Header> converted;
        converted.reserve(headers.size());
        for (const HttpHeader& header : headers) {
            if (!isHopByHopHeader(header.name))
                converted.push_back(toWire(header));
        }
        return converted;
    }

    // True for headers that the receiving daemon sets itself. If upstreams copy the request id to their responses, the
    // id is sent as the caller wrote it.
    bool isSetByNextDaemon(std::string_view name, const CallHeaderNames& names)
    {
        bool isId = !names.upstreamsEchoRequestId && equalsIgnoringCase(name, names.requestId);
        return isId || equalsIgnoringCase(name, names.deadline) || equalsIgnoringCase(name, names.hops)
            || equalsIgnoringCase(name, names.expectedUpstream) || equalsIgnoringCase(name, transferredHeader);
    }

    // True for headers of the caller that neither an upstream nor another daemon may see, or that only the mesh may
    // set.
    bool isHiddenFromUpstream(std::string_view name, const RoutingTable& routingTable, const CallHeaderNames& names)
    {
        bool hasApiKeys = routingTable.policy().requiresApiKeys;
        if (hasApiKeys && equalsIgnoringCase(name, names.apiKey))
            return true;
        bool hasTenants = hasApiKeys || !routingTable.tenants().empty();
        return hasTenants && equalsIgnoringCase(name, names.tenant);
    }

    // Whether the credentials of a caller may be an API key. Unknown before the daemon has its first configuration.
    bool mayHoldApiKey(const RoutingTable& routingTable)
    {
        return routingTable.revision() == Revision() || routingTable.policy().requiresApiKeys;
    }

    // True for response headers that the entry daemon does not need, see toAnswerHeaders().
    bool isOmitted(
        const HttpHeader& header, const HttpResponse& answer, const CallHeaderNames& names, std::string_view requestId)
    {
        // A response to HEAD has no body but states the length of the response to GET.
        if (equalsIgnoringCase(header.name, "Content-Length"))
            return !answer.body.empty();
        bool isOwnId = equalsIgnoringCase(header.name, names.requestId) && header.value == requestId;
        bool isLoad = !names.upstreamLoad.empty() && equalsIgnoringCase(header.name, names.upstreamLoad);
        return isOwnId || isLoad || isHopByHopHeader(header.name);
    }

} // namespace

int64_t toMicroseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

std::vector<HttpHeader> fromWire(const std::vector<wire::Header>& headers)
{
    std::vector<HttpHeader> converted;
    converted.reserve(headers.size());
    for (const wire::Header& header : headers) {
        auto name = expandHeaderName(header.name);
        auto value = expandHeaderValue(header.value);
        // A header with an unknown abbreviation comes from a daemon of a later version and is dropped. Only headers
        // that no call depends on are abbreviated.
        if (name && value)
            converted.push_back({ std::move(*name), std::move(*value) });
    }
    return converted;
}

wire::UpstreamStatement toWire(const ProcessStatement& statement)
{
    wire::UpstreamStatement message;
    message.process = static_cast<int64_t>(statement.process.value());
    message.leaving = statement.isLeaving;
    if (statement.rateLimit)
        message.__set_rateLimit(statement.rateLimit->perSecond);
    return message;
}

ProcessStatement fromWire(const wire::UpstreamStatement& message)
{
    ProcessStatement statement { .process = ProcessId(static_cast<uint64_t>(message.process)),
        .isLeaving = message.leaving };
    if (message.__isset.rateLimit)
        statement.rateLimit = toRequestRate(message.rateLimit);
    return statement;
}

std::optional<ProcessStatement> statementOf(const wire::ForwardResponse& response)
{
    if (!response.__isset.statement)
        return std::nullopt;
    return fromWire(response.statement);
}

void addSpeed(wire::ForwardResponse& response, const LoadReport& report)
{
    if (report.speed) {
        response.__set_slownessPercent(static_cast<int32_t>(report.speed->slowness.value()));
        response.__set_usualServiceMicroseconds(toMicroseconds(report.speed->usualServiceTime));
    }
    if (report.paceLimit)
        response.__set_paceLimit(static_cast<int32_t>(*report.paceLimit));
}

LoadReport loadReport(const wire::ForwardResponse& response, uint64_t routeKey)
{
    LoadReport report { .running = static_cast<uint32_t>(response.running),
        .queued = static_cast<uint32_t>(response.queued),
        .limit = static_cast<uint32_t>(response.limit),
        .serviceTime = std::chrono::microseconds(response.serviceMicroseconds) };
    if (response.__isset.slownessPercent && response.__isset.usualServiceMicroseconds) {
        int32_t slowness = std::max(response.slownessPercent, 1);
        report.speed = SpeedReport { .routeKey = routeKey,
            .usualServiceTime = std::chrono::microseconds(response.usualServiceMicroseconds),
            .slowness = SlownessPercent(static_cast<uint64_t>(slowness)) };
    }
    if (response.__isset.paceLimit)
        report.paceLimit = static_cast<uint32_t>(std::max(response.paceLimit, 1));
    return report;
}

wire::ForwardRequest makeForwardRequest(const EntryCall& call, const CallHeaderNames& names, uint64_t attemptId,
    const UpstreamEntry& upstream, TimePoint now)
{
    const HttpRequest& source = call.exchange->request();
    wire::ForwardRequest request;
    request.requestId = static_cast<int64_t>(attemptId);
    request.traceId = call.requestId.value();
    request.serviceName = call.serviceName.value();
    request.upstreamId = upstream.id.value();
    request.upstreamIncarnation = static_cast<int64_t>(upstream.incarnation.value());
    request.remainingMicroseconds = toMicroseconds(call.deadline - now);
    request.attempt = static_cast<int32_t>(call.attempts);
    request.hops = static_cast<int32_t>(call.headers.hops + 1);
    request.idempotent = call.isIdempotent;
    request.order = !call.isIdempotent;
    request.fingerprint = static_cast<int64_t>(call.fingerprint.value());
    request.method = source.method;
    request.target = source.target;
    bool hasCallerService = !call.origin.service.isEmpty();
    for (const HttpHeader& header : source.headers) {
        bool isTraceId = equalsIgnoringCase(header.name, names.requestId) && header.value == request.traceId;
        bool isCaller = hasCallerService && equalsIgnoringCase(header.name, names.caller);
        bool isHidden = isHiddenFromUpstream(header.name, *call.routingTable, names);
        if (!isTraceId && !isCaller && !isHidden && !isSetByNextDaemon(header.name, names)
            && !isHopByHopHeader(header.name))
            request.headers.push_back(toWire(header));
    }
    request.callerService = call.origin.service.value();
    request.priority = static_cast<int32_t>(call.priority);
    request.routeKey = static_cast<int64_t>(call.routeKey);
    request.targetMicroseconds = toMicroseconds(call.target - now);
    if (!call.tenant.isEmpty()) {
        request.__set_tenant(call.tenant.value());
        request.__set_tenantPriority(static_cast<int32_t>(call.tenantPriority));
    }
    if (call.parent) {
        wire::ParentOfCall parent;
        parent.priority = static_cast<int32_t>(call.parent->priority);
        parent.tenantPriority = static_cast<int32_t>(call.parent->tenantPriority);
        request.__set_parent(parent);
    }
    if (call.earlierRefusals > 0)
        request.__set_earlierRefusals(static_cast<int32_t>(call.earlierRefusals));
    request.body = source.body;
    return request;
}

HttpRequest takeUpstreamRequest(wire::ForwardRequest& request, const CallHeaderNames& names, Duration remaining)
{
    HttpRequest http { .method = request.method, .target = request.target };
    http.headers = fromWire(request.headers);
    auto add = [&](const std::string& name, std::string value) {
        if (!name.empty() && !value.empty())
            http.headers.push_back({ name, std::move(value) });
    };
    auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    add(names.deadline, std::to_string(std::max<int64_t>(milliseconds, 1)));
    add(names.hops, std::to_string(request.hops));
    if (http.header(names.requestId).empty())
        add(names.requestId, request.traceId);
    add(names.caller, request.callerService);
    add(names.tenant, request.tenant);
    add(names.expectedUpstream, request.upstreamId);
    http.body = std::move(request.body);
    return http;
}

std::vector<wire::Header> toAnswerHeaders(
    const HttpResponse& answer, const CallHeaderNames& names, std::string_view requestId)
{
    std::vector<wire::Header> headers;
    headers.reserve(answer.headers.size());
    for (const HttpHeader& header : answer.headers) {
        if (!isOmitted(header, answer, names, requestId))
            headers.push_back(toWire(header));
    }
    return headers;
}

wire::ForwardResponse makeResponse(uint64_t attemptId, ResultCode code)
{
    wire::ForwardResponse response;
    response.requestId = static_cast<int64_t>(attemptId);
    response.code = static_cast<int32_t>(code);
    return response;
}

HttpResponse toHttpResponse(wire::ForwardResponse response)
{
    HttpResponse http { .status = static_cast<unsigned>(response.status) };
    http.headers = fromWire(response.headers);
    http.body = std::move(response.body);
    return http;
}

void rejectInvalidStatus(wire::ForwardResponse& response)
{
    bool hasStatus = response.status != 0 || response.code == static_cast<int32_t>(ResultCode::Ok);
    if (!hasStatus || (response.status > 0 && isFinalStatus(static_cast<unsigned>(response.status))))
        return;
    response.code = static_cast<int32_t>(ResultCode::MalformedAnswer);
    response.status = 0;
    response.headers.clear();
    response.body.clear();
}

wire::CallTransfer makeTransfer(const EntryCall& call, const CallHeaderNames& names, uint64_t id)
{
    const HttpRequest& source = call.exchange->request();
    wire::CallTransfer message;
    message.requestId = static_cast<int64_t>(id);
    message.traceId = call.requestId.value();
    message.remainingMicroseconds = toMicroseconds(call.deadline - BootClock::now());
    message.method = source.method;
    message.target = source.target;
    std::vector<HttpHeader> headers = source.headers;
    if (mayHoldApiKey(*call.routingTable)) {
        size_t removed = std::erase_if(
            headers, [&](const HttpHeader& header) { return equalsIgnoringCase(header.name, names.apiKey); });
        message.__set_omitsCredentials(removed > 0);
    }
    message.headers = toWire(headers);
    message.body = source.body;
    message.callerService = call.origin.service.value();
    const CallCredentials& credentials = call.origin.credentials;
    if (credentials.apiKey)
        message.__set_apiKeyHash(credentials.apiKey->bytes());
    if (credentials.parent) {
        message.__set_parentTenant(credentials.parent->name.value());
        message.__set_parentTenantPriority(static_cast<int32_t>(credentials.parent->priority));
    }
    return message;
}

CallOrigin originOf(const wire::CallTransfer& message)
{
    CallOrigin origin { .service = ServiceName(message.callerService) };
    origin.credentials.apiKey = ApiKeyHash::fromBytes(message.apiKeyHash);
    if (message.__isset.parentTenant)
        origin.credentials.parent = InheritedTenant { .name = TenantName(message.parentTenant),
            .priority = static_cast<uint32_t>(std::max(message.parentTenantPriority, 0)) };
    origin.credentials.isHeaderOmitted = message.omitsCredentials;
    return origin;
}

HttpRequest toHttpRequest(wire::CallTransfer message, const CallHeaderNames& names)
{
    HttpRequest request { .method = std::move(message.method), .target = std::move(message.target) };
    for (HttpHeader& header : fromWire(message.headers)) {
        bool isSetHere = isSetByNextDaemon(header.name, names) && !equalsIgnoringCase(header.name, names.hops);
        if (!isSetHere)
            request.headers.push_back({ std::move(header.name), std::move(header.value) });
    }
    int64_t milliseconds = std::max<int64_t>(message.remainingMicroseconds / 1000, 0);
    request.headers.push_back({ names.deadline, std::to_string(milliseconds) });
    if (request.header(names.requestId).empty())
        request.headers.push_back({ names.requestId, std::move(message.traceId) });
    request.headers.push_back({ transferredHeader, "1" });
    request.body = std::move(message.body);
    return request;
}

wire::ForwardResponse toForwardResponse(HttpResponse http)
{
    wire::ForwardResponse response;
    std::string_view code = http.header(CallHeaderNames().code);
    int32_t number = 0;
    std::from_chars(code.data(), code.data() + code.size(), number);
    response.code = number;
    response.status = static_cast<int32_t>(http.status);
    response.headers = toWire(http.headers);
    response.body = std::move(http.body);
    return response;
}

} // namespace dragonflylane
