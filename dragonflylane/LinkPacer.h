#pragma once

// Paces the bytes that this host sends, modelling its network link as a queue with a known rate.
//
//     LinkPacer pacer({ .bytesPerSecond = 250'000 });
//     pacer.queueChanged(frame.size(), 0);               // a frame was queued in user space
//     if (pacer.maySend(now)) {
//         pacer.queueChanged(-frame.size(), 0);
//         pacer.sent(frame.size(), 0, now);              // the frame was written to the socket
//     }
//     pacer.delay(now);                                  // time until all queued bytes have been sent
//
// Without pacing, responses that saturate a slow link fill the socket buffers of all connections with seconds of data.
// Probes, heartbeats and configuration changes wait behind them, and live hosts are declared dead. The kernel therefore
// gets no more than the link can send in a few milliseconds. The rest is queued in user space, where control-plane
// frames have priority and admission control takes it into account. All operations are O(1).

#include "dragonflylane/BootClock.h"

#include <cstddef>
#include <cstdint>

namespace dragonflylane {

struct LinkPacerOptions {
    /// Rate of the link. Zero if it is unknown; nothing is paced then.
    uint64_t bytesPerSecond { 0 };
    /// Share of the rate to use. The rest is for datagrams, handshakes and acknowledgements.
    double share { 0.9 };
    /// Sending time of the data that the kernel may buffer.
    Duration burst { std::chrono::milliseconds(20) };
    /// Network headers per write.
    size_t overheadBytes { 60 };
};

class LinkPacer {
public:
    explicit LinkPacer(LinkPacerOptions options = {});

    bool isLimited() const { return m_nanosecondsPerByte > 0; }
    /// Records a change of the number of queued bytes, and of the part of them that belongs to small responses.
    void queueChanged(std::ptrdiff_t bytes, std::ptrdiff_t smallBytes);
    /// Records the size of a response for the mean response size.
    void recordResponseSize(size_t bytes);
    /// Responses up to this size are sent before larger ones, which they delay little.
    size_t smallAnswerBytes() const { return static_cast<size_t>(m_meanResponseBytes / smallResponseDivisor); }
    /// Records bytes passed to the kernel in one write. `priorityBytes` of them were sent before large responses.
    void sent(size_t bytes, size_t priorityBytes, TimePoint now);

    bool maySend(TimePoint now) const { return !isLimited() || m_busyUntil <= now + m_options.burst; }
    /// Returns when maySend() becomes true if nothing else is sent.
    TimePoint nextSend() const { return m_busyUntil - m_options.burst; }
    /// Time until all queued bytes have been sent, at the rate that prioritised traffic leaves for large responses.
    Duration delay(TimePoint now) const;
    /// Time until the queued bytes of small responses have been sent.
    Duration smallResponseDelay(TimePoint now) const;
    /// Sending time of this many bytes at the full rate.
    Duration sendingTime(size_t bytes) const;
    /// Sending time of a large response at the rate that prioritised traffic leaves.
    Duration largeResponseTime(size_t bytes, TimePoint now) const;
    /// Preferred size of one write.
    size_t batchBytes() const;
    /// Larger frames are split into segments, since they would occupy the link for too long.
    size_t segmentBytes() const;

private:
    // Responses are small up to the mean size divided by this.
    static constexpr double smallResponseDivisor = 3;

    LinkPacerOptions m_options;
    double m_nanosecondsPerByte { 0 };
    std::ptrdiff_t m_queued { 0 };
    std::ptrdiff_t m_smallQueued { 0 };
    double m_meanResponseBytes { 0 };
    /// Exponentially decaying sum of the bytes sent before large responses.
    double m_priorityBytes { 0 };
    TimePoint m_priorityBytesAt;
    TimePoint m_busyUntil;
};

} // namespace dragonflylane
