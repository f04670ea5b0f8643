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
// refutes. Records ride on probes and, while there are any to spread, on extra datagrams to random members. A
// comparison of digests with one random member repairs what those missed: first one digest of all records, then one
// for each of 256 buckets, then the versions in buckets that differ, and only then the records.
//
// Records are ordered by (incarnation, sequence, state, hash of the content); a view never replaces a record by a lower
// one. Dead and left records are kept for `deadRetention`; a daemon that does not know a host ignores such a record,
// so that its expiry is final.
//
// Memory: about 1 KB for each member, at most `maxMembers`. Cost of a message: O(records in it * log members).
// Not thread-safe; contains no I/O and no clock.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/BroadcastQueue.h"
#include "dragonflylane/GossipMessages.h"
#include "dragonflylane/MemberRecord.h"
#include "dragonflylane/MembershipCounters.h"
#include "dragonflylane/MembershipOptions.h"
#include "dragonflylane/MembershipOutput.h"
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

/// The view that one daemon has of the mesh.
class Membership {
public:
    /// `self` names host, address, data centre and region. If its life is zero, a random one is chosen. An incarnation
    /// of zero becomes one.
    Membership(MembershipOptions, MemberRecord self, TimePoint now);

    /// Fetches the records from the mesh that the seeds belong to; retries until one answers. Our own address among the
    /// seeds is ignored. Seeds are also contacted later whenever they are not known as present members, so that meshes
    /// separated by a partition find each other again.
    void join(std::vector<Endpoint> seeds, TimePoint now);
    /// Replaces the seeds that are contacted while they are not present members.
    void setSeeds(std::vector<Endpoint> seeds, TimePoint now);
    /// True once all pages of records have arrived, or if there is no other seed.
    bool isJoined() const { return m_joinStage == JoinStage::Done; }

    /// Changes our announcement. Does nothing if it is unchanged, or if a name in it is too long (recordsInvalid).
    void setUpstream(std::optional<UpstreamRecord>, TimePoint now);
    void setControlRole(ControlRole, TimePoint now);
    /// Announces our end. The caller goes on calling tick() for about a second while the announcement spreads.
    void leave(TimePoint now);
    /// Delivers the payload once to each other daemon. False if it is longer than maxGossipPayloadSize or too many
    /// broadcasts are queued.
    bool broadcast(std::string payload, TimePoint now);

    void receive(const Endpoint& from, const GossipMessage&, TimePoint now);
    void tick(TimePoint now);
    /// When tick() is due next.
    TimePoint nextWakeup() const;
    std::vector<MembershipOutput> takeOutputs();

    /// All known members by host, including this daemon and the dead and left ones that are still kept.
    const std::map<HostId, MemberRecord>& members() const { return m_members; }
    const MemberRecord& self() const { return m_selfNode->second; }
    /// Members that are alive or suspect, including this daemon.
    size_t presentCount() const { return m_present.size() + (m_hasLeft ? 0 : 1); }
    /// Digest of all present records; equal views have equal digests.
    uint64_t rootDigest() const { return m_rootDigest; }
    const MembershipCounters& counters() const { return m_counters; }

private:
    using HostHash = uint64_t;
    using Members = std::map<HostId, MemberRecord>;

    // What is known about a member beside its record.
    struct Entry {
        Members::iterator node;
        // Hash of the record's life and content; the last criterion of its order.
        uint32_t tieBreak { 0 };
        // Position in m_present or m_dead.
        size_t listIndex { 0 };
        // When a suspect is declared dead, or a dead or left record expires.
        std::optional<TimePoint> deadline {};
        // Questions to other members that remain before a suspect is declared dead.
        unsigned confirmations { 0 };
        // Held since before a pause longer than the retention of dead records, and not heard of since. Such a record is
        // not passed on, and is dropped once another daemon turns out not to have it or a probe fails.
        bool isUnconfirmed { false };
    };
    using Entries = std::map<HostHash, Entry>;

    struct Probe {
        HostHash target { 0 };
        uint32_t number { 0 };
        TimePoint indirectAt;
        bool isIndirect { false };
        // A second attempt after a pause.
        bool isRepeated { false };
    };

    struct RelayedProbe {
        Endpoint requester {};
        uint32_t requesterNumber { 0 };
        TimePoint forgetAt;
    };

    struct LostMember {
        Endpoint address {};
        TimePoint forgetAt {};
    };

    enum class JoinStage : uint8_t {
        // Not called, or waiting for members from a seed.
        Contacts,
        Pages,
        Done,
    };

    // A range of host hashes whose records are still to be fetched.
    struct PageRange {
        HostHash first { 0 };
        HostHash last { 0 };
        // Zero while no request is in flight.
        uint32_t number { 0 };
        unsigned attempts { 0 };
        // When the request times out, or when the next one may be sent.
        TimePoint due;
    };

    enum class Spread : uint8_t {
        No,
        Yes,
    };

    void noteTime(TimePoint now);
    void resumeAfterPause(Duration gap, TimePoint now);

    void handle(const Endpoint& from, const GossipPing&, TimePoint now);
    void handle(const Endpoint& from, const GossipIndirectPing&, TimePoint now);
    void handle(const Endpoint& from, const GossipAcknowledgement&, TimePoint now);
    void handle(const Endpoint& from, const GossipDigestRequest&, TimePoint now);
    void handle(const Endpoint& from, const GossipDigest&, TimePoint now);
    void handle(const Endpoint& from, const GossipRecords&, TimePoint now);
    void takeCargo(const GossipCargo&, Spread, TimePoint now);

