#pragma once

// Recognises requests that crash upstreams (5.5); one instance per daemon, kept in step by broadcasts.
//
//     auto reports = quarantine.upstreamDied(upstream, incarnation, fingerprintsInFlight, now);   // broadcast these
//     switch (quarantine.stateOf(fingerprint, now)) { ... }       // before forwarding; Suspect sets
//     CallTicket::isSuspect if (auto clear = quarantine.completed(fingerprint, now))    // a suspect was answered;
//     broadcast it quarantine.receive(notice, now);                            // a broadcast of another daemon
//
// A death is a pair (upstream, incarnation). A fingerprint with two deaths that no completion has cleared is
// quarantined. A clear names the deaths that it removes, so reports and clears may arrive in any order, repeatedly, and
// all daemons reach the same state. Tables are bounded; all operations cost O(log n) per fingerprint.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace dragonflylane {

/// One death of one upstream.
struct CrashDeath {
    UpstreamId upstream;
    Incarnation incarnation;

    auto operator<=>(const CrashDeath&) const = default;
    bool operator==(const CrashDeath&) const = default;
};

/// Broadcast by the owner: these requests were in flight when its upstream died.
struct CrashReport {
    CrashDeath death;
    std::vector<Fingerprint> fingerprints;

    bool operator==(const CrashReport&) const = default;
};

/// Broadcast after a suspect was answered or an operator released it: these deaths no longer count for it.
struct CrashClear {
    Fingerprint fingerprint;
    std::vector<CrashDeath> deaths;
    bool isRelease { false };

    bool operator==(const CrashClear&) const = default;
};

using CrashNotice = std::variant<CrashReport, CrashClear>;

enum class CrashState : uint8_t {
    Unsuspected,
    Suspect,
    Quarantined,
};

/// One fingerprint, for operators.
struct CrashEntry {
    Fingerprint fingerprint;
    CrashState state { CrashState::Unsuspected };
    std::vector<CrashDeath> deaths;
    TimePoint expiresAt;
};

struct CrashQuarantineOptions {
    /// Time since the last death after which a fingerprint is forgotten or released.
    Duration retention { std::chrono::minutes(10) };
    size_t deathsToQuarantine { 2 };
    size_t maxFingerprints { 4096 };
    /// Fingerprints in one report, so that it fits into a datagram with other records.
    size_t maxPerReport { 64 };

    // Switches that disable a mechanism for a test.
    bool quarantineEnabled { true };
    bool clearsEnabled { true };
};

class CrashQuarantine {
public:
    explicit CrashQuarantine(CrashQuarantineOptions = {});

    /// Records a death of the own upstream; returns the reports to broadcast.
    std::vector<CrashNotice> upstreamDied(
        const UpstreamId&, Incarnation, std::span<const Fingerprint> inFlight, TimePoint now);
    /// A request was answered by the upstream, with any answer but a shed one. Returns a clear to broadcast if the
    /// fingerprint was a suspect.
    std::optional<CrashNotice> completed(Fingerprint, TimePoint now);
    /// Returns true if the notice changed something.
    bool receive(const CrashNotice&, TimePoint now);

    CrashState stateOf(Fingerprint, TimePoint now) const;
    /// Suspects and quarantined fingerprints, for operators.
    std::vector<CrashEntry> list(TimePoint now) const;
    /// Manual release; returns the clear to broadcast, or nothing if the fingerprint is not listed.
    std::optional<CrashNotice> release(Fingerprint, TimePoint now);

    void tick(TimePoint now);
    std::optional<TimePoint> nextWakeup() const;

    size_t size() const { return m_records.size(); }
    /// Fingerprints that were dropped because the table was full.
    uint64_t dropped() const { return m_dropped; }

private:
    struct Record {
        std::vector<CrashDeath> deaths;
        /// Deaths that no longer count; kept so that a late copy of their report changes nothing.
        std::vector<CrashDeath> cleared;
        TimePoint expiresAt;
    };
    using Key = std::pair<TimePoint, Fingerprint>;

    // A fingerprint with more deaths than this is quarantined anyway.
    static constexpr size_t maxDeathsPerFingerprint = 8;

    bool addDeath(Fingerprint, const CrashDeath&, TimePoint now);
    bool clearDeaths(const CrashClear&, TimePoint now);
    std::optional<CrashNotice> clearAll(Fingerprint, bool isRelease, TimePoint now);
    Record* findOrInsert(Fingerprint, TimePoint now);
    bool makeRoom();
    void setExpiry(Fingerprint, Record&, TimePoint now);
    void updateQueues(Fingerprint, const Record&);
    void erase(Fingerprint);
    CrashState stateOf(const Record&) const;

    CrashQuarantineOptions m_options;
    std::map<Fingerprint, Record> m_records;
    /// Ordered by expiry: records that may be evicted when the table is full, and quarantined ones.
    std::set<Key> m_evictable;
    std::set<Key> m_quarantined;
    uint64_t m_dropped { 0 };
};

} // namespace dragonflylane
