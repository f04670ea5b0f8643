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
#include <span>
#include <string>
#include <vector>

namespace dragonflylane {

/// Checked settings. Paths are relative to the folder of the settings file.
struct Settings {
    std::string meshId;
    std::string secretFile;
    std::vector<Endpoint> seeds;

    HostId hostId;
    DataCentreName dataCentre;
    RegionName region;

    Endpoint callers;
    Endpoint peer;
    Endpoint api;

    /// Founding voters of the replicated log, by host.
    std::map<HostId, Endpoint> voters;
    std::string dataFolder;
    std::string operatorsFile;

    std::chrono::milliseconds defaultTimeout;
    uint32_t maxConnections { 0 };
    uint32_t maxBodyBytes { 0 };
    std::chrono::seconds drainTimeout;

    std::string logLevel;

    bool isControl() const { return voters.contains(hostId); }
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
