#pragma once

// Keeps the crash quarantine of this daemon in step with the others by broadcasts.

#include "dragonflylane/CrashQuarantine.h"

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace dragonflylane {

class Journal;
class Metrics;

/// Owns the quarantine; shared by the entry and owner tasks of this daemon.
class CrashTask {
public:
    using Broadcast = std::function<bool(std::string)>;

    CrashTask(CrashQuarantineOptions, Broadcast, Metrics&, Journal&);

    void upstreamDied(const UpstreamId&, Incarnation, std::span<const Fingerprint>);
    void completed(Fingerprint);
    void receive(std::string_view payload);
    bool release(Fingerprint);

    CrashState stateOf(Fingerprint) const;
    std::vector<CrashEntry> list() const;

private:
    void send(const CrashNotice&);

    CrashQuarantine m_quarantine;
    Broadcast m_broadcast;
    Metrics& m_metrics;
    Journal& m_journal;
};

} // namespace dragonflylane
