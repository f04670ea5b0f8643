#include "dragonflylane/CallerAuthentication.h"

#include "dragonflylane/CallCredentials.h"
#include "dragonflylane/RoutingTable.h"

namespace dragonflylane {

ResultCode authenticateCaller(const RoutingTable& routingTable, bool isPublicRoute, const CallCredentials& credentials,
    AuthenticatedCaller* caller)
{
    *caller = {};
    bool isRequired = routingTable.policy().requiresApiKeys;
    caller->isNested = credentials.parent && !(isRequired && credentials.apiKey);
    if (!isRequired)
        return credentials.isHeaderOmitted ? ResultCode::ConfigNotProven : ResultCode::Ok;
    if (caller->isNested) {
        caller->tenant = credentials.parent->name;
        caller->tenantPriority = credentials.parent->priority;
        return ResultCode::Ok;
    }
    const TenantEntry* tenant = credentials.apiKey ? routingTable.findTenant(*credentials.apiKey) : nullptr;
    if (tenant) {
        caller->tenant = tenant->name;
        caller->tenantPriority = tenant->priority;
        return ResultCode::Ok;
    }
    return isPublicRoute ? ResultCode::Ok : ResultCode::ApiKeyUnknown;
}

} // namespace dragonflylane
