#include "dragonflylane/UpstreamPerformance.h"

#include "dragonflylane/Admission.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/Metrics.h"
#include "dragonflylane/UpstreamLoad.h"

namespace dragonflylane {

void UpstreamPerformance::startProcess(const UpstreamId& upstream, WarmupNeed need)
{
    m_upstream = upstream;
    m_speed = UpstreamSpeed();
    m_pace = WarmupPace();
    if (need == WarmupNeed::Needed)
        beginWarmup();
}

void UpstreamPerformance::resume()
{
    beginWarmup();
}

void UpstreamPerformance::beginWarmup()
{
    if (m_options.isPaced)
        m_pace.begin();
}

void UpstreamPerformance::setSlots(uint32_t slots)
{
    m_pace.setSlots(slots);
}

void UpstreamPerformance::recordRequest(Duration typical, uint32_t running, TimePoint now)
{
    logChange(m_pace.recordRequest(typical, running), now);
}

void UpstreamPerformance::recordResponse(const AnsweredCall& call, std::string_view loadHeader, TimePoint now)
{
    recordLoad(loadHeader, now);
    m_speed.recordServiceTime(call.routeKey, call.serviceTime, now);
    logChange(m_pace.recordResponse(call.serviceTime, call.typical), now);
    if (isActive())
        m_metrics.set("upstream_slowness_percent", m_speed.slowness(now).value());
}

void UpstreamPerformance::recordTrouble(TimePoint now)
{
    logChange(m_pace.recordTrouble(), now);
}

void UpstreamPerformance::addTo(LoadReport& report, uint64_t routeKey, TimePoint now) const
{
    if (!isActive())
        return;
    if (m_options.reportsSpeed)
        report.speed = m_speed.report(routeKey, now);
    if (m_options.isPaced)
        report.paceLimit = m_pace.limit();
}

void UpstreamPerformance::recordLoad(std::string_view header, TimePoint now)
{
    if (header.empty())
        return;
    std::optional<UpstreamLoad> load = parseUpstreamLoad(header);
    if (!load)
        return m_metrics.add("upstream_loads_invalid");
    m_hasStatedLoad = true;
    if (load->slowness)
        m_speed.recordStated(*load->slowness, now);
}

void UpstreamPerformance::logChange(PaceChange change, TimePoint now)
{
    if (change == PaceChange::None)
        return;
    m_metrics.set("upstream_pace_limit", m_pace.limit());
    m_metrics.add(std::string("upstream_pace_").append(name(change)));
    auto entry = m_logLimiter.admit(now);
    if (!entry)
        return;
    constexpr double percent = 100;
    Event("upstream_pace")
        .with("upstream", m_upstream)
        .with("change", name(change))
        .with("limit", m_pace.limit())
        .with("service_percent_of_peers", static_cast<uint64_t>(percent * m_pace.lastRatio()))
        .with("slowness_percent", m_speed.slowness(now).value())
        .with("left_out", entry->suppressed);
}

} // namespace dragonflylane
