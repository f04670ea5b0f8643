#include "dragonflylane/FrameSegments.h"

#include "dragonflylane/ResultCode.h"

#include <utility>

namespace dragonflylane {

namespace {

    // A segment starts with one byte for the lane and one that is 1 in the last segment of the frame.
    constexpr size_t headerBytes = 2;

} // namespace

std::vector<std::string> splitFrame(FrameLane lane, std::string frame, size_t maxBytes)
{
    std::vector<std::string> segments;
    if (maxBytes == 0 || frame.size() <= maxBytes) {
        segments.push_back(std::move(frame));
        return segments;
    }
    for (size_t offset = 0; offset < frame.size(); offset += maxBytes) {
        bool isLast = offset + maxBytes >= frame.size();
        std::string payload { static_cast<char>(lane), static_cast<char>(isLast) };
        payload.append(frame, offset, maxBytes);
        segments.push_back(encodeFrame(FrameKind::Segment, payload));
    }
    return segments;
}

size_t FrameReassembler::bytes() const
{
    size_t sum = 0;
    for (const std::string& partial : m_partial)
        sum += partial.size();
    return sum;
}

std::error_code FrameReassembler::add(std::string_view payload, std::string& frame)
{
    frame.clear();
    if (payload.size() < headerBytes)
        return ResultCode::MalformedFrame;
    auto lane = static_cast<size_t>(static_cast<uint8_t>(payload[0]));
    auto isLast = static_cast<uint8_t>(payload[1]);
    if (lane >= frameLaneCount || isLast > 1)
        return ResultCode::MalformedFrame;
    std::string& partial = m_partial[lane];
    std::string_view bytes = payload.substr(headerBytes);
    if (partial.size() + bytes.size() > frameHeaderBytes + maxFramePayloadBytes)
        return ResultCode::FrameTooLarge;
    partial.append(bytes);
    if (isLast != 0)
        frame = std::exchange(partial, std::string());
    return {};
}

} // namespace dragonflylane
