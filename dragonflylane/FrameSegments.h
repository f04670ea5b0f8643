#pragma once

// Large frames in pieces, so that other frames of the same link can go between them.
//
//     std::vector<std::string> segments = splitFrame(lane, frame, maxBytes);
//     FrameAssembly assembly;
//     std::error_code error = assembly.add(segmentPayload, whole);    // whole is empty until the last piece
//
// Pattern: a host whose link carries 1 MB/s sends downloads of 90 to 540 kB. Written as one piece each, they occupy the
// link for 80 to 470 ms, and every short answer, also of other links, waits for that; callers of running work hold
// their slots meanwhile. The frames of one lane keep their order, so that at most one frame of each lane is incomplete.

#include "dragonflylane/Frame.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace dragonflylane {

/// Lanes of one link, see FrameQueue.
enum class FrameLane : uint8_t {
    Control,
    Short,
    Small,
    Bulk,
};

inline constexpr size_t frameLaneCount = 4;

/// Cuts an encoded frame into encoded frames of the kind Segment that carry at most so many bytes of it each. A frame
/// that is not longer stays as it is.
std::vector<std::string> splitFrame(FrameLane, std::string frame, size_t maxBytes);

/// Puts the pieces of frames together again. Holds at most one frame for each lane.
class FrameAssembly {
public:
    /// Takes the payload of a Segment. With the last piece of a frame, `frame` becomes the encoded frame; otherwise it
    /// is emptied. Errors: MalformedFrame, FrameTooLarge.
    std::error_code add(std::string_view payload, std::string& frame);
    /// Held of incomplete frames.
    size_t bytes() const;

private:
    std::array<std::string, frameLaneCount> m_partial;
};

} // namespace dragonflylane
