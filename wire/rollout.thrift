// Evidence on the versions of a service during a roll-out, from entry daemons to the control leader.
namespace cpp dragonflylane.wire

// Requests of one route to the target version of a service, or to its other versions, since the start of the daemon's
// count. Times are microseconds.
struct RolloutTally {
  1: string serviceName
  // Empty: the versions other than the target.
  2: string version
  3: i64 routeKey
  4: i64 sent
  // Answered, refused or given up.
  5: i64 ended
  6: i64 failed
  7: i64 slow
  8: i64 runTimeSum
  // Ended without an answer of the upstream.
  9: i64 unanswered
}

struct RolloutEvidence {
  1: string host
  2: i64 process
  3: i64 number
  4: list<RolloutTally> tallies
}
