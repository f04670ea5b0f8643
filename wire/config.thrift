// Configuration items, deltas, snapshots and payloads.
namespace cpp dragonflylane.wire

struct ConfigService {
  1: string name
  2: i32 timeoutMilliseconds
  3: i32 maxAttempts
  4: i32 maxConnections
}

struct ConfigSplitPart {
  1: string serviceName
  2: i32 weight
}

struct ConfigRoute {
  1: string name
  2: string pathPrefix
  3: list<ConfigSplitPart> split
  4: i32 timeoutMilliseconds
  5: list<string> idempotentMethods
  6: optional string host
  7: optional bool idempotent
  8: i32 maxAttempts
  9: i32 priority
  10: i32 targetLatencyMilliseconds
  11: optional bool isPublic
}

struct ConfigCallRule {
  1: string caller
  2: string callee
}

struct ConfigKeeperHost {
  1: string host
  2: string dataCentre
}

struct ConfigKeeperView {
  1: i64 epoch
  2: list<ConfigKeeperHost> hosts
}

struct ConfigMeshPolicy {
  1: bool openCalls
  2: i32 maxHeaderBytes
  3: i64 maxBodyBytes
  4: i32 headerTimeoutMilliseconds
  5: i32 idleTimeoutMilliseconds
  6: optional bool requiresApiKeys
}

// Keys are SHA-256 hashes.
struct ConfigTenant {
  1: string name
  2: list<binary> keyHashes
  3: i32 priority
  4: double ratePerSecond
  5: double burst
}

// Times are milliseconds.
struct ConfigRollout {
  1: string serviceName
  2: string targetVersion
  3: i32 state
  4: i32 sharePermille
  5: i64 duration
  6: i64 elapsed
}

// Items grouped by kind, which is shorter than a tag for each item.
struct ConfigItems {
  1: optional list<ConfigService> services
  2: optional list<ConfigRoute> routes
  3: optional list<ConfigCallRule> callRules
  4: optional list<string> drains
  5: optional ConfigKeeperView keeperView
  6: optional ConfigMeshPolicy meshPolicy
  7: optional list<ConfigTenant> tenants
  8: optional list<ConfigRollout> rollouts
}

struct ConfigItemKey {
  1: i32 kind
  2: string name
}

// Digests are 16 bytes, big-endian.
struct ConfigDelta {
  1: i64 fromRevision
  2: binary fromDigest
  3: i64 toRevision
  4: binary toDigest
  5: ConfigItems upserts
  6: optional list<ConfigItemKey> removals
}

struct ConfigSnapshot {
  1: i64 revision
  2: binary digest
  3: ConfigItems items
}

// Kinds: 0 up to date, 1 delta, 2 snapshot. A large delta is compressed.
struct ConfigPayload {
  1: i32 kind
  2: i64 revision
  3: binary digest
  4: optional ConfigDelta delta
  5: optional binary snapshot
  6: optional binary compressedDelta
}