    void applyRecord(const MemberRecord&, Spread, TimePoint now);
    void applyOwnRecord(const MemberRecord&, TimePoint now);
    void insertMember(const MemberRecord&, HostHash, uint32_t tieBreak, Spread, TimePoint now);
    void replaceRecord(Entries::iterator, const MemberRecord&, uint32_t tieBreak, Spread, TimePoint now);
    void endPredecessor(Entries::iterator, TimePoint now);
    void enterState(Entries::iterator, TimePoint now);
    void leaveState(Entries::iterator);
    void eraseMember(Entries::iterator);
    void publishOwnRecord(MemberRecord);
    void rememberLost(const Endpoint&, TimePoint now);
    void declare(Entries::iterator, MemberState, TimePoint now);
    void setDeadline(Entries::iterator, std::optional<TimePoint>);
    void addToDigest(HostHash, const Entry&);
    void removeFromDigest(HostHash, const Entry&);

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
    void repairSoon(TimePoint now);
    void runLostProbe(TimePoint now);
    bool hasLostCandidates() const;

    void contactLost(const Endpoint&);
    std::vector<Endpoint> missingSeeds() const;
    bool isPresentAt(const Endpoint&) const;

    void runJoin(TimePoint now);
    void requestContacts(TimePoint now);
    void startPages(TimePoint now);
    void requestPages(TimePoint now);
    void requestPage(PageRange&, TimePoint now);
    void finishPage(const GossipPageEnd&, TimePoint now);
    Endpoint choosePageSource(unsigned attempts);
    Duration joinBackoff(unsigned attempts);

    void answerPage(const Endpoint& to, const GossipPageRequest&);
    void answerContacts(const Endpoint& to, const GossipPageRequest&, const std::optional<MemberRecord>& sender);
    void answerWanted(const Endpoint& to, const std::vector<uint64_t>& wanted);
    void answerOutdatedSuspicions(const Endpoint& from, const GossipCargo&);
    void compareBuckets(const Endpoint& from, const GossipDigest&);
    void compareEntries(const Endpoint& from, const GossipDigest&);
    void sendEntries(const Endpoint& to, const std::vector<size_t>& buckets);
    size_t appendEntries(GossipDigest&, HostHash first, HostHash last) const;
    size_t countEntries(HostHash first, HostHash last) const;
    void sendRecords(const Endpoint& to, std::vector<MemberRecord>);
    bool mayTransfer(TimePoint now);

    // The urgent records are sent whether or not they are queued.
    GossipCargo takeUpdates(GossipReach, std::vector<MemberRecord> urgent = {});
    GossipCargo updatesFor(const Endpoint& to);
    void fillWithRecords(GossipCargo&, GossipReach, size_t& budget);
    void queueUpdate(Entries::iterator);
    void takeBroadcast(const GossipBroadcast&);
    bool hasUpdates() const { return !m_updates.isEmpty() || !m_broadcasts.isEmpty(); }
    uint32_t transmissionLimit(size_t members) const;
    TransmissionLimits recordLimits() const;
    GossipReach reachOf(const Endpoint&);
    size_t nearCount() const;

    void send(const Endpoint& to, GossipMessage);
    void sendUpdates(const Endpoint& to);
    std::optional<HostHash> randomPresent();
    HostHash randomNear();
    size_t randomBelow(size_t bound);
    Duration randomDuration(Duration bound);
    uint32_t nextNumber() { return ++m_lastNumber; }
    Entries::iterator entryAt(const Endpoint&);
    static GossipDigestEntry digestEntry(HostHash, const Entry&);
    Duration suspicionTime() const { return m_options.probePeriod * m_options.suspicionPeriods; }

    MembershipOptions m_options;
    std::mt19937_64 m_random;
    MembershipCounters m_counters;
    std::vector<MembershipOutput> m_outputs;

    Members m_members;
    Members::iterator m_selfNode;
    HostHash m_selfHash { 0 };
    bool m_hasLeft { false };
    // All members including this daemon, in the order of their hashes, so buckets and pages are ranges.
    Entries m_entries;
    // Members other than this daemon that are alive or suspect, for uniform choice.
    std::vector<HostHash> m_present;
    // Their number in each data centre.
    std::map<DataCentreName, size_t> m_presentIn;
    std::map<Endpoint, HostHash> m_byAddress;
    std::set<std::pair<TimePoint, HostHash>> m_deadlines;
    // Dead members whose records are kept.
    std::vector<HostHash> m_dead;

    std::array<uint32_t, gossipBucketCount> m_bucketDigests {};
    uint64_t m_rootDigest { 0 };

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
    std::vector<PageRange> m_pages;
    // Members of our data centre that were known when the pages were started.
    std::vector<HostHash> m_pageSources;

    double m_transferTokens { 0 };
    TimePoint m_transferTokensAt;

    Duration m_repairPeriod;
    TimePoint m_lastCall;
    // Until then a failed probe is repeated once before it counts, because of a pause.
    TimePoint m_reprobeUntil;
    // Until then records may come from datagrams that waited during a long pause.
    TimePoint m_outdatedUntil;
    // Two daemons with one host id would otherwise raise their incarnations as fast as messages travel.
    TimePoint m_nextBump;
    TimePoint m_nextProbe;
    TimePoint m_nextGossip;
    TimePoint m_nextRepair;
    TimePoint m_nextLostProbe;
    TimePoint m_nextJoin;
};

} // namespace dragonflylane
