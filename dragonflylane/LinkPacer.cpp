#include "dragonflylane/LinkPacer.h"

#include "dragonflylane/HalfLife.h"

#include <algorithm>
#include <numbers>

namespace dragonflylane {

namespace {

    // Small batches keep high-priority frames from waiting behind a write in progress; very small ones cost CPU time.
    constexpr size_t minBatchBytes = 2 << 10;
    constexpr size_t maxBatchBytes = 16 << 10;
    // Each segment takes a separate write, so segments must not be too small.
    constexpr size_t minSegmentBytes = 4 << 10;
    constexpr double meanResponseSmoothing = 0.02;
    constexpr Duration priorityHalfLife = std::chrono::milliseconds(500);
    constexpr double minLargeResponseShare = 0.2;

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

void LinkPacer::recordResponseSize(size_t bytes)
{
    auto size = static_cast<double>(bytes);
    m_meanResponseBytes
        = m_meanResponseBytes == 0 ? size : m_meanResponseBytes + meanResponseSmoothing * (size - m_meanResponseBytes);
}

void LinkPacer::sent(size_t bytes, size_t priorityBytes, TimePoint now)
{
    if (!isLimited())
        return;
    m_priorityBytes
        = m_priorityBytes * decayFactor(now - m_priorityBytesAt, priorityHalfLife) + static_cast<double>(priorityBytes);
    m_priorityBytesAt = now;
    m_busyUntil = std::max(m_busyUntil, now) + sendingTime(bytes + m_options.overheadBytes);
}

Duration LinkPacer::delay(TimePoint now) const
{
    return std::max(m_busyUntil - now, Duration::zero()) + largeResponseTime(static_cast<size_t>(m_queued), now);
}

Duration LinkPacer::smallResponseDelay(TimePoint now) const
{
    return std::max(m_busyUntil - now, Duration::zero()) + sendingTime(static_cast<size_t>(m_smallQueued));
}

Duration LinkPacer::sendingTime(size_t bytes) const
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(bytes) * m_nanosecondsPerByte));
}

Duration LinkPacer::largeResponseTime(size_t bytes, TimePoint now) const
{
    // At a constant rate, the exponentially decaying sum equals the bytes of 1 / ln 2 half-lives.
    double window = static_cast<double>(priorityHalfLife.count()) / std::numbers::ln2;
    double priorityBytes = m_priorityBytes * decayFactor(now - m_priorityBytesAt, priorityHalfLife);
    double share = priorityBytes * m_nanosecondsPerByte / window;
    return Duration(static_cast<Duration::rep>(
        static_cast<double>(bytes) * m_nanosecondsPerByte / std::max(1 - share, minLargeResponseShare)));
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
