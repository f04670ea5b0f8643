#pragma once

// SWIM membership: which daemons exist, where they are, and which upstream each of them owns.
//
//     Membership membership(options, self, now);
//     membership.join(seeds, now);
//     membership.receive(from, message, now);      // for each decoded datagram
//     membership.tick(now);                        // at nextWakeup()
//     for (MembershipOutput& output : membership.takeOutputs())
//         ...                                      // send datagrams, update views, deliver broadcasts
//
// Failure detection, dissemination and suspicion follow A. Das, I. Gupta, A. Motivala, "SWIM: Scalable
// Weakly-consistent Infection-style Process Group Membership Protocol", 2002. Each daemon probes one member a period,
// first directly, then through others; a member that does not answer is suspected, and declared dead unless it
// refutes. Records are piggybacked on probes and, while updates are queued, sent in additional datagrams to random
// members. Anti-entropy with one random member repairs what those missed: the two compare one digest of all records,
// then one digest for each of 256 buckets, then the versions in buckets that differ, and transfer only the records that
// differ.
//
// Records are ordered by (incarnation, sequence, state, hash of the content); a view never replaces a record with
// a lower one. Dead and left records are kept for `deadRetention`. A daemon that has no record of a host ignores its
// dead and left records, so that an expired record is not reintroduced.
//
// Memory: about 1 KB for each member, at most `maxMembers`. Cost of a message: O(records in it * log members).
// Not thread-safe; contains no I/O and no clock.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/BroadcastQueue.h"
#include "dragonflylane/GossipMessages.h"
#include "dragonflylane/MemberRecord.h"
#include "dragonflylane/MemberTable.h"
#include "dragonflylane/MembershipCounters.h"
#include "dragonflylane/MembershipOptions.h"
#include "dragonflylane/MembershipOutput.h"
#include "dragonflylane/PageTransfer.h"
#include "dragonflylane/UpdateQueue.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace dragonflylane {

/// One daemon's view of the members of the mesh.
class Membership {
public:
    /// `self` must contain host, address, data centre and region. A zero boot ID is replaced by a random one, and an
    /// incarnation of zero by one.
    Membership(MembershipOptions, MemberRecord self, TimePoint now);

    /// Fetches the records of the mesh that the seeds belong to, and retries until a seed answers. Our own address
    /// among the seeds is ignored. Seeds that are not present members are also contacted later, so that the two sides
    /// of a partition merge again.
    void join(std::vector<Endpoint> seeds, TimePoint now);
    /// Replaces the seeds. An empty list is ignored. Joins if there were neither seeds nor other members.
    void setSeeds(std::vector<Endpoint> seeds, TimePoint now);
    /// True once all pages of records have arrived, or if there is no seed other than this daemon.
    bool isJoined() const { return m_joinStage == JoinStage::Done; }

    /// Changes the upstream in our record. Does nothing if it is unchanged, or if a name in it is too long (counted in
    /// recordsInvalid).
    void setUpstream(std::optional<UpstreamRecord>, TimePoint now);
    void setControlRole(ControlRole, TimePoint now);
    /// Marks our record as left. The caller must continue to call tick() for about a second while the record is
    /// disseminated.
    void leave(TimePoint now);
    /// Queues a payload for delivery to each other daemon, at most once each. Returns false if it is longer than
    /// maxGossipPayloadSize or if too many broadcasts are queued.
    bool broadcast(std::string payload, TimePoint now);

    void receive(const Endpoint& from, const GossipMessage&, TimePoint now);
    void tick(TimePoint now);
    /// Returns the time at which tick() is due next.
    TimePoint nextWakeup() const;
    std::vector<MembershipOutput> takeOutputs();

    /// All known members by host, including this daemon and retained dead and left members.
    const std::map<HostId, MemberRecord>& members() const { return m_table.members(); }
    const MemberRecord& self() const { return m_self->second.record(); }
    /// Members that are alive or suspect, including this daemon.
    size_t presentCount() const { return m_table.present().size() + (m_hasLeft ? 0 : 1); }
    /// Digest of all present records; equal views have equal digests.
    uint64_t rootDigest() const { return m_table.rootDigest(); }
    const MembershipCounters& counters() const { return m_counters; }

private:
    using HostHash = MemberTable::HostHash;
    using Entry = MemberTable::Entry;
    using Entries = MemberTable::Entries;

