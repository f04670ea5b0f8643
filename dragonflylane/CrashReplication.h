#pragma once

// Anti-entropy of the crash quarantine: repairs what a daemon did not learn from broadcasts, because it was restarted,
// paused or cut off from the others.
//
//     CrashReplication replication(quarantine, { .choosePeers = ... , .merged = ... });
//     replication.join(now);                          // the members are known for the first time
//     replication.receive(from, message, now);
//     replication.tick(now);
//     for (CrashSyncSend& send : replication.takeOutputs()) ...
//
// A daemon that has joined asks a few others for all that they know, and is synchronised once they have answered. After
// that, a daemon that has records compares its digest with a few others each second. While no daemon has records,
// nothing is sent. A message holds a bounded number of records; the next comparison goes on with the others.

#include "dragonflylane/CrashQuarantine.h"

#include <functional>
#include <set>

namespace dragonflylane {

/// One step of a comparison. Each step answers the one before.
struct CrashSyncMessage {
    /// First step: digest of the sender's whole table.
    std::optional<uint64_t> root;
    /// Second and third step: the digests of the sender's buckets. The receiver answers with the records that differ.
    std::optional<CrashDigest> digest;
    /// Third and last step: records of the sender.
    std::optional<std::vector<CrashRecord>> records;

    bool operator==(const CrashSyncMessage&) const = default;
};

struct CrashSyncSend {
    HostId to;
    CrashSyncMessage message;
};

struct CrashReplicationOptions {
    Duration interval { std::chrono::seconds(1) };
    size_t peersPerInterval { 2 };
    size_t peersAtJoin { 3 };
    /// A daemon that has joined counts as synchronised after this time, even if nobody has answered.
    Duration joinTimeout { std::chrono::milliseconds(500) };
    size_t maxRecordsPerMessage { 64 };
};

class CrashReplication {
public:
    struct Hooks {
        /// Up to this many other members, chosen at random.
        std::function<std::vector<HostId>(size_t count)> choosePeers;
        /// A record of another daemon has changed the state of this request.
        std::function<void(Fingerprint)> merged;
    };

    CrashReplication(CrashQuarantine&, CrashReplicationOptions, Hooks);

    /// Asks other daemons for their records. Has an effect only once.
    void join(TimePoint now);
    void receive(const HostId& from, const CrashSyncMessage&, TimePoint now);
    void tick(TimePoint now);
    /// Returns the time at which tick() is due next.
    TimePoint nextWakeup() const;
    std::vector<CrashSyncSend> takeOutputs();

    /// False until the daemons asked by join() have answered.
    bool isSynchronised(TimePoint now) const;

private:
    std::vector<CrashRecord> recordsFor(const CrashDigest& other, TimePoint now);
    void merge(const std::vector<CrashRecord>&, TimePoint now);

    CrashQuarantine& m_quarantine;
    CrashReplicationOptions m_options;
    Hooks m_hooks;
    std::optional<TimePoint> m_joinedAt;
    /// Daemons whose answer to join() has not arrived.
    std::set<HostId> m_awaited;
    TimePoint m_nextComparison;
    std::vector<CrashSyncSend> m_outputs;
};

} // namespace dragonflylane
