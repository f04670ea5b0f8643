#pragma once

// Settings of one daemon, read from an INI file. Everything is checked before anything starts: an unknown section or
// key, a value out of range or a bad address is an error that names file, section, key and reason. An empty file
// describes a working mesh of one host on loopback. docs/SETTINGS.md lists every key; a test compares it with the
// table that settingsTable() returns.

#include "dragonflylane/BootClock.h"
#include "dragonflylane/Endpoint.h"
#include "dragonflylane/Ids.h"
#include "dragonflylane/ResultCode.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonflylane {

/// Validated settings. Relative paths have been resolved against the folder of the settings file.
struct Settings {
    std::string meshId;
    std::string secretFile;
    std::vector<Endpoint> seeds;
    /// Only daemons, upstreams and operators of this mesh can reach the network, so no authentication is required.
    bool isTrustedNetwork { false };

    HostId hostId;
    DataCentreName dataCentre;
    RegionName region;
    /// Service of the local upstream. If set, it is the caller of all calls that enter at this daemon.
    ServiceName service;
    /// Address of the local upstream, if it is fixed.
    std::optional<Endpoint> upstream;
    /// Rate of this host's network link; zero: unknown, writes are not paced.
    uint64_t linkBytesPerSecond { 0 };

    /// Listener for callers. Not set: no callers are served.
    Endpoint callers;
    Endpoint peer;
    Endpoint api;
    /// Additional listeners of the API for readiness checks and for scraping metrics. Not set: none.
    Endpoint readiness;
    Endpoint metrics;

    /// Initial voters of the replicated log, by host.
    std::map<HostId, Endpoint> voters;
    /// The voters are chosen among the control hosts that are alive.
    bool hasAutomaticVoters { false };
    /// With automatic voters: this host has a replica of the log.
    bool isControlHost { false };
    /// With automatic voters: this host may bootstrap the log at the first start of the mesh.
    bool canBootstrap { false };
    /// With automatic voters: number of control hosts that may fail at the same time.
    uint32_t toleratedLosses { 0 };
    /// Shortest time without a leader before a voter stands for election.
    std::chrono::milliseconds electionTimeout;
    std::string dataFolder;
    std::string operatorsFile;

    std::chrono::milliseconds defaultTimeout;
    uint32_t maxConnections { 0 };
    uint32_t maxBodyBytes { 0 };
    /// Limit on the memory for the bodies of all calls together.
    uint64_t bodyMemoryBytes { 0 };
    std::chrono::milliseconds drainTimeout;
    /// Time after the stop signal in which callers and readiness checks notice the shutdown; calls are served
    /// meanwhile.
    std::chrono::milliseconds leaveNotice;
    std::chrono::milliseconds upstreamDrainTime;
    bool usesIdempotencyRecords { true };
    bool isHedging { true };
    /// True for "admission = ranks" in section [calls]. See OwnerTaskOptions.
    bool usesRankedAdmission { false };
    /// See EntryTaskOptions and OwnerTaskOptions.
    bool usesUpstreamSpeeds { false };
    bool pacesUpstream { false };
    bool ordersNestedCalls { false };
    bool throttlesNestedCalls { false };
    /// Mesh-wide retry budget for each service. With a window of zero, each daemon has its own budget.
    double retryRatio { 0 };
    std::chrono::milliseconds retryWindow;
    double retrySlack { 0 };
    /// Window in which the rate and burst of a tenant hold.
    std::chrono::milliseconds allotmentWindow { std::chrono::seconds(5) };
    /// See QuotaTolerance.
    double allotmentOverage { 0 };
    double allotmentSlack { 0 };

    std::string logLevel;

    bool isControl() const { return isControlHost || voters.contains(hostId); }
};

/// Documentation of one setting.
struct SettingInfo {
    const char* section;
    const char* key;
    const char* unit;
    const char* defaultValue;
    const char* range;
    const char* meaning;
};

std::span<const SettingInfo> settingsTable();

/// Result of reading settings. The text is a message for the operator, such as "mesh.ini: [listen] peer: ...".
struct SettingsError {
    ResultCode code { ResultCode::Ok };
    std::string text;
};

/// Reads and validates a file. The code is Ok on success.
SettingsError readSettings(const std::string& path, Settings&);

/// The same for the text of a file. `name` is the file name for messages.
SettingsError parseSettings(const std::string& text, const std::string& name, Settings&);

} // namespace dragonflylane
