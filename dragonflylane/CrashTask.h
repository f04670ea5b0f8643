#pragma once

// Replicates the crash quarantine between the daemons: broadcasts local changes and applies those of other daemons.

#include "dragonflylane/CrashQuarantine.h"
#include "dragonflylane/LogRateLimiter.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace dragonflylane {

class Journal;
class Metrics;

/// Owns the crash quarantine of this daemon, which EntryTask and OwnerTask share.
class CrashTask {
public:
    using Broadcast = std::function<bool(std::string)>;

    CrashTask(CrashQuarantineOptions, Broadcast, Metrics&, Journal&);

    /// Reports that an upstream crashed with these requests in flight.
    void upstreamDied(const UpstreamId&, Incarnation, std::span<const Fingerprint>);
    /// Reports that a request completed without a crash, which clears a suspicion.
    void completed(Fingerprint);
    /// Applies a broadcast of another daemon.
    void receive(std::string_view payload);
    /// Releases a request from quarantine on behalf of an operator. Returns false if it was neither suspected nor
    /// quarantined.
    bool release(Fingerprint);

    /// Adds what another daemon or the replicated log knows.
    void merge(const CrashRecord&);

    CrashState stateOf(Fingerprint) const;
    /// The requests in quarantine, for a daemon that has been started.
    std::vector<CrashRecord> quarantined() const;
    std::vector<CrashEntry> list() const;
    /// The table, for the comparison with other daemons.
    CrashQuarantine& quarantine() { return m_quarantine; }
    /// Logs that a comparison has changed the state of a request.
    void logMerged(Fingerprint fingerprint) { logStates({ &fingerprint, 1 }, Source::Peer); }
    void exportMetrics() const;

private:
    /// Where a change of the state comes from.
    enum class Source : uint8_t {
        ThisDaemon,
        Peer,
    };

    void send(const CrashNotice&);
    void logStates(std::span<const Fingerprint>, Source);

    CrashQuarantine m_quarantine;
    Broadcast m_broadcast;
    Metrics& m_metrics;
    Journal& m_journal;
    LogRateLimiter m_logLimiter;
};

} // namespace dragonflylane
