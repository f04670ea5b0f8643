#pragma once

// Frames of one link that wait to be written, in two lanes.
//
// Heartbeats, the log and the distribution of configuration go before calls and their answers, so that a link that is
// full of answers neither seems dead nor holds a change of configuration up. Frames of one lane keep their order; a
// cancel and its request are in the same lane.

#include "dragonflylane/Frame.h"

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylane {

/// Queue of encoded frames. Not thread-safe.
class FrameQueue {
public:
    void push(FrameKind kind, std::string frame)
    {
        m_bytes += frame.size();
        (isControl(kind) ? m_control : m_calls).push_back(std::move(frame));
    }

    bool isEmpty() const { return m_control.empty() && m_calls.empty(); }
    size_t bytes() const { return m_bytes; }

    /// Removes the frames to write next: all control frames, then calls up to the given size, at least one frame.
    std::vector<std::string> takeBatch(size_t maxBytes)
    {
        std::vector<std::string> batch;
        size_t bytes = 0;
        for (auto* lane : { &m_control, &m_calls }) {
            while (
                !lane->empty() && (batch.empty() || lane == &m_control || bytes + lane->front().size() <= maxBytes)) {
                bytes += lane->front().size();
                batch.push_back(std::move(lane->front()));
                lane->pop_front();
            }
        }
        m_bytes -= bytes;
        return batch;
    }

private:
    static bool isControl(FrameKind kind)
    {
        switch (kind) {
        case FrameKind::Hello:
        case FrameKind::HelloProof:
        case FrameKind::Heartbeat:
        case FrameKind::Log:
        case FrameKind::Relay:
            return true;
        default:
            return false;
        }
    }

    std::deque<std::string> m_control;
    std::deque<std::string> m_calls;
    size_t m_bytes { 0 };
};

} // namespace dragonflylane
