#include "dragonflylane/CrashTask.h"

#include "dragonflylane/CrashWire.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/Metrics.h"

namespace dragonflylane {

CrashTask::CrashTask(CrashQuarantineOptions options, Broadcast broadcast, Metrics& metrics, Journal& journal)
    : m_quarantine(options)
    , m_broadcast(std::move(broadcast))
    , m_metrics(metrics)
    , m_journal(journal)
{
}

void CrashTask::upstreamDied(const UpstreamId& upstream, Incarnation incarnation, std::span<const Fingerprint> inFlight)
{
    m_metrics.add("upstream_deaths");
    Event("upstream_died", EventLevel::Warning)
        .with("upstream", upstream)
        .with("incarnation", incarnation)
        .with("in_flight", inFlight.size());
    for (const CrashNotice& notice : m_quarantine.upstreamDied(upstream, incarnation, inFlight, BootClock::now()))
        send(notice);
    for (Fingerprint fingerprint : inFlight) {
        bool isQuarantined = stateOf(fingerprint) == CrashState::Quarantined;
        m_journal.record({ .event = isQuarantined ? "request_quarantined" : "request_suspected",
            .subjects = { upstream.value(), "fingerprint-" + std::to_string(fingerprint.value()) },
            .cause = upstream.value() + "." + std::to_string(incarnation.value()) });
    }
}

void CrashTask::completed(Fingerprint fingerprint)
{
    if (auto notice = m_quarantine.completed(fingerprint, BootClock::now()))
        send(*notice);
}

void CrashTask::receive(std::string_view payload)
{
    CrashNotice notice;
    if (decode(payload, notice))
        return m_metrics.add("crash_notice_malformed");
    m_quarantine.receive(notice, BootClock::now());
}

bool CrashTask::release(Fingerprint fingerprint)
{
    auto notice = m_quarantine.release(fingerprint, BootClock::now());
    if (notice)
        send(*notice);
    return notice.has_value();
}

CrashState CrashTask::stateOf(Fingerprint fingerprint) const
{
    // The quarantine is nearly always empty. Skips the lookup on the path of every call.
    return m_quarantine.size() == 0 ? CrashState::Unsuspected : m_quarantine.stateOf(fingerprint, BootClock::now());
}

std::vector<CrashEntry> CrashTask::list() const
{
    return m_quarantine.list(BootClock::now());
}

void CrashTask::send(const CrashNotice& notice)
{
    if (!m_broadcast(encode(notice)))
        m_metrics.add("crash_notices_unsent");
}

} // namespace dragonflylane
