#pragma once

#include <cstdint>

namespace dragonflylane {

/// Events since the start of a Membership.
struct MembershipCounters {
    uint64_t probes { 0 };
    uint64_t probesAnswered { 0 };
    uint64_t indirectProbes { 0 };
    uint64_t probesFailed { 0 };
    uint64_t suspicions { 0 };
    /// Suspect or dead members that a newer record reported as alive.
    uint64_t recoveries { 0 };
    uint64_t deaths { 0 };
    uint64_t departures { 0 };
    /// Records of dead and left members removed after the retention time.
    uint64_t expirations { 0 };
    /// Refutations of a suspicion or death of this daemon.
    uint64_t refutations { 0 };
    /// Incarnations raised because of a record with another boot ID.
    uint64_t incarnationsRaised { 0 };
    uint64_t pauses { 0 };

    uint64_t recordsApplied { 0 };
    uint64_t recordsOutdated { 0 };
    /// Records with different content but equal incarnation, sequence and boot ID.
    uint64_t recordConflicts { 0 };
    uint64_t recordsInvalid { 0 };
    /// Records rejected because the table is full.
    uint64_t recordsRefused { 0 };
    uint64_t misdirectedPings { 0 };

    uint64_t joinAttempts { 0 };
    uint64_t pagesRequested { 0 };
    uint64_t pagesTimedOut { 0 };
    uint64_t transfersSent { 0 };
    /// Requests for records or digests dropped by the rate limit.
    uint64_t transfersLimited { 0 };
    uint64_t repairs { 0 };
    uint64_t repairsWithDifference { 0 };
    uint64_t lostProbes { 0 };

    uint64_t broadcastsSent { 0 };
    uint64_t broadcastsReceived { 0 };
    uint64_t broadcastsDuplicate { 0 };
    uint64_t broadcastsRefused { 0 };
    /// Broadcasts of others that were delivered here but not forwarded, because the queue was full.
    uint64_t broadcastsDropped { 0 };
};

} // namespace dragonflylane
