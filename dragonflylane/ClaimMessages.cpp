#include "dragonflylane/ClaimMessages.h"

namespace dragonflylane {

// A service name contains no zero byte, so the separator cannot be forged.
std::string claimKey(const ServiceName& service, const IdempotencyKey& key)
{
    return service.value() + '\0' + key.value();
}

} // namespace dragonflylane