    struct Probe {
        HostHash target { 0 };
        uint32_t number { 0 };
        TimePoint indirectAt;
        bool isIndirect { false };
        // Second attempt, made because this process was paused recently.
        bool isRepeated { false };
    };

    // An indirect probe: a ping sent on behalf of another member.
    struct RelayedProbe {
        Endpoint requester {};
        uint32_t requesterNumber { 0 };
        TimePoint expiresAt;
    };

    // Last address of a dead member whose record has expired. Such addresses are contacted occasionally, so that the
    // two sides of a partition merge again.
    struct LostMember {
        Endpoint address {};
        TimePoint expiresAt {};
    };

    enum class JoinStage : uint8_t {
        // Waiting for a seed to send some members.
        Contacts,
        Pages,
        Done,
    };

    enum class Disseminate : uint8_t {
        No,
        Yes,
    };

    void detectPause(TimePoint now);
    void resumeAfterPause(Duration gap, TimePoint now);

    void handle(const Endpoint& from, const GossipPing&, TimePoint now);
    void handle(const Endpoint& from, const GossipIndirectPing&, TimePoint now);
    void handle(const Endpoint& from, const GossipAcknowledgement&, TimePoint now);
    void handle(const Endpoint& from, const GossipDigestRequest&, TimePoint now);
    void handle(const Endpoint& from, const GossipDigest&, TimePoint now);
    void handle(const Endpoint& from, const GossipRecords&, TimePoint now);
    void applyPiggyback(const GossipPiggyback&, Disseminate, TimePoint now);

    void applyRecord(const MemberRecord&, Disseminate, TimePoint now);
    void applyOwnRecord(const MemberRecord&, TimePoint now);
    void insertMember(const MemberRecord&, uint32_t tieBreak, Disseminate, TimePoint now);
    void replaceRecord(Entries::iterator, const MemberRecord&, uint32_t tieBreak, Disseminate, TimePoint now);
    void declareAddressPredecessorDead(const Endpoint&, TimePoint now);
    /// Counts the state of a record that has become valid, and starts the time after which it ends.
    void startState(Entries::iterator, TimePoint now);
    void eraseMember(Entries::iterator);
    void publishOwnRecord(MemberRecord);
    void rememberLostAddress(const Endpoint&, TimePoint now);
    void declare(Entries::iterator, MemberState, TimePoint now);

    void runDeadlines(TimePoint now);
    void startSuspicion(Entries::iterator, TimePoint now);
    void confirmSuspicion(Entries::iterator, TimePoint now);
    void runProbe(TimePoint now);
    void finishFailedProbe(TimePoint now);
    void startProbe(HostHash target, bool isRepeated, TimePoint now);
    void sendIndirectProbes(TimePoint now);
    std::optional<HostHash> nextProbeTarget();
    void runGossip(TimePoint now);
    void runRepair(TimePoint now);
    void scheduleEarlyAntiEntropy(TimePoint now);
    void runLostProbe(TimePoint now);
    bool hasLostProbeCandidates() const;
    bool isIsolated() const;
    void probeRecentlyDead(TimePoint now);
    void contactLostMembers(const std::vector<Endpoint>&, size_t count);
    std::vector<Endpoint> lostAddresses(TimePoint now);

    void contactLostMember(const Endpoint&);
    std::vector<Endpoint> missingSeeds() const;

    void runJoin(TimePoint now);
    void requestContacts(TimePoint now);
    void startPages(TimePoint now);
    void requestPages(TimePoint now);
    void requestPage(PageTransfer::Range&, TimePoint now);
    void finishPage(const GossipPageEnd&, TimePoint now);
    Endpoint choosePageSource(unsigned attempts);
    Duration joinBackoff(unsigned attempts);

