#pragma once

// Send queue of one link, with four priority lanes.
//
// - Control: heartbeats, the replicated log and the distribution of configuration. They go first, so that a link with
//   many queued responses neither looks dead nor delays a change of configuration.
// - Short: requests, cancels and refusals of calls. A refusal that waited behind responses would use up the time in
//   which another owner could have served the call.
// - Small: small responses (shortest job first).
// - Bulk: large responses and large requests.
//
// Frames of one lane keep their order, and a cancel never overtakes its request. Large frames are split into segments,
// so that other frames can be sent between them.

#include "dragonflylane/Frame.h"
#include "dragonflylane/FrameSegments.h"

#include <cstddef>
#include <deque>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace dragonflylane {

/// Queue of encoded frames. Not thread-safe.
class FrameQueue {
public:
    /// Responses up to this size are refusals, which have no body, and use the Short lane.
    static constexpr size_t maxShortAnswerBytes = 256;

    /// Responses up to `smallAnswerBytes` are sent before larger ones. Frames above `segmentBytes` are split; zero
    /// means that no frame is split.
    void push(FrameKind kind, std::string frame, size_t smallAnswerBytes = 0, size_t segmentBytes = 0)
    {
        FrameLane lane = laneOf(kind, frame.size(), smallAnswerBytes);
        for (std::string& segment : splitFrame(lane, std::move(frame), segmentBytes))
            pushOne(lane, kind, std::move(segment));
    }

    bool isEmpty() const { return m_control.empty() && m_short.empty() && m_small.empty() && m_bulk.empty(); }
    /// True if there are frames of the Control or Short lane, which do not wait for the pacer.
    bool hasUrgent() const { return !m_control.empty() || !m_short.empty(); }
    /// True if there are small responses. They are sent before large responses of other links, too.
    bool hasSmall() const { return !m_small.empty(); }
    size_t bytes() const { return m_bytes; }
    size_t smallBytes() const { return m_smallBytes; }
    size_t bulkBytes() const { return m_bulkBytes; }

    /// Removes and returns the frames to write next: all urgent frames, then others while the total does not exceed
    /// `maxBytes`. Returns at least one frame unless the queue is empty.
    std::vector<std::string> takeBatch(size_t maxBytes)
    {
        std::vector<std::string> batch = takeUrgent();
        size_t bytes = 0;
        for (const std::string& frame : batch)
            bytes += frame.size();
        for (auto* lane : { &m_small, &m_bulk }) {
            while (!lane->empty() && (batch.empty() || bytes + lane->front().bytes.size() <= maxBytes)) {
                bytes += lane->front().bytes.size();
                take(*lane, batch);
            }
        }
        return batch;
    }

    /// Removes and returns the urgent frames only.
    std::vector<std::string> takeUrgent()
    {
        std::vector<std::string> batch;
        for (auto* lane : { &m_control, &m_short }) {
            while (!lane->empty())
                take(*lane, batch);
        }
        return batch;
    }

private:
    struct Item {
        /// Kind of the whole frame if this is a segment.
        FrameKind kind;
        std::string bytes;
    };

    // Larger requests use the Bulk lane. A request without a body has about 250 bytes.
    static constexpr size_t maxShortRequestBytes = 4 << 10;

    void pushOne(FrameLane lane, FrameKind kind, std::string frame)
    {
        m_bytes += frame.size();
        if (lane == FrameLane::Bulk && kind == FrameKind::ForwardRequest)
            ++m_bulkRequests;
        if (lane == FrameLane::Small)
            m_smallBytes += frame.size();
        if (lane == FrameLane::Bulk)
            m_bulkBytes += frame.size();
        laneQueue(lane).push_back({ kind, std::move(frame) });
    }

    FrameLane laneOf(FrameKind kind, size_t bytes, size_t smallAnswerBytes) const
    {
        switch (kind) {
        case FrameKind::Hello:
        case FrameKind::HelloProof:
        case FrameKind::Heartbeat:
        case FrameKind::Probe:
        case FrameKind::Log:
        case FrameKind::Relay:
        case FrameKind::CrashSync:
        case FrameKind::Quota:
        case FrameKind::Rollout:
        case FrameKind::Departure:
            return FrameLane::Control;
        case FrameKind::ForwardRequest:
            return bytes <= maxShortRequestBytes ? FrameLane::Short : FrameLane::Bulk;
        case FrameKind::ForwardResponse:
            return bytes <= maxShortAnswerBytes ? FrameLane::Short
                : bytes <= smallAnswerBytes     ? FrameLane::Small
                                                : FrameLane::Bulk;
        case FrameKind::ForwardCancel:
            return m_bulkRequests == 0 ? FrameLane::Short : FrameLane::Bulk;
        default:
            return FrameLane::Bulk;
        }
    }

    std::deque<Item>& laneQueue(FrameLane lane)
    {
        if (lane == FrameLane::Control)
            return m_control;
        if (lane == FrameLane::Short)
            return m_short;
        return lane == FrameLane::Small ? m_small : m_bulk;
    }

    void take(std::deque<Item>& lane, std::vector<std::string>& batch)
    {
        m_bytes -= lane.front().bytes.size();
        if (&lane == &m_small)
            m_smallBytes -= lane.front().bytes.size();
        if (&lane == &m_bulk)
            m_bulkBytes -= lane.front().bytes.size();
        if (&lane == &m_bulk && lane.front().kind == FrameKind::ForwardRequest)
            --m_bulkRequests;
        batch.push_back(std::move(lane.front().bytes));
        lane.pop_front();
    }

    std::deque<Item> m_control;
    std::deque<Item> m_short;
    std::deque<Item> m_small;
    std::deque<Item> m_bulk;
    size_t m_bulkRequests { 0 };
    size_t m_smallBytes { 0 };
    size_t m_bulkBytes { 0 };
    size_t m_bytes { 0 };
};

} // namespace dragonflylane
