#include "dragonflylane/ResponseDelayEstimator.h"

#include <algorithm>
#include <cstdint>

namespace dragonflylane {

namespace {

    constexpr double sampleWeight = 0.05;
    constexpr size_t maxRoutes = 1024;

} // namespace

Duration ResponseDelayEstimator::expectedDelay(uint64_t routeKey, Duration serviceTime, TimePoint now) const
{
    if (!m_pacer.isLimited())
        return Duration::zero();
    size_t own = expectedBytes(routeKey);
    // Small responses are sent before large ones.
    size_t smallBytes = m_pacer.smallAnswerBytes();
    bool isSmall = own <= smallBytes;
    auto runningBytes = static_cast<size_t>(bytesWithin(serviceTime, isSmall ? smallBytes : SIZE_MAX));
    Duration ahead = isSmall ? m_pacer.smallResponseDelay(now) + m_pacer.sendingTime(runningBytes + own)
                             : m_pacer.delay(now) + m_pacer.largeResponseTime(runningBytes + own, now);
    return std::max(ahead - serviceTime, Duration::zero());
}

void ResponseDelayEstimator::started(uint64_t id, uint64_t routeKey, Duration serviceTime)
{
    m_running[id] = { routeKey, serviceTime, expectedBytes(routeKey) };
}

void ResponseDelayEstimator::finished(uint64_t id, size_t responseBytes)
{
    auto found = m_running.find(id);
    if (found == m_running.end())
        return;
    RunningCall call = found->second;
    m_running.erase(found);
    if (responseBytes == 0)
        return;
    // Bounds the memory when the routes of the configuration change; the sizes are soon collected again.
    if (m_meanBytes.size() >= maxRoutes)
        m_meanBytes.clear();
    auto [size, isNew] = m_meanBytes.try_emplace(call.routeKey, static_cast<double>(responseBytes));
    if (!isNew)
        size->second += sampleWeight * (static_cast<double>(responseBytes) - size->second);
}

double ResponseDelayEstimator::bytesWithin(Duration time, size_t largest) const
{
    double bytes = 0;
    for (const auto& [id, call] : m_running) {
        if (call.expectedBytes > largest)
            continue;
        bool isShorter = call.serviceTime <= time;
        double share
            = isShorter ? 1 : static_cast<double>(time.count()) / static_cast<double>(call.serviceTime.count());
        bytes += share * static_cast<double>(call.expectedBytes);
    }
    return bytes;
}

size_t ResponseDelayEstimator::expectedBytes(uint64_t routeKey) const
{
    auto found = m_meanBytes.find(routeKey);
    return found == m_meanBytes.end() ? 0 : static_cast<size_t>(found->second);
}

} // namespace dragonflylane
