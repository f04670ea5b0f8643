#include "dragonflylane/Fingerprint.h"

#include "dragonflylane/Digest.h"

namespace dragonflylane {

// Each part is hashed with the hash of the parts before it as seed, so moving a byte from one part to the next changes
// the result.
Fingerprint requestFingerprint(
    const ServiceName& service, std::string_view method, std::string_view target, std::string_view body)
{
    uint64_t hash = stableHash(service.value());
    hash = stableHash(method, hash);
    hash = stableHash(target, hash);
    return Fingerprint(stableHash(body, hash));
}

} // namespace dragonflylane
