#include "dragonflylane/MeshSecret.h"

#include "dragonflylane/ResultCode.h"

#include <fstream>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <sstream>

namespace dragonflylane {

namespace {

    constexpr size_t proofBytes = 32;
    constexpr size_t sealBytes = 16;
    constexpr size_t nonceBytes = 16;
    constexpr size_t minSecretBytes = 16;
    constexpr size_t maxSecretBytes = 4096;

    std::string hmac(const std::string& key, std::string_view data)
    {
        std::string out(proofBytes, '\0');
        unsigned length = proofBytes;
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
            reinterpret_cast<const unsigned char*>(data.data()), data.size(),
            reinterpret_cast<unsigned char*>(out.data()), &length);
        return out;
    }

} // namespace

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

MeshSecret::MeshSecret(const std::string& meshId, const std::string& secret)
    : m_key(hmac(secret, meshId))
{
}

std::error_code MeshSecret::readFile(const std::string& path, std::string& secret)
{
    std::ifstream stream(path, std::ios::binary);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream)
        return ResultCode::FileUnreadable;
    secret = text.str();
    secret.erase(secret.find_last_not_of(" \t\r\n") + 1);
    if (secret.size() < minSecretBytes || secret.size() > maxSecretBytes)
        return ResultCode::SettingOutOfRange;
    return {};
}

std::string MeshSecret::prove(std::string_view first, std::string_view second) const
{
    std::string data = std::to_string(first.size()) + ":";
    data.append(first).append(second);
    return hmac(m_key, data);
}

bool MeshSecret::verify(std::string_view first, std::string_view second, std::string_view proof) const
{
    return equalInConstantTime(prove(first, second), proof);
}

std::string MeshSecret::seal(std::string_view datagram) const
{
    std::string sealed(datagram);
    sealed.append(hmac(m_key, datagram), 0, sealBytes);
    return sealed;
}

bool MeshSecret::open(std::string_view sealed, std::string_view& datagram) const
{
    if (sealed.size() < sealBytes)
        return false;
    datagram = sealed.substr(0, sealed.size() - sealBytes);
    return equalInConstantTime(
        std::string_view(hmac(m_key, datagram)).substr(0, sealBytes), sealed.substr(sealed.size() - sealBytes));
}

std::string MeshSecret::makeNonce()
{
    std::string nonce(nonceBytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonceBytes));
    return nonce;
}

} // namespace dragonflylane
