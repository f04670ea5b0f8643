#pragma once

// What a call presents to be let in, as the entry daemon that the caller connects to has found it.

#include "dragonflylane/ApiKeyHash.h"
#include "dragonflylane/Ids.h"

#include <cstdint>
#include <optional>

namespace dragonflylane {

/// Tenant of a running call, as its nested calls inherit it.
struct InheritedTenant {
    /// Empty if the running call has no tenant.
    TenantName name;
    uint32_t priority { 0 };
};

struct CallCredentials {
    /// Empty if the caller presented no API key.
    std::optional<ApiKeyHash> apiKey;
    /// Set if the call is nested in one that runs at the upstream of the host where it entered the mesh.
    std::optional<InheritedTenant> parent;
    /// The daemon where the call entered has transferred it without the header with the credentials, since it could not
    /// tell whether the mesh requires API keys.
    bool isHeaderOmitted { false };
};

} // namespace dragonflylane
