#pragma once

#include "dragonflylane/BootClock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dragonflylane {

/// Parameters of Membership. The defaults are the design's figures.
struct MembershipOptions {
    /// Seed of the random generator. Different on each daemon and in each life.
    uint64_t seed { 1 };

    /// One random member is probed each period. With one ping and one acknowledgement a second, an idle daemon sends
    /// under 100 B/s.
    Duration probePeriod { std::chrono::seconds(1) };
    /// A ping without an answer for this time is repeated through others.
    Duration probeTimeout { std::chrono::milliseconds(300) };
    size_t indirectProbes { 3 };
    /// Time for a suspect to refute, in probe periods. Suspicion and refutation each spread in under 2 s.
    unsigned suspicionPeriods { 5 };
    /// In each of the last periods of a suspicion, one random member is asked for a refutation that was missed. At 20 %
    /// loss, single daemons otherwise declared living members dead.
    unsigned suspicionConfirmations { 3 };

    /// While there are records to spread, they are sent to `gossipFanout` random members each period.
    Duration gossipPeriod { std::chrono::milliseconds(200) };
    size_t gossipFanout { 3 };
    /// All but one of them are of the own data centre where possible, since bytes between data centres are dear.
    bool prefersNearGossip { true };
    /// Each record is sent this many times log2(number of members) within the own data centre.
    unsigned transmissionFactor { 3 };
    /// Copies of each record that the members of one data centre together send to each other one. They choose
    /// independently, and all data centres that have the record send it on.
    double farCopies { 2 };
    /// A queued record that arrives again counts as this many transmissions, since others spread it already.
    unsigned duplicateWeight { 1 };

    /// Period of the digest comparison with one random member.
    Duration repairPeriod { std::chrono::seconds(10) };
    /// Datagrams of digest entries that one comparison sends at most.
    size_t repairDatagrams { 4 };
    /// A member that is dead or lost is contacted once in this period, so a healed partition is noticed.
    Duration lostProbePeriod { std::chrono::seconds(10) };
    /// Dead and left records are kept for this time, so an older record of the member cannot reappear.
    Duration deadRetention { std::chrono::seconds(60) };
    /// The address of a dead member is remembered for this time after its record is gone.
    Duration lostRetention { std::chrono::hours(1) };
    size_t maxLostMembers { 256 };

    /// Bounds of the full-jitter backoff of join attempts and record pages.
    Duration joinBackoffBase { std::chrono::milliseconds(50) };
    Duration joinBackoffLimit { std::chrono::seconds(10) };
    Duration pageTimeout { std::chrono::milliseconds(500) };
    size_t maxPagesInFlight { 4 };
    /// Datagrams of records and digests that a daemon sends on request, per second.
    double transfersPerSecond { 200 };
    double transferBurst { 50 };

    /// A gap between two calls longer than this means that the process was paused.
    Duration pauseLimit { std::chrono::seconds(2) };

    size_t maxMembers { 65536 };
    /// Broadcasts that wait to be passed on, and identities kept to recognise duplicates.
    size_t maxBroadcasts { 64 };
    size_t maxBroadcastIdentities { 4096 };

    // Switches for tests that show what each mechanism prevents.

    /// Off: a member is declared dead at the first failed probe, and does not refute.
    bool suspicionWithRefutation { true };
    bool indirectProbing { true };
    /// Off: a restarted daemon does not take a higher incarnation than its previous life.
    bool incarnationBump { true };
    /// Off: dead and left records are forgotten at once.
    bool keepDeadRecords { true };
};

} // namespace dragonflylane
