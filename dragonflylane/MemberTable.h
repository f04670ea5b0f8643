#pragma once

// The members that a daemon knows, with the indexes by which Membership finds them: by hash, address, state and data
// centre, by the time of their next deadline, and digests of the records for the comparison with other daemons.
//
//     auto it = table.insert(record, tieBreak);
//     table.setDeadline(it, now + suspicionTime);
//     table.replace(it, newer, tieBreakOfNewer);
//
// All operations cost O(log n) for n members.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/GossipMessages.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/MemberRecord.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace dragonflylane {

class MemberTable {
public:
    using HostHash = uint64_t;
    using Members = std::map<HostId, MemberRecord>;

    /// A member, with the local state that is not part of its record.
    struct Entry {
        Members::iterator node;
        /// Hash of the record's boot ID and content; the last criterion in the order of records.
        uint32_t tieBreak { 0 };
        /// Position in present() or dead().
        size_t listIndex { 0 };
        /// When a suspect is declared dead, or a dead or left record expires.
        std::optional<TimePoint> deadline {};
        /// Number of random members that are still to be asked for a refutation before a suspect is declared dead.
        unsigned confirmations { 0 };
        /// The record dates from before a pause of this process of at least `deadRetention`, or came in a datagram that
        /// may have been queued during the pause, and has not been confirmed since. It is neither gossiped nor sent in
        /// pages, and is erased when another daemon lacks it or when a probe of the member fails.
        bool isUnconfirmed { false };

        const MemberRecord& record() const { return node->second; }
    };
    using Entries = std::map<HostHash, Entry>;
    using Iterator = Entries::iterator;
    using ConstIterator = Entries::const_iterator;

    static HostHash hashOf(const HostId&);

    /// Adds a member that is not in the table.
    Iterator insert(const MemberRecord&, uint32_t tieBreak);
    /// Replaces the record of a member and clears its deadline.
    void replace(Iterator, const MemberRecord&, uint32_t tieBreak);
    void erase(Iterator);
    /// Adds this daemon. It is only found by its hash and counts in the digests.
    Iterator insertSelf(const MemberRecord&, uint32_t tieBreak);
    void replaceSelf(Iterator, MemberRecord, uint32_t tieBreak);
    void setDeadline(Iterator, std::optional<TimePoint>);

    /// All members by host.
    const Members& members() const { return m_members; }
    Iterator find(HostHash hash) { return m_entries.find(hash); }
    ConstIterator find(HostHash hash) const { return m_entries.find(hash); }
    Iterator end() { return m_entries.end(); }
    ConstIterator end() const { return m_entries.end(); }
    /// The first member whose hash is not lower. The order of hashes makes buckets and pages ranges.
    ConstIterator lowerBound(HostHash hash) const { return m_entries.lower_bound(hash); }
    size_t countBetween(HostHash first, HostHash last) const;
    Iterator findByAddress(const Endpoint&);
    bool isPresentAt(const Endpoint&) const;

    /// Members other than this daemon that are alive or suspect, for uniform choice.
    const std::vector<HostHash>& present() const { return m_present; }
    /// Number of them in one data centre.
    size_t presentIn(const DataCentreName&) const;
    /// Number of data centres with any of them.
    size_t dataCentreCount() const { return m_presentPerDataCentre.size(); }
    /// Dead members whose records are retained.
    const std::vector<HostHash>& dead() const { return m_dead; }
    std::vector<Endpoint> deadAddresses() const;
    /// The member with the earliest deadline; end() if there is none.
    Iterator nextDue();
    std::optional<TimePoint> nextDeadline() const;

    static GossipDigestEntry digestEntry(HostHash, const Entry&);
    /// Digest of all present records, including this daemon's. Dead and left records don't count: daemons erase them at
    /// different times, and such differences need no repair.
    uint64_t rootDigest() const { return m_rootDigest; }
    const std::array<uint32_t, gossipBucketCount>& bucketDigests() const { return m_bucketDigests; }
    static size_t bucketOf(HostHash);
    static HostHash bucketFirst(size_t bucket);
    static HostHash bucketLast(size_t bucket);

private:
    Iterator emplace(const MemberRecord&, uint32_t tieBreak);
    void index(Iterator);
    void unindex(Iterator);
    void addToDigest(HostHash, const Entry&);
    void removeFromDigest(HostHash, const Entry&);

    Members m_members;
    Entries m_entries;
    std::vector<HostHash> m_present;
    std::map<DataCentreName, size_t> m_presentPerDataCentre;
    std::map<Endpoint, HostHash> m_byAddress;
    std::set<std::pair<TimePoint, HostHash>> m_deadlines;
    std::vector<HostHash> m_dead;
    std::array<uint32_t, gossipBucketCount> m_bucketDigests {};
    uint64_t m_rootDigest { 0 };
};

} // namespace dragonflylane