    void sendPage(const Endpoint& to, const GossipPageRequest&);
    void sendContacts(const Endpoint& to, const GossipPageRequest&, const std::optional<MemberRecord>& sender);
    void sendWantedRecords(const Endpoint& to, const std::vector<uint64_t>& wanted);
    void correctOutdatedSuspicions(const Endpoint& from, const GossipPiggyback&);
    void compareBuckets(const Endpoint& from, const GossipDigest&);
    void compareEntries(const Endpoint& from, const GossipDigest&);
    void sendEntries(const Endpoint& to, const std::vector<size_t>& buckets);
    size_t appendEntries(GossipDigest&, HostHash first, HostHash last) const;
    void sendRecords(const Endpoint& to, std::vector<MemberRecord>);
    bool consumeTransferToken(TimePoint now);

    // Selects queued records and broadcasts to piggyback on a message. `urgent` records are included in any case.
    GossipPiggyback takeUpdates(GossipScope, std::vector<MemberRecord> urgent = {});
    GossipPiggyback updatesFor(const Endpoint& to);
    void fillWithRecords(GossipPiggyback&, GossipScope, size_t& budget);
    void queueUpdate(Entries::iterator);
    void deliverBroadcast(const GossipBroadcast&);
    bool hasUpdates() const { return !m_updates.isEmpty() || !m_broadcasts.isEmpty(); }
    uint32_t transmissionLimit(size_t members) const;
    TransmissionLimits recordLimits() const;
    GossipScope scopeOf(const Endpoint&);
    size_t localPresentCount() const;

    void send(const Endpoint& to, GossipMessage);
    void sendUpdates(const Endpoint& to);
    std::optional<HostHash> randomPresent();
    HostHash randomPreferablyLocal();
    size_t randomBelow(size_t bound);
    Duration randomDuration(Duration bound);
    uint32_t nextNumber() { return ++m_lastNumber; }
    Duration suspicionTime() const { return m_options.probePeriod * m_options.suspicionPeriods; }

    MembershipOptions m_options;
    std::mt19937_64 m_random;
    MembershipCounters m_counters;
    std::vector<MembershipOutput> m_outputs;

    MemberTable m_table;
    Entries::iterator m_self;
    bool m_hasLeft { false };

    UpdateQueue m_updates;
    BroadcastQueue m_broadcasts;
    uint64_t m_lastBroadcast { 0 };

    std::optional<Probe> m_probe;
    uint32_t m_lastNumber { 0 };
    std::vector<HostHash> m_probeOrder;
    size_t m_probePosition { 0 };
    // Pings sent for other members, by our number.
    std::map<uint32_t, RelayedProbe> m_relayedProbes;

    std::vector<LostMember> m_lost;
    std::vector<Endpoint> m_seeds;
    JoinStage m_joinStage { JoinStage::Done };
    unsigned m_joinAttempts { 0 };
    uint32_t m_contactNumber { 0 };
    PageTransfer m_pages;
    // Members of our data centre that were known when the first pages were requested.
    std::vector<HostHash> m_pageSources;

    double m_transferTokens { 0 };
    TimePoint m_transferTokensAt;

    Duration m_antiEntropyPeriod;
    TimePoint m_lastCall;
    // After a pause, a failed probe is repeated once before it counts, until this time.
    TimePoint m_reprobeUntil;
    // Until this time, received records may come from datagrams that were queued in the socket during a long pause.
    TimePoint m_staleDatagramsUntil;
    // Earliest time at which our incarnation may be raised again because of a record with another boot ID. Without this
    // limit, two daemons that share a host id would raise their incarnations with every message they exchange.
    TimePoint m_nextIncarnationRaise;
    TimePoint m_nextProbe;
    TimePoint m_nextGossip;
    TimePoint m_nextAntiEntropy;
    TimePoint m_nextLostProbe;
    TimePoint m_nextDeadProbe;
    /// Result of isIsolated() at the last probe of the dead.
    bool m_isIsolated { false };
    TimePoint m_nextJoin;
};

} // namespace dragonflylane
