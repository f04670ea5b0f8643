#pragma once

// Authenticates peers as members of the mesh: HMAC-SHA256 over a challenge, keyed by the shared secret and the mesh id.

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// Compares strings of equal length in constant time, so that the duration does not reveal where secrets differ.
bool equalInConstantTime(std::string_view, std::string_view);

/// The shared secret of a mesh. It may be empty only for a mesh with a single host on loopback.
class MeshSecret {
public:
    MeshSecret(const std::string& meshId, const std::string& secret);

    /// Reads a secret of 16 to 4096 bytes from a file; trailing white space is ignored. Returns FileUnreadable or
    /// SettingOutOfRange.
    static std::error_code readFile(const std::string& path, std::string& secret);

    /// Returns the full HMAC (32 bytes) over both parts. It covers the length of the first, so that the boundary
    /// between the parts is authenticated too.
    std::string prove(std::string_view first, std::string_view second) const;
    /// Checks a proof in constant time.
    bool verify(std::string_view first, std::string_view second, std::string_view proof) const;

    /// Returns the datagram followed by its truncated HMAC (16 bytes).
    std::string seal(std::string_view datagram) const;
    /// Verifies the HMAC of a sealed datagram and sets `datagram` to the part before it. Returns false if the HMAC does
    /// not match.
    bool open(std::string_view sealed, std::string_view& datagram) const;

    /// Returns 16 random bytes for a challenge.
    static std::string makeNonce();

private:
    std::string m_key;
};

} // namespace dragonflylane
