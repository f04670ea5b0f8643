#pragma once

// Detects and blocks requests that crash upstreams (queries of death; docs/design.md, 5.5). One instance per daemon;
// the instances exchange their state by broadcasts. A fingerprint identifies a request (see Fingerprint.h).
//
//     // The upstream died: broadcast the reports.
//     auto reports = quarantine.upstreamDied(upstream, incarnation, fingerprintsInFlight, now);
//     // Before forwarding: refuse if Quarantined, set CallTicket::isSuspect if Suspect.
//     CrashState state = quarantine.stateOf(fingerprint, now);
//     // A request was answered: broadcast the returned CrashClear, if any.
//     auto clear = quarantine.completed(fingerprint, now);
//     // A broadcast of another daemon arrived.
//     quarantine.receive(notice, now);
//
// A death is a pair (upstream, incarnation). A fingerprint is quarantined after two deaths that no later completion has
// cleared. A CrashClear lists the deaths that it removes, so CrashReports and CrashClears may arrive in any order and
// repeatedly, and all daemons still converge to the same state. A daemon that missed broadcasts gets records instead,
// see CrashReplication. Tables are bounded; all operations except list() and recordsIn() cost O(log n) per fingerprint.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Ids.h"

#include <array>
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

/// The death of one process (incarnation) of an upstream.
struct CrashDeath {
    UpstreamId upstream;
    Incarnation incarnation;

    auto operator<=>(const CrashDeath&) const = default;
    bool operator==(const CrashDeath&) const = default;
};

/// Broadcast by the owner daemon of an upstream: these requests were in flight when the upstream died.
struct CrashReport {
    CrashDeath death;
    std::vector<Fingerprint> fingerprints;

    bool operator==(const CrashReport&) const = default;
};

/// Broadcast after a suspect was answered or an operator released it: these deaths no longer count against it.
struct CrashClear {
    Fingerprint fingerprint;
    std::vector<CrashDeath> deaths;
    bool isRelease { false };

    bool operator==(const CrashClear&) const = default;
};

using CrashNotice = std::variant<CrashReport, CrashClear>;

/// All that a daemon knows about one fingerprint.
struct CrashRecord {
    Fingerprint fingerprint;
    std::vector<CrashDeath> deaths;
    /// Deaths that no longer count.
    std::vector<CrashDeath> cleared;
    /// Time until the record expires.
    Duration remaining { 0 };

    bool operator==(const CrashRecord&) const = default;
};

/// Digests of a table, one for each bucket of fingerprints. Equal digests mean equal states.
struct CrashDigest {
    static constexpr size_t bucketCount = 16;

    std::array<uint64_t, bucketCount> buckets {};

    /// Digest of the whole table; zero if it is empty.
    uint64_t root() const;
    bool operator==(const CrashDigest&) const = default;
};

enum class CrashState : uint8_t {
    Unsuspected,
    Suspect,
    Quarantined,
};

/// State of one fingerprint, as shown to operators.
struct CrashEntry {
    Fingerprint fingerprint;
    CrashState state { CrashState::Unsuspected };
    std::vector<CrashDeath> deaths;
    TimePoint expiresAt;
};

struct CrashQuarantineOptions {
    /// Time after the last death until the entry of a fingerprint expires, which also ends its quarantine.
    Duration retention { std::chrono::minutes(10) };
    size_t deathsToQuarantine { 2 };
    size_t maxFingerprints { 4096 };
    /// Maximum number of fingerprints in one report, so that it fits into a datagram together with other records.
    size_t maxPerReport { 64 };

    // Switches that disable a mechanism for a test.
    bool quarantineEnabled { true };
    bool clearsEnabled { true };
};

class CrashQuarantine {
public:
    explicit CrashQuarantine(CrashQuarantineOptions = {});

    /// Records a death of this daemon's upstream; returns the reports to broadcast.
    std::vector<CrashNotice> upstreamDied(
        const UpstreamId&, Incarnation, std::span<const Fingerprint> inFlight, TimePoint now);
    /// Call this when the upstream has answered a request, except with a load-shedding response. Returns a CrashClear
    /// to broadcast if the fingerprint was a suspect.
    std::optional<CrashNotice> completed(Fingerprint, TimePoint now);
    /// Applies a notice of another daemon. Returns true if it changed the state.
    bool receive(const CrashNotice&, TimePoint now);

    const CrashDigest& digest() const { return m_digest; }
    /// At most `limit` records of the buckets in which the digests differ, in an order that changes with each call.
    std::vector<CrashRecord> recordsIn(const CrashDigest& other, size_t limit, TimePoint now);
    /// Adds what another daemon knows. Returns true if it changed the state.
    bool merge(const CrashRecord&, TimePoint now);

    CrashState stateOf(Fingerprint, TimePoint now) const;
    /// Suspects and quarantined fingerprints, for operators.
    std::vector<CrashEntry> list(TimePoint now) const;
    /// Manual release; returns the CrashClear to broadcast, or nothing if the fingerprint is not listed.
    std::optional<CrashNotice> release(Fingerprint, TimePoint now);

    void tick(TimePoint now);
    std::optional<TimePoint> nextWakeup() const;

    size_t size() const { return m_records.size(); }
    /// Number of fingerprints that were dropped because the table was full.
    uint64_t dropped() const { return m_dropped; }

private:
    struct Record {
        std::vector<CrashDeath> deaths;
        /// Deaths that no longer count; kept so that a late or repeated report of them has no effect.
        std::vector<CrashDeath> cleared;
        TimePoint expiresAt;
        /// Contribution to the digest.
        uint64_t hash { 0 };
    };
    using ExpiryKey = std::pair<TimePoint, Fingerprint>;

    // Further deaths need not be stored: the fingerprint is quarantined already.
    static constexpr size_t maxDeathsPerFingerprint = 8;

    bool addDeath(Fingerprint, const CrashDeath&, TimePoint now);
    bool clearDeaths(const CrashClear&, TimePoint now);
    std::optional<CrashNotice> clearAll(Fingerprint, bool isRelease, TimePoint now);
    Record* findOrInsert(Fingerprint, TimePoint now);
    /// Evicts the entry that expires first. Returns false if all entries are quarantined.
    bool evictOne();
    void setExpiry(Fingerprint, Record&, TimePoint expiresAt);
    void updateQueues(Fingerprint, const Record&);
    bool addClear(Fingerprint, Record&, const CrashDeath&);
    void updateDigest(Fingerprint, Record&);
    uint64_t hashOf(Fingerprint, const Record&) const;
    void erase(Fingerprint);
    CrashState stateOf(const Record&) const;

    CrashQuarantineOptions m_options;
    std::map<Fingerprint, Record> m_records;
    /// Fingerprints that may be evicted when the table is full, ordered by expiry.
    std::set<ExpiryKey> m_evictable;
    /// Quarantined fingerprints, ordered by expiry.
    std::set<ExpiryKey> m_quarantined;
    CrashDigest m_digest;
    /// Where the next call of recordsIn() begins.
    Fingerprint m_nextRecord;
    uint64_t m_dropped { 0 };
};

} // namespace dragonflylane
