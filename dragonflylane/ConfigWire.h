#pragma once

// Encoding of the configuration for the wire and for log snapshots: Thrift compact protocol (wire/config.thrift), with
// snapshots compressed by zstd. Decoders check sizes before they allocate. They return MalformedFrame for input that is
// not exactly one well-formed value, and FrameTooLarge for values over the limits. They do not check the consistency of
// the items, which is the task of ConfigState::validate().

#include "dragonflylane/ConfigPayload.h"
#include "dragonflylane/ConfigState.h"

namespace dragonflylane {

/// Limits on decoding.
struct ConfigWireLimits {
    /// Limit before compression. Twice ConfigState::maxBytes, which counts a longer encoding, so that every valid state
    /// can be decoded.
    static constexpr size_t snapshotBytes = size_t { 8 } << 20;
    static constexpr size_t payloadBytes = size_t { 8 } << 20;
};

std::string encodeDelta(const ConfigDelta&);
std::error_code decodeDelta(std::string_view, ConfigDelta*);

/// Returns a compressed snapshot.
std::string encodeSnapshot(const ConfigState&);
/// Returns an uncompressed snapshot, to compare sizes.
std::string encodeRawSnapshot(const ConfigState&);
/// Also returns DigestMismatch if the digest of the items differs from the digest in the snapshot.
std::error_code decodeSnapshot(std::string_view, ConfigState*, bool checkDigest = true);

/// Size of a delta in a payload, where large deltas are compressed.
size_t transmittedBytes(const ConfigDelta&);
std::string encodePayload(const ConfigPayload&);
std::error_code decodePayload(std::string_view, ConfigPayload*);

/// Compression with zstd. decompress() bounds the size of the result.
std::string compress(std::string_view);
std::error_code decompress(std::string_view, size_t maxBytes, std::string* result);

/// Compression with zstd and `base` as prefix, so that the size of the result is about that of the difference between
/// the two texts. Empty if zstd fails.
std::string compressAgainst(std::string_view base, std::string_view bytes);
std::error_code decompressAgainst(std::string_view base, std::string_view bytes, size_t maxBytes, std::string* result);

} // namespace dragonflylane
