#include "dragonflylane/CrashTask.h"

#include "dragonflylane/CrashWire.h"
#include "dragonflylane/Event.h"
#include "dragonflylane/Journal.h"
#include "dragonflylane/Metrics.h"

namespace dragonflylane {

namespace {

    std::string_view stateName(CrashState state)
    {
        switch (state) {
        case CrashState::Unsuspected:
            return "unsuspected";
        case CrashState::Suspect:
            return "suspect";
        case CrashState::Quarantined:
            return "quarantined";
        }
        return "invalid";
    }

    std::vector<Fingerprint> fingerprintsOf(const CrashNotice& notice)
    {
        if (const auto* clear = std::get_if<CrashClear>(&notice))
            return { clear->fingerprint };
        return std::get<CrashReport>(notice).fingerprints;
    }

} // namespace

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
    logStates(inFlight, Source::ThisDaemon);
    for (Fingerprint fingerprint : inFlight) {
        bool isQuarantined = stateOf(fingerprint) == CrashState::Quarantined;
        m_journal.record({ .event = isQuarantined ? "request_quarantined" : "request_suspected",
            .subjects = { upstream.value(), "fingerprint-" + std::to_string(fingerprint.value()) },
            .cause = upstream.value() + "." + std::to_string(incarnation.value()) });
    }
}

void CrashTask::completed(Fingerprint fingerprint)
{
    auto notice = m_quarantine.completed(fingerprint, BootClock::now());
    if (!notice)
        return;
    send(*notice);
    logStates({ &fingerprint, 1 }, Source::ThisDaemon);
}

void CrashTask::receive(std::string_view payload)
{
    CrashNotice notice;
    if (decode(payload, notice))
        return m_metrics.add("crash_notice_malformed");
    m_metrics.add("crash_notices_received");
    if (m_quarantine.receive(notice, BootClock::now()))
        logStates(fingerprintsOf(notice), Source::Peer);
}

bool CrashTask::release(Fingerprint fingerprint)
{
    auto notice = m_quarantine.release(fingerprint, BootClock::now());
    if (!notice)
        return false;
    send(*notice);
    logStates({ &fingerprint, 1 }, Source::ThisDaemon);
    return true;
}

void CrashTask::merge(const CrashRecord& record)
{
    if (m_quarantine.merge(record, BootClock::now()))
        logMerged(record.fingerprint);
}

std::vector<CrashRecord> CrashTask::quarantined() const
{
    TimePoint now = BootClock::now();
    std::vector<CrashRecord> records;
    for (const CrashEntry& entry : m_quarantine.list(now)) {
        if (entry.state == CrashState::Quarantined)
            records.push_back(
                { .fingerprint = entry.fingerprint, .deaths = entry.deaths, .remaining = entry.expiresAt - now });
    }
    return records;
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

void CrashTask::exportMetrics() const
{
    size_t quarantined = 0;
    std::vector<CrashEntry> entries = list();
    for (const CrashEntry& entry : entries)
        quarantined += entry.state == CrashState::Quarantined ? 1 : 0;
    m_metrics.set("crash_suspects", entries.size() - quarantined);
    m_metrics.set("crash_quarantined", quarantined);
    m_metrics.set("crash_fingerprints_dropped", m_quarantine.dropped());
}

// States which daemon knew of which request, and since when.
void CrashTask::logStates(std::span<const Fingerprint> fingerprints, Source source)
{
    TimePoint now = BootClock::now();
    for (Fingerprint fingerprint : fingerprints) {
        auto entry = m_logLimiter.admit(now);
        if (!entry)
            continue;
        Event("request_suspicion")
            .with("fingerprint", fingerprint)
            .with("state", stateName(stateOf(fingerprint)))
            .with("source", source == Source::Peer ? "peer" : "this_daemon")
            .with("left_out", entry->suppressed);
    }
}

void CrashTask::send(const CrashNotice& notice)
{
    if (!m_broadcast(encode(notice)))
        m_metrics.add("crash_notices_unsent");
}

} // namespace dragonflylane
