#include "dragonflylane/Metrics.h"

#include "dragonflylane/LatencyHistogram.h"

namespace dragonflylane {

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, uint64_t count)
{
    auto it = m_counters.find(name);
    if (it == m_counters.end())
        it = m_counters.emplace(name, 0).first;
    it->second += count;
}

void Metrics::set(std::string_view name, uint64_t value)
{
    auto it = m_counters.find(name);
    if (it == m_counters.end())
        it = m_counters.emplace(name, 0).first;
    it->second = value;
}

uint64_t Metrics::value(std::string_view name) const
{
    auto it = m_counters.find(name);
    return it == m_counters.end() ? 0 : it->second;
}

void Metrics::countCall(ResultCode code)
{
    add(std::string("calls_").append(name(code)));
}

void Metrics::countRetry(ResultCode code)
{
    add(std::string("retries_").append(name(code)));
}

void Metrics::observe(std::string_view name, Duration duration)
{
    auto it = m_histograms.find(name);
    if (it == m_histograms.end())
        it = m_histograms.emplace(name, std::make_unique<LatencyHistogram>()).first;
    it->second->record(duration);
}

Duration Metrics::quantile(std::string_view name, double q) const
{
    auto it = m_histograms.find(name);
    return it == m_histograms.end() ? Duration() : it->second->quantile(q);
}

std::string Metrics::render() const
{
    std::string text;
    for (const auto& [name, value] : m_counters)
        text += name + " " + std::to_string(value) + "\n";
    text += m_tenants.render();
    for (const auto& [name, histogram] : m_histograms) {
        text += name + "_count " + std::to_string(histogram->count()) + "\n";
        for (auto [suffix, q] : { std::pair("_p50_us ", 0.5), std::pair("_p99_us ", 0.99) }) {
            auto latency = std::chrono::duration_cast<std::chrono::microseconds>(histogram->quantile(q));
            text += name + suffix + std::to_string(latency.count()) + "\n";
        }
    }
    return text;
}

} // namespace dragonflylane
