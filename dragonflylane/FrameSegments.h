#pragma once

// Splits large frames into segments, so that other frames can be sent between the segments on the same link.
//
//     std::vector<std::string> segments = splitFrame(lane, frame, maxBytes);
//     FrameReassembler reassembler;
//     std::error_code error = reassembler.add(segmentPayload, whole);    // whole is empty until the last segment
//
// Failure mode without segments: a host whose network link has 1 MB/s sends downloads of 90 to 540 kB, and each of them
// occupies the link for 80 to 470 ms. Meanwhile every short response waits, including those on other connections of the
// host, and the calls that need these responses occupy their slots. The frames of one lane keep their order, so at most
// one frame of each lane is incomplete.

#include "dragonflylane/Frame.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace dragonflylane {

/// Priority lanes of one link, see FrameQueue.
enum class FrameLane : uint8_t {
    Control,
    Short,
    Small,
    Bulk,
};

inline constexpr size_t frameLaneCount = 4;

/// Splits an encoded frame into encoded frames of kind Segment with at most `maxBytes` bytes of it each. Returns the
/// frame itself if it is not longer than that, or if `maxBytes` is zero.
std::vector<std::string> splitFrame(FrameLane, std::string frame, size_t maxBytes);

/// Reassembles frames from segments. Holds at most one incomplete frame for each lane.
class FrameReassembler {
public:
    /// Adds the payload of a Segment. After the last segment of a frame, `frame` is the encoded frame; otherwise it is
    /// set to empty. Errors: MalformedFrame, FrameTooLarge.
    std::error_code add(std::string_view payload, std::string& frame);
    /// Total size of the incomplete frames.
    size_t bytes() const;

private:
    std::array<std::string, frameLaneCount> m_partial;
};

} // namespace dragonflylane
