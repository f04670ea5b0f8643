#include "dragonflylane/ApiKeyHash.h"

#include <algorithm>
#include <openssl/sha.h>

namespace dragonflylane {

static_assert(ApiKeyHash::length == SHA256_DIGEST_LENGTH);

ApiKeyHash ApiKeyHash::of(std::string_view key)
{
    ApiKeyHash hash;
    std::array<unsigned char, length> digest {};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    std::copy(digest.begin(), digest.end(), hash.m_bytes.begin());
    return hash;
}

std::optional<ApiKeyHash> ApiKeyHash::fromBytes(std::string_view bytes)
{
    if (bytes.size() != length)
        return std::nullopt;
    ApiKeyHash hash;
    std::copy(bytes.begin(), bytes.end(), hash.m_bytes.begin());
    return hash;
}

} // namespace dragonflylane
