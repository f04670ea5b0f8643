#pragma once

// Encoding of the configuration for the wire and for log snapshots: Thrift compact protocol (wire/config.thrift),
// snapshots compressed with zstd. Decoders check sizes before they allocate, return MalformedFrame for anything that
// is not exactly one well-formed value, and FrameTooLarge for one over the limits. They do not check whether the items
// are consistent; ConfigState::validate() does.

#include "dragonflylane/ConfigPayload.h"
#include "dragonflylane/ConfigState.h"

namespace dragonflylane {

/// Limits on decoding.
struct ConfigWireLimits {
    /// Twice ConfigState::maxBytes, which is counted in a longer encoding, so every valid state decodes.
    static constexpr size_t snapshotBytes = size_t { 8 } << 20;
    static constexpr size_t payloadBytes = size_t { 8 } << 20;
};

std::string encodeDelta(const ConfigDelta&);
std::error_code decodeDelta(std::string_view, ConfigDelta*);

/// Compressed snapshot. The second form is not compressed, to compare sizes.
std::string encodeSnapshot(const ConfigState&);
std::string encodeRawSnapshot(const ConfigState&);
/// Also returns DigestMismatch if the digest of the items is not the one that the snapshot states.
std::error_code decodeSnapshot(std::string_view, ConfigState*, bool checkDigest = true);

/// Bytes that a delta takes in a payload: a large one is compressed.
size_t transmittedBytes(const ConfigDelta&);
std::string encodePayload(const ConfigPayload&);
std::error_code decodePayload(std::string_view, ConfigPayload*);

/// zstd with a bounded result.
std::string compress(std::string_view);
std::error_code decompress(std::string_view, size_t maxBytes, std::string* result);

/// zstd with another text as prefix, so that the result is about as long as the difference between the two. Empty if
/// the library fails.
std::string compressAgainst(std::string_view base, std::string_view bytes);
std::error_code decompressAgainst(std::string_view base, std::string_view bytes, size_t maxBytes, std::string* result);

} // namespace dragonflylane
