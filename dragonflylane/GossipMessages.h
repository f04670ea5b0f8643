#pragma once

// Messages between the Membership modules of two daemons. Each fits in one datagram.

#include "dragonflylane/Endpoint.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/MemberRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace dragonflylane {

/// An application message to all daemons, identified by origin, boot ID and number.
struct GossipBroadcast {
    HostId origin;
    BootId bootId;
    uint64_t number { 0 };
    std::string payload;

    bool operator==(const GossipBroadcast&) const = default;
};

/// Records and broadcasts that are piggybacked on another message (field `cargo` in wire/gossip.thrift).
struct GossipPiggyback {
    std::vector<MemberRecord> records {};
    std::vector<GossipBroadcast> broadcasts {};
    /// Records and broadcasts that decode() has left out, because a value in them is out of range.
    size_t invalidCount { 0 };

    bool operator==(const GossipPiggyback&) const = default;
    bool isEmpty() const { return records.empty() && broadcasts.empty(); }
};

/// Asks a member for an acknowledgement.
struct GossipPing {
    uint32_t number { 0 };
    /// Low 32 bits of the target's host hash, so that a different daemon at a reused address does not answer.
    uint32_t target { 0 };
    GossipPiggyback piggyback {};

    bool operator==(const GossipPing&) const = default;
};

/// Asks a third member to ping the target and to forward its acknowledgement.
struct GossipIndirectPing {
    uint32_t number { 0 };
    uint32_t target { 0 };
    Endpoint targetAddress {};
    GossipPiggyback piggyback {};

    bool operator==(const GossipIndirectPing&) const = default;
};

/// Answers a ping and repeats its number.
struct GossipAcknowledgement {
    uint32_t number { 0 };
    GossipPiggyback piggyback {};

    bool operator==(const GossipAcknowledgement&) const = default;
};

/// Asks for one datagram of records with host hashes in [first, last].
struct GossipPageRequest {
    uint32_t number { 0 };
    uint64_t first { 0 };
    uint64_t last { 0 };
    /// Asks for a few members instead of a range, preferably of the sender's data centre.
    bool contactsOnly { false };
    /// Accepts the response of a daemon that has not completed its own join.
    bool acceptPartial { false };

    bool operator==(const GossipPageRequest&) const = default;
};

/// Asks for differences to the sender's records (`root`), for certain records (`wanted`) or for a page of records.
/// `sender` introduces the sender's own record.
struct GossipDigestRequest {
    std::optional<uint64_t> root {};
    /// Host hashes of records that the sender lacks or has in an older version.
    std::vector<uint64_t> wanted {};
    std::optional<GossipPageRequest> page {};
    std::optional<MemberRecord> sender {};

    bool operator==(const GossipDigestRequest&) const = default;
};

/// Version of one record without its content.
struct GossipDigestEntry {
    uint64_t hostHash { 0 };
    Incarnation incarnation;
    Sequence sequence;
    MemberState state { MemberState::Alive };
    uint32_t tieBreak { 0 };

    bool operator==(const GossipDigestEntry&) const = default;
};

/// Either the digests of all buckets, or the versions of all records with host hashes in [first, last].
struct GossipDigest {
    std::vector<uint32_t> buckets {};
    uint64_t first { 0 };
    uint64_t last { 0 };
    std::vector<GossipDigestEntry> entries {};

    bool operator==(const GossipDigest&) const = default;
};

/// Marks records as the response to the page request with this number. The next page starts at the host hash `next`.
struct GossipPageEnd {
    uint32_t number { 0 };
    uint64_t next { 0 };
    bool isLast { false };

    bool operator==(const GossipPageEnd&) const = default;
};

/// Carries records, either as gossip or in response to a request.
struct GossipRecords {
    GossipPiggyback piggyback {};
    std::optional<GossipPageEnd> page {};

    bool operator==(const GossipRecords&) const = default;
};

using GossipMessage = std::variant<GossipPing, GossipIndirectPing, GossipAcknowledgement, GossipDigestRequest,
    GossipDigest, GossipRecords>;

/// Number of buckets of a digest. The highest bits of the host hash select the bucket.
inline constexpr size_t gossipBucketCount = 256;

} // namespace dragonflylane
