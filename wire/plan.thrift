// Commands of the replicated state machine, and its snapshot in the log.
namespace cpp dragonflylane.wire

include "config.thrift"
include "crash.thrift"
include "departure.thrift"

// Exactly one field is set, and `item` contains exactly one item.
struct PlanChange {
  1: optional config.ConfigItems item
  2: optional config.ConfigItemKey removal
}

struct PlanPropose {
  1: string planId
  2: optional i64 base
  3: list<PlanChange> changes
  4: string operatorName
}

struct PlanConfirm {
  1: string planId
  2: string operatorName
}

struct PlanSetKeepers {
  1: i64 epoch
  2: list<config.ConfigKeeperHost> hosts
}

// The document is compressed.
struct PlanReplace {
  1: i64 version
  2: i64 base
  3: config.ConfigItems items
  4: binary document
  5: string operatorName
}

// A replacement as the difference from the current document. The new document is compressed with the current one as
// prefix.
struct PlanPatch {
  1: i64 version
  2: i64 base
  3: binary digest
  4: config.ConfigItems upserts
  5: list<config.ConfigItemKey> removals
  6: binary documentPatch
  7: string operatorName
}

// Starts a roll-out. Times are milliseconds.
struct PlanStartRollout {
  1: string serviceName
  2: string targetVersion
  3: i64 duration
  4: string operatorName
}

// Sets the share or the final state of a running roll-out.
struct PlanAdvanceRollout {
  1: string serviceName
  2: string targetVersion
  3: i32 state
  4: i32 sharePermille
  5: i64 elapsed
}

// Records departures of upstream processes at one host.
struct PlanRecordDepartures {
  1: string host
  2: list<departure.DepartedProcess> departures
}

struct PlanQuarantinedRequest {
  1: i64 fingerprint
  2: list<crash.CrashDeath> deaths
}

// Adds requests to the quarantine and removes others.
struct PlanChangeQuarantine {
  1: list<PlanQuarantinedRequest> added
  2: list<i64> removed
}

// Exactly one field is set.
struct PlanCommand {
  1: optional PlanPropose propose
  2: optional PlanConfirm confirm
  3: optional PlanSetKeepers setKeepers
  4: optional PlanReplace replace
  5: optional PlanPatch patch
  6: optional PlanStartRollout startRollout
  7: optional PlanAdvanceRollout advanceRollout
  8: optional PlanRecordDepartures recordDepartures
  9: optional PlanChangeQuarantine changeQuarantine
}

struct PlanRecord {
  1: string planId
  2: i64 base
  3: list<PlanChange> changes
  4: string proposedBy
  5: string confirmedBy
  6: i32 status
  7: i64 revision
  8: i32 code
  9: string detail
  10: optional list<config.ConfigItemKey> conflictItems
  11: optional i64 conflictCount
}

struct PlanAcceptedDocument {
  1: i64 version
  2: binary digest
  3: i64 revision
}

struct PlanBookSnapshot {
  1: config.ConfigSnapshot state
  2: list<config.ConfigDelta> deltas
  3: list<PlanRecord> plans
  4: optional binary document
  5: list<PlanAcceptedDocument> acceptedDocuments
  // The host with the latest departure comes last.
  6: list<PlanRecordDepartures> departures
  7: list<PlanQuarantinedRequest> quarantine
}
