#include "dragonflylane/Digest.h"

#include <cstdio>
#include <xxhash.h>

namespace dragonflylane {

namespace {

    // The key's length separates key and value, so ("ab", "c") and ("a", "bc") differ.
    XXH128_hash_t hashItem(std::string_view key, std::string_view value)
    {
        uint64_t seed = XXH3_64bits_withSeed(key.data(), key.size(), key.size());
        return XXH3_128bits_withSeed(value.data(), value.size(), seed);
    }

} // namespace

void Digest::add(std::string_view key, std::string_view value)
{
    XXH128_hash_t hash = hashItem(key, value);
    m_high += hash.high64;
    m_low += hash.low64;
}

void Digest::remove(std::string_view key, std::string_view value)
{
    XXH128_hash_t hash = hashItem(key, value);
    m_high -= hash.high64;
    m_low -= hash.low64;
}

std::string Digest::toString() const
{
    char text[33];
    std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(m_high),
        static_cast<unsigned long long>(m_low));
    return text;
}

uint64_t stableHash(std::string_view bytes, uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace dragonflylane
