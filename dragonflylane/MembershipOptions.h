#pragma once

#include "dragonflylane/BootClock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dragonflylane {

/// Parameters of Membership. The defaults are those of docs/design.md.
struct MembershipOptions {
    /// Seed of the random generator. Must differ between daemons and between runs of a daemon.
    uint64_t seed { 1 };

    /// One random member is probed each period. With one ping and one acknowledgement a second, an idle daemon sends
    /// under 100 B/s.
    Duration probePeriod { std::chrono::seconds(1) };
    /// After this time without an acknowledgement, other members are asked to ping the target.
    Duration probeTimeout { std::chrono::milliseconds(300) };
    size_t indirectProbes { 3 };
    /// Time for a suspect to refute, in probe periods. Suspicion and refutation each spread in under 2 s.
    unsigned suspicionPeriods { 5 };
    /// In each of the last `suspicionConfirmations` periods of a suspicion, one random member is asked whether it has a
    /// refutation. Without this, some daemons declared live members dead at 20 % packet loss.
    unsigned suspicionConfirmations { 3 };

    /// While updates are queued, they are sent to `gossipFanout` random members in each period.
    Duration gossipPeriod { std::chrono::milliseconds(200) };
    size_t gossipFanout { 3 };
    /// All but one of the `gossipFanout` members are chosen from the own data centre where possible, since traffic
    /// between data centres is expensive.
    bool prefersLocalGossip { true };
    /// Each member sends a record up to transmissionFactor * log2(n + 2) times within its own data centre, where n is
    /// the number of other members there.
    unsigned transmissionFactor { 3 };
    /// Expected number of copies of each record that all members of one data centre together send to each other data
    /// centre. Members decide independently, and every data centre that has the record forwards it.
    double remoteCopies { 2 };
    /// Receiving a queued record again counts as this many transmissions, since other members are disseminating it.
    unsigned duplicateWeight { 1 };

    /// Period of the anti-entropy digest comparison with one random member.
    Duration antiEntropyPeriod { std::chrono::seconds(10) };
    /// Maximum number of datagrams with digest entries in one comparison.
    size_t maxDigestDatagrams { 4 };
    /// In each period, one address is contacted at which no live member is known, so that a healed partition is
    /// detected: that of a dead member, of a member whose dead record has expired (a lost member), or of a seed.
    Duration lostProbePeriod { std::chrono::seconds(10) };
    /// A member that died recently has probably been cut off and may be back at any time. All members together contact
    /// it this often in each second, whatever their number.
    double deadProbesPerSecond { 30 };
    /// Limit on the recently dead members that one daemon contacts in each second. A daemon that lacks more members
    /// than it has, or all seeds, contacts as many lost addresses, since few others look for it.
    size_t maxDeadProbes { 3 };
    /// Dead and left records are kept for this time, so that an older record can't bring the member back.
    Duration deadRetention { std::chrono::seconds(60) };
    /// The address of a lost member is kept for this time after its record has expired.
    Duration lostRetention { std::chrono::hours(1) };
    size_t maxLostMembers { 256 };

    /// First and largest bound of the exponential backoff with full jitter for join attempts and for requests of pages
    /// of the member list.
    Duration joinBackoffBase { std::chrono::milliseconds(50) };
    Duration joinBackoffLimit { std::chrono::seconds(10) };
    Duration pageTimeout { std::chrono::milliseconds(500) };
    size_t maxPagesInFlight { 4 };
    /// Rate limit, per second, for datagrams of records and digests sent on request.
    double transfersPerSecond { 200 };
    double transferBurst { 50 };

    /// A longer gap between two calls of Membership functions is treated as a pause of the process. The effective limit
    /// is at least two probe periods.
    Duration pauseLimit { std::chrono::seconds(2) };

    size_t maxMembers { 65536 };
    /// Limits of the broadcasts queued for transmission and of the identities kept to detect duplicates.
    size_t maxBroadcasts { 64 };
    size_t maxBroadcastIdentities { 4096 };

    // Switches for tests that demonstrate what each mechanism prevents.

    /// Off: a member is declared dead at the first failed probe, and does not refute.
    bool suspicionWithRefutation { true };
    bool indirectProbing { true };
    /// Off: a restarted daemon does not take a higher incarnation than its previous run.
    bool raisesIncarnationAfterRestart { true };
    /// Off: dead and left records expire at once.
    bool keepDeadRecords { true };
};

} // namespace dragonflylane
