#pragma once

// What the owner daemon knows of the performance of its upstream: its speed and, while it warms up, its pace. Logs each
// change of the pace and sets the metrics of both. Active once the upstream has stated its load or warms up; until then
// it is served with all its slots and nothing is reported. Contains no clock.
//
//     performance.startProcess(upstream);
//     uint32_t slots = performance.limit(announcement.slots);
//     performance.recordResponse(call, response.header(names.upstreamLoad), now);
//     performance.addTo(loadReport, routeKey, now);

#include "dragonflylane/Ids.h"
#include "dragonflylane/LogRateLimiter.h"
#include "dragonflylane/UpstreamSpeed.h"
#include "dragonflylane/WarmupPace.h"

#include <string_view>

namespace dragonflylane {

class Metrics;
struct LoadReport;

/// A call that the upstream answered.
struct AnsweredCall {
    uint64_t routeKey { 0 };
    Duration serviceTime { 0 };
    /// Service time of the route at the peers; zero if unknown.
    Duration typical { 0 };
};

/// Whether a process that was announced may still be cold.
enum class WarmupNeed : uint8_t {
    /// It has been running for long; only this daemon has been restarted.
    Unneeded,
    Needed,
};

struct UpstreamPerformanceOptions {
    /// An upstream that starts or recovers is paced. Otherwise entry daemons raise its share over a fixed time.
    bool isPaced { true };
    /// Adds the speed to load reports. Otherwise entry daemons choose by load only.
    bool reportsSpeed { true };
};

class UpstreamPerformance {
public:
    explicit UpstreamPerformance(Metrics& metrics, UpstreamPerformanceOptions options = {})
        : m_metrics(metrics)
        , m_options(options)
    {
    }

    /// Another process of the upstream was announced, or the process was found alive again.
    void startProcess(const UpstreamId&, WarmupNeed);
    /// The process accepts calls again after a drain.
    void resume();
    void setSlots(uint32_t slots);
    /// A call for the upstream arrived while this many were running; `typical` as in AnsweredCall.
    void recordRequest(Duration typical, uint32_t running, TimePoint now);
    /// The upstream answered a call with success and this load header, which may be empty.
    void recordResponse(const AnsweredCall&, std::string_view loadHeader, TimePoint now);
    /// The upstream shed a call, lost it or did not answer it in time.
    void recordTrouble(TimePoint now);

    /// Calls that may run at the same time.
    uint32_t limit() const { return m_pace.limit(); }
    SlownessPercent slowness(TimePoint now) const { return m_speed.slowness(now); }
    bool isActive() const { return m_hasStatedLoad || m_pace.isWarmingUp(); }
    /// Adds speed and pace to a load report, if active.
    void addTo(LoadReport&, uint64_t routeKey, TimePoint now) const;

private:
    void recordLoad(std::string_view header, TimePoint now);
    void logChange(PaceChange, TimePoint now);

    void beginWarmup();

    Metrics& m_metrics;
    UpstreamPerformanceOptions m_options;
    UpstreamId m_upstream;
    UpstreamSpeed m_speed;
    WarmupPace m_pace;
    bool m_hasStatedLoad { false };
    LogRateLimiter m_logLimiter { { .perSecond = 2, .burst = 10 } };
};

} // namespace dragonflylane
