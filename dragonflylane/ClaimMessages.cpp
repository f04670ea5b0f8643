#include "dragonflylane/ClaimMessages.h"

#include "dragonflylane/Digest.h"

namespace dragonflylane {

// Neither method nor target contains a space in HTTP, so the separators cannot be forged. A long target is hashed to
// keep the key within its limit.
std::string claimKey(std::string_view method, std::string_view target, const IdempotencyKey& key)
{
    constexpr size_t maxPlainTarget = 256;
    std::string place = target.size() <= maxPlainTarget ? std::string(target) : std::to_string(stableHash(target));
    return std::string(method) + ' ' + place + ' ' + key.value();
}

} // namespace dragonflylane
