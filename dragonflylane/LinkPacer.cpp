#include "dragonflylane/LinkPacer.h"

#include "dragonflylane/HalfLife.h"

#include <algorithm>
#include <numbers>

namespace dragonflylane {

namespace {

    // What is being written can no longer be overtaken, and small writes cost processor time.
    constexpr size_t minBatchBytes = 2 << 10;
    constexpr size_t maxBatchBytes = 16 << 10;
    // Each piece costs a write.
    constexpr size_t minSegmentBytes = 4 << 10;
    constexpr double answerWeight = 0.02;
    constexpr Duration passedHalfLife = std::chrono::milliseconds(500);
    constexpr double leastLargeShare = 0.2;

} // namespace

LinkPacer::LinkPacer(LinkPacerOptions options)
    : m_options(options)
{
    double rate = static_cast<double>(options.bytesPerSecond) * options.share;
    if (rate > 0)
        m_nanosecondsPerByte = std::nano::den / rate;
}

void LinkPacer::queueChanged(std::ptrdiff_t bytes, std::ptrdiff_t smallBytes)
{
    m_queued += bytes;
    m_smallQueued += smallBytes;
}

void LinkPacer::noteAnswer(size_t bytes)
{
    auto size = static_cast<double>(bytes);
    m_meanAnswer = m_meanAnswer == 0 ? size : m_meanAnswer + answerWeight * (size - m_meanAnswer);
}

void LinkPacer::sent(size_t bytes, size_t passingBytes, TimePoint now)
{
    if (!isLimited())
        return;
    m_passed = m_passed * remainingShare(now - m_passedAt, passedHalfLife) + static_cast<double>(passingBytes);
    m_passedAt = now;
    m_busyUntil = std::max(m_busyUntil, now) + timeFor(bytes + m_options.overheadBytes);
}

Duration LinkPacer::delay(TimePoint now) const
{
    return std::max(m_busyUntil - now, Duration::zero()) + timeForLarge(static_cast<size_t>(m_queued), now);
}

Duration LinkPacer::smallDelay(TimePoint now) const
{
    return std::max(m_busyUntil - now, Duration::zero()) + timeFor(static_cast<size_t>(m_smallQueued));
}

Duration LinkPacer::timeFor(size_t bytes) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(bytes) * m_nanosecondsPerByte));
}

Duration LinkPacer::timeForLarge(size_t bytes, TimePoint now) const
{
    // A fading sum holds the bytes of 1 / ln 2 half-lives at a steady rate.
    double window = static_cast<double>(passedHalfLife.count()) / std::numbers::ln2;
    double passed = m_passed * remainingShare(now - m_passedAt, passedHalfLife);
    double share = passed * m_nanosecondsPerByte / window;
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(bytes) * m_nanosecondsPerByte / std::max(1 - share, leastLargeShare)));
}

size_t LinkPacer::batchBytes() const
{
    if (!isLimited())
        return maxBatchBytes;
    auto bytes = static_cast<size_t>(static_cast<double>(m_options.burst.count()) / m_nanosecondsPerByte);
    return std::clamp(bytes, minBatchBytes, maxBatchBytes);
}

size_t LinkPacer::segmentBytes() const
{
    return std::max(batchBytes(), minSegmentBytes);
}

} // namespace dragonflylane
