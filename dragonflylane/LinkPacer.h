#pragma once

// The way of bytes from this host to the network, as a queue with a known rate.
//
//     LinkPacer pacer({ .bytesPerSecond = 250'000 });
//     pacer.queueChanged(frame.size(), 0);               // a frame waits in user space
//     if (pacer.maySend(now)) {
//         pacer.queueChanged(-frame.size(), 0);
//         pacer.sent(frame.size(), 0, now);              // it has been handed to the kernel
//     }
//     pacer.delay(now);                                  // until everything that waits has left
//
// Pattern: a slow link that is full of answers fills the socket buffers of all connections with seconds of data.
// Probes, heartbeats and changes of configuration wait behind it, and living hosts are declared dead. So the kernel
// gets no more than the link carries in a few milliseconds; the rest waits where frames of the control plane can
// overtake it and admission can see it. Everything is O(1).

#include "dragonflylane/BootClock.h"

#include <cstddef>
#include <cstdint>

namespace dragonflylane {

struct LinkPacerOptions {
    /// Rate of the link; zero: not known, nothing is paced.
    uint64_t bytesPerSecond { 0 };
    /// Part of the rate that is used; the rest is for datagrams, handshakes and acknowledgements.
    double share { 0.9 };
    /// Work that the kernel may hold.
    Duration burst { std::chrono::milliseconds(20) };
    /// Headers of the network for each write.
    size_t overheadBytes { 60 };
};

class LinkPacer {
public:
    explicit LinkPacer(LinkPacerOptions options = {});

    bool isLimited() const { return m_nanosecondsPerByte > 0; }
    /// A queue's bytes that wait for their turn have changed by so many, of which so many are of small answers.
    void queueChanged(std::ptrdiff_t bytes, std::ptrdiff_t smallBytes);
    /// An answer of this size is on its way.
    void noteAnswer(size_t bytes);
    /// Answers up to this size may pass the others: they cost those little.
    size_t smallAnswerBytes() const { return static_cast<size_t>(m_meanAnswer / smallAnswerShare); }
    /// Bytes were handed to the kernel in one write; so many of them went before large answers.
    void sent(size_t bytes, size_t passingBytes, TimePoint now);

    bool maySend(TimePoint now) const { return !isLimited() || m_busyUntil <= now + m_options.burst; }
    /// When maySend() turns true if nothing else is sent.
    TimePoint nextSend() const { return m_busyUntil - m_options.burst; }
    /// Time until all bytes that wait have left, at the rate that what passes large answers leaves to them.
    Duration delay(TimePoint now) const;
    /// The same for what goes before large answers.
    Duration smallDelay(TimePoint now) const;
    Duration timeFor(size_t bytes) const;
    /// The same for a large answer.
    Duration timeForLarge(size_t bytes, TimePoint now) const;
    /// A good size of one write.
    size_t batchBytes() const;
    /// A frame above this size occupies the link for too long as one piece.
    size_t segmentBytes() const;

private:
    // Part of the mean size.
    static constexpr double smallAnswerShare = 3;

    LinkPacerOptions m_options;
    double m_nanosecondsPerByte { 0 };
    std::ptrdiff_t m_queued { 0 };
    std::ptrdiff_t m_smallQueued { 0 };
    double m_meanAnswer { 0 };
    /// Fading sum of what passed large answers.
    double m_passed { 0 };
    TimePoint m_passedAt;
    TimePoint m_busyUntil;
};

} // namespace dragonflylane
