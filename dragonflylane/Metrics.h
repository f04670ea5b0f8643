#pragma once

// Counters and latency histograms of one daemon. Calls and retries are counted per result code, so that the reason of
// every refusal and retry shows. Not thread-safe: used only by the thread that runs the daemon's tasks.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/ResultCode.h"
#include "dragonflylane/TenantCounters.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace dragonflylane {

class LatencyHistogram;

/// Named counters and histograms.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    void add(std::string_view name, uint64_t count = 1);
    void set(std::string_view name, uint64_t value);
    uint64_t value(std::string_view name) const;

    /// Counts a response to a caller by its result code.
    void countCall(ResultCode);
    /// Counts a retry by the result code of the attempt that failed before it.
    void countRetry(ResultCode);
    /// Records a duration in the histogram of this name.
    void observe(std::string_view name, Duration);
    /// Quantile of a histogram, zero if nothing was recorded. Relative error under 5 %.
    Duration quantile(std::string_view name, double q) const;

    TenantCounters& tenants() { return m_tenants; }
    const TenantCounters& tenants() const { return m_tenants; }

    /// One "name value" line for each counter, sorted by name, followed by those of the tenants and by count, p50 and
    /// p99 of each histogram.
    std::string render() const;

private:
    std::map<std::string, uint64_t, std::less<>> m_counters;
    std::map<std::string, std::unique_ptr<LatencyHistogram>, std::less<>> m_histograms;
    TenantCounters m_tenants;
};

} // namespace dragonflylane
