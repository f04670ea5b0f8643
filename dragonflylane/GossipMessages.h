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

/// An application message to all daemons. Origin, life and number identify it.
struct GossipBroadcast {
    HostId origin;
    LifeId life;
    uint64_t number { 0 };
    std::string payload;

    bool operator==(const GossipBroadcast&) const = default;
};

/// Records and broadcasts that ride on another message.
struct GossipCargo {
    std::vector<MemberRecord> records {};
    std::vector<GossipBroadcast> broadcasts {};

    bool operator==(const GossipCargo&) const = default;
    bool isEmpty() const { return records.empty() && broadcasts.empty(); }
};

/// Asks a member for an acknowledgement.
struct GossipPing {
    uint32_t number { 0 };
    /// Low 32 bits of the target's host hash, so another daemon at a reused address does not answer for it.
    uint32_t target { 0 };
    GossipCargo cargo {};

    bool operator==(const GossipPing&) const = default;
};

/// Asks a third member to ping the target and to pass its acknowledgement on.
struct GossipIndirectPing {
    uint32_t number { 0 };
    uint32_t target { 0 };
    Endpoint targetAddress {};
    GossipCargo cargo {};

    bool operator==(const GossipIndirectPing&) const = default;
};

/// Answers a ping with the ping's number.
struct GossipAcknowledgement {
    uint32_t number { 0 };
    GossipCargo cargo {};

    bool operator==(const GossipAcknowledgement&) const = default;
};

/// Asks for one datagram of records with host hashes in [first, last].
struct GossipPageRequest {
    uint32_t number { 0 };
    uint64_t first { 0 };
    uint64_t last { 0 };
    /// Asks for some members, those of the sender's data centre first, instead of a range.
    bool contactsOnly { false };
    /// Lets a daemon answer that has itself not joined yet.
    bool acceptPartial { false };

    bool operator==(const GossipPageRequest&) const = default;
};

/// Asks for what differs: by the digest of all records, by names of records, or by page.
struct GossipDigestRequest {
    std::optional<uint64_t> root {};
    /// Host hashes of records that the sender lacks.
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

/// Marks records as the answer to a page request. The next page starts at the host hash `next`.
struct GossipPageEnd {
    uint32_t number { 0 };
    uint64_t next { 0 };
    bool isLast { false };

    bool operator==(const GossipPageEnd&) const = default;
};

/// Carries records, unasked or as an answer.
struct GossipRecords {
    GossipCargo cargo {};
    std::optional<GossipPageEnd> page {};

    bool operator==(const GossipRecords&) const = default;
};

using GossipMessage = std::variant<GossipPing, GossipIndirectPing, GossipAcknowledgement, GossipDigestRequest,
    GossipDigest, GossipRecords>;

/// Number of buckets that a digest divides the host hashes into, by their highest bits.
inline constexpr size_t gossipBucketCount = 256;

} // namespace dragonflylane
