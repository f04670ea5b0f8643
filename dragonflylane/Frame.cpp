#include "dragonflylane/Frame.h"

#include "dragonflylane/ResultCode.h"

namespace dragonflylane {

std::string encodeFrame(FrameKind kind, std::string_view payload)
{
    std::string frame;
    frame.reserve(frameHeaderBytes + payload.size());
    auto length = static_cast<uint32_t>(payload.size());
    for (unsigned shift = 0; shift < 32; shift += 8)
        frame += static_cast<char>(length >> shift);
    frame += static_cast<char>(kind);
    frame.append(payload);
    return frame;
}

std::error_code decodeFrame(std::string_view buffer, size_t maxPayloadBytes, FrameView& frame)
{
    frame = {};
    if (buffer.size() < frameHeaderBytes)
        return {};
    uint32_t length = 0;
    for (unsigned i = 0; i < 4; ++i)
        length |= static_cast<uint32_t>(static_cast<unsigned char>(buffer[i])) << (8 * i);
    if (length > maxPayloadBytes)
        return ResultCode::FrameTooLarge;
    frame.kind = static_cast<FrameKind>(static_cast<uint8_t>(buffer[4]));
    if (buffer.size() < frameHeaderBytes + length)
        return {};
    frame.payload = buffer.substr(frameHeaderBytes, length);
    frame.size = frameHeaderBytes + length;
    return {};
}

} // namespace dragonflylane
