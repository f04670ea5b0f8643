#pragma once

// Proof that a peer belongs to the mesh: HMAC-SHA256 over a challenge, keyed by the shared secret and the mesh id.

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// Compares secrets without revealing by its duration where they differ.
bool equalInConstantTime(std::string_view, std::string_view);

/// The shared secret of a mesh. A mesh of one on loopback may have an empty one.
class MeshSecret {
public:
    MeshSecret(const std::string& meshId, const std::string& secret);

    /// Reads the secret from a file of 16 to 4096 bytes; white space at the end does not count.
    static std::error_code readFile(const std::string& path, std::string& secret);

    /// Full HMAC (32 bytes) over the parts; the length of each part is covered.
    std::string prove(std::string_view first, std::string_view second) const;
    /// Compares in constant time.
    bool verify(std::string_view first, std::string_view second, std::string_view proof) const;

    /// Appends a truncated HMAC (16 bytes) to a datagram.
    std::string seal(std::string_view datagram) const;
    /// Returns false if the seal is wrong; otherwise the datagram without it.
    bool open(std::string_view sealed, std::string_view& datagram) const;

    /// Random bytes for a challenge.
    static std::string makeNonce();

private:
    std::string m_key;
};

} // namespace dragonflylane
