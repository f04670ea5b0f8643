#include "dragonflylane/Fingerprint.h"

#include "dragonflylane/Digest.h"

namespace dragonflylane {

// Each part is hashed with the hash of the previous parts as the seed, so the result depends on where the parts end.
Fingerprint requestFingerprint(
    std::string_view host, std::string_view method, std::string_view target, std::string_view body)
{
    uint64_t hash = stableHash(host);
    hash = stableHash(method, hash);
    hash = stableHash(target, hash);
    return Fingerprint(stableHash(body, hash));
}

} // namespace dragonflylane
