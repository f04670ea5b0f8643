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

/// Checked settings. Paths are relative to the folder of the settings file.
struct Settings {
    std::string meshId;
    std::string secretFile;
    std::vector<Endpoint> seeds;
    /// The network admits daemons, upstreams and operators of this mesh only, so nobody proves who they are.
    bool isTrustedNetwork { false };

    HostId hostId;
    DataCentreName dataCentre;
    RegionName region;
    /// Service of the upstream beside this daemon. If set, all calls that enter here are made in its name.
    ServiceName service;
    /// Address of the upstream beside this daemon, if it is known before the upstream announces itself.
    std::optional<Endpoint> upstream;
    /// Rate of the network link of this host; zero: not known.
    uint64_t linkBytesPerSecond { 0 };

    /// Not set: no callers are served.
    Endpoint callers;
    Endpoint peer;
    Endpoint api;
    /// Further listeners of the API, for the readiness check and for collectors of metrics. Not set: none.
    Endpoint readiness;
    Endpoint metrics;

    /// Founding voters of the replicated log, by host.
    std::map<HostId, Endpoint> voters;
    /// The voters are chosen among the control hosts that are alive.
    bool hasAutomaticVoters { false };
    /// Automatic voters: this host has a replica of the log, and it may take part in the first start of the log.
    bool isControlHost { false };
    bool mayFound { false };
    /// Automatic voters: hosts that may be lost at once.
    uint32_t toleratedLosses { 0 };
    /// Shortest time without a leader before a voter stands for election.
    std::chrono::milliseconds electionTimeout;
    std::string dataFolder;
    std::string operatorsFile;

    std::chrono::milliseconds defaultTimeout;
    uint32_t maxConnections { 0 };
    uint32_t maxBodyBytes { 0 };
    /// For the bodies of all calls together.
    uint64_t bodyMemoryBytes { 0 };
    std::chrono::milliseconds drainTimeout;
    /// From the signal to stop until readiness checks must have noticed.
    std::chrono::milliseconds leaveNotice;
    bool hasDuplicateRecords { true };
    bool isHedging { true };
    bool ranksCalls { false };
    /// Shared budget of retries to each service; a window of zero leaves each daemon its own budget.
    double retryRatio { 0 };
    std::chrono::milliseconds retryWindow;
    double retrySlack { 0 };

    std::string logLevel;

    bool isControl() const { return isControlHost || voters.contains(hostId); }
};

/// One key as documented.
struct SettingInfo {
    const char* section;
    const char* key;
    const char* unit;
    const char* defaultValue;
    const char* range;
    const char* meaning;
};

std::span<const SettingInfo> settingsTable();

/// What is wrong with a settings file, for people: "mesh.ini: [listen] peer: ...".
struct SettingsError {
    ResultCode code { ResultCode::Ok };
    std::string text;
};

/// Reads and checks a file. Returns ResultCode::Ok in error.code on success.
SettingsError readSettings(const std::string& path, Settings&);

/// The same for the text of a file; name appears in messages.
SettingsError parseSettings(const std::string& text, const std::string& name, Settings&);

} // namespace dragonflylane
