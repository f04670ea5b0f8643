#include "dragonflylane/CallRouting.h"

#include "dragonflylane/EntryCall.h"

#include <algorithm>
#include <cctype>

namespace dragonflylane {

namespace {

    void setDeadlines(EntryCall& call, const RouteEntry& route, Duration defaultTimeout)
    {
        TimePoint received = call.exchange->received();
        if (!call.headers.timeout) {
            auto timeout = call.routingTable->timeout(route, call.service);
            call.deadline = received + (timeout.count() > 0 ? timeout : defaultTimeout);
            call.callerDeadline = call.deadline;
        } else if (route.timeout.count() > 0) {
            call.deadline = std::min(call.deadline, received + route.timeout);
        }
        call.target = route.targetLatency.count() > 0 ? received + route.targetLatency : call.deadline;
    }

} // namespace

std::string hostName(const HttpRequest& request)
{
    std::string_view field = request.header("Host");
    std::string host(field.substr(0, field.rfind(':')));
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char c) { return std::tolower(c); });
    return host;
}

ResultCode routeCall(EntryCall& call, Duration defaultTimeout, TimePoint now)
{
    const HttpRequest& request = call.exchange->request();
    const RouteEntry* route = call.routingTable->findRoute(hostName(request), request.target);
    if (!route)
        return ResultCode::NoRoute;
    // A retry with the same idempotency key selects the same service of a traffic split.
    const std::string& seed = call.headers.key.isEmpty() ? call.requestId.value() : call.headers.key.value();
    call.service = route->select(stableHash(seed));
    const ServiceEntry& service = call.routingTable->service(call.service);
    call.serviceName = service.name;
    call.isIdempotent = route->isIdempotent(request.method);
    setDeadlines(call, *route, defaultTimeout);
    call.priority = route->priority;
    call.routeKey = stableHash(route->name.value());
    call.maxAttempts = route->maxAttempts > 0 ? route->maxAttempts : service.maxAttempts;
    call.isPublicRoute = route->isPublic;
    if (!call.routingTable->mayCall(call.headers.caller.value(), call.service))
        return ResultCode::CallerNotAllowed;
    if (now >= call.deadline)
        return ResultCode::DeadlineExceeded;
    return ResultCode::Ok;
}

} // namespace dragonflylane
