#pragma once

// Framing of messages between daemons: 4 bytes of payload length (little endian), 1 byte of kind, payload.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

/// What the payload of a frame holds.
enum class FrameKind : uint8_t {
    Hello = 1,
    HelloProof = 2,
    /// Response to a probe.
    Heartbeat = 3,
    /// Liveness check, to which the peer responds with a heartbeat.
    Probe = 4,
    /// Part of a large frame, see FrameSegments.
    Segment = 5,
    ForwardRequest = 10,
    ForwardResponse = 11,
    ForwardCancel = 12,
    CallTransfer = 13,
    Log = 20,
    Relay = 21,
    Claim = 22,
    CrashSync = 23,
    Quota = 24,
    ApiRequest = 25,
    ApiResponse = 26,
    Rollout = 27,
    Departure = 28,
};

inline constexpr size_t frameHeaderBytes = 5;
/// Exceeds the largest snapshot.
inline constexpr size_t maxFramePayloadBytes = 16 << 20;
/// Largest body of a request or response that passes between daemons. The rest of a frame is for headers.
inline constexpr size_t maxForwardedBodyBytes = maxFramePayloadBytes - (2 << 20);
/// Limit during the handshake, until the peer has proved that it belongs to the mesh.
inline constexpr size_t maxHandshakePayloadBytes = 1024;

/// Header and payload as one string.
std::string encodeFrame(FrameKind, std::string_view payload);

/// The first frame in a buffer.
struct FrameView {
    FrameKind kind { FrameKind::Heartbeat };
    std::string_view payload;
    /// Bytes of the buffer that the frame occupies; zero if the frame is incomplete.
    size_t size { 0 };
};

/// Reads the first frame of a buffer. Returns FrameTooLarge if its length exceeds the limit.
std::error_code decodeFrame(std::string_view buffer, size_t maxPayloadBytes, FrameView&);

} // namespace dragonflylane
