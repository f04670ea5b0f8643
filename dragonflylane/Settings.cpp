#include "dragonflylane/Settings.h"

#include "dragonflylane/ConfigItem.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace dragonflylane {

namespace {

    constexpr SettingInfo table[] = {
        { "mesh", "id", "", "local", "1 to 64 of a-z 0-9 . _ -",
            "Name of the mesh; daemons of another mesh are refused." },
        { "mesh", "secret-file", "path", "", "file of 16 to 4096 bytes",
            "Shared secret of the mesh. Required as soon as a listener is not on loopback." },
        { "mesh", "seeds", "addresses", "", "up to 64", "Peer addresses of a few daemons, asked first when joining." },
        { "mesh", "seed-port", "port", "0", "0 to 65535", "Port that replaces the port of each seed; 0 keeps them." },
        { "mesh", "trusted-network", "", "no", "yes, no",
            "Only this mesh can reach the network: no secret and no operator tokens are needed beyond loopback." },
        { "host", "id", "", "local", "1 to 64 of a-z 0-9 . _ -", "Name of this host, unique in the mesh." },
        { "host", "data-centre", "", "local", "1 to 64 of a-z 0-9 . _ -", "Data centre of this host." },
        { "host", "region", "", "local", "1 to 64 of a-z 0-9 . _ -", "Region of this host." },
        { "host", "service", "", "", "1 to 64 of a-z 0-9 . _ -",
            "Service on this host; calls that enter here are made in its name. Empty: callers name themselves." },
        { "host", "upstream", "address", "", "IP:port", "Local upstream of this daemon, if it has a fixed address." },
        { "host", "link-mbps", "Mbit/s", "0", "0 to 1000000",
            "Rate of the network link of this host, by which writes are paced; 0: not known, nothing is paced." },
        { "listen", "callers", "address", "127.0.0.1:8080", "IP:port or none", "Where callers send HTTP requests." },
        { "listen", "peer", "address", "127.0.0.1:7080", "IP:port",
            "Where other daemons connect (TCP) and gossip (UDP)." },
        { "listen", "api", "address", "127.0.0.1:7081", "IP:port", "Operator API and announcements of the upstream." },
        { "listen", "readiness", "address", "", "IP:port", "Further listener of the API, for readiness checks." },
        { "listen", "metrics", "address", "", "IP:port", "Further listener of the API, for collectors of metrics." },
        { "control", "voters", "host=address list", "this host", "1, 3 or 5, or automatic",
            "Initial voters of the replicated log with their peer addresses; the same on every host. automatic: "
            "chosen among the control hosts that are alive." },
        { "control", "member", "", "no", "yes, no", "With automatic voters: this host has a replica of the log." },
        { "control", "may-found", "", "no", "yes, no",
            "With automatic voters: this host may bootstrap the log at the first start of the mesh." },
        { "control", "tolerated-losses", "hosts", "2", "0 to 4",
            "With automatic voters: control hosts that may fail at the same time; the voters are twice as many plus "
            "one." },
        { "control", "election-timeout-ms", "ms", "600", "100 to 10000",
            "Shortest time without a leader before a voter stands for election; the longest is five thirds of it." },
        { "control", "data-folder", "path", "data", "", "Folder of the replicated log. Used on control hosts only." },
        { "control", "operators-file", "path", "", "lines of name token",
            "Operators and their tokens. Required as soon as the API is not on loopback." },
        { "calls", "default-timeout-ms", "ms", "2000", "1 to 600000", "Deadline of a call that sets none." },
        { "calls", "max-connections", "connections", "2000", "1 to 60000",
            "Maximum number of callers connected at a time." },
        { "calls", "max-body-bytes", "bytes", "1048576", "0 to 67108864", "Largest request or answer body." },
        { "calls", "body-memory-mb", "MB", "32", "8 to 4096",
            "Memory for the bodies of all calls together. One body may take an eighth of it." },
        { "calls", "drain-timeout-s", "s", "60", "0.1 to 3600", "Longest wait for calls in flight at shutdown." },
        { "calls", "upstream-drain-s", "s", "2", "0 to 600",
            "Time for which an upstream that drains serves calls after the acknowledgement; later none is sent to "
            "it." },
        { "calls", "leave-notice-s", "s", "0.5", "0 to 60",
            "Time after the stop signal in which callers and peers notice the shutdown; calls are served meanwhile." },
        { "calls", "duplicate-records", "", "yes", "yes, no",
            "Idempotency keys are recorded on keepers. no: a key has no effect." },
        { "calls", "hedging", "", "yes", "yes, no", "A second copy of a late idempotent call is sent." },
        { "calls", "admission", "", "shares", "shares, ranks",
            "Order in which an upstream gets calls: non-idempotent and idempotent calls by shares, or all by rank." },
        { "calls", "upstream-speeds", "", "no", "yes, no",
            "Upstreams are chosen by their speed and momentary slowness besides their load." },
        { "calls", "upstream-pace", "", "no", "yes, no",
            "The daemon of an upstream that starts or recovers finds the pace of its calls from its answers. no: its "
            "share grows over 10 s." },
        { "calls", "nested-calls-first", "", "no", "yes, no",
            "With admission = ranks: nested calls have the priority of their parent calls and go first within it." },
        { "calls", "nested-call-throttle", "", "no", "yes, no",
            "With admission = ranks: calls whose nested calls find no capacity are refused before they run." },
        { "calls", "retry-ratio", "", "0.1", "0 to 1", "Retries to a service as a share of the requests for it." },
        { "calls", "retry-window-s", "s", "0", "0 to 600",
            "Window in which the retries of all daemons are bounded; 0: each daemon has a budget of its own." },
        { "calls", "retry-slack", "retries", "0", "0 to 1000000",
            "Retries to a service that all daemons together may make in the window beyond the ratio." },
        { "calls", "allotment-window-s", "s", "5", "empty or 0.1 to 600",
            "Window in which the rate and burst of each tenant bound its requests at all daemons together; the same on "
            "every host. Empty: the default." },
        { "calls", "allotment-overage", "", "0", "empty or 0 to 1",
            "Share of a tenant's limit by which a window may exceed it. Empty: the default." },
        { "calls", "allotment-slack", "requests", "0", "empty or 0 to 1000000",
            "Requests by which a window may exceed the limit of a tenant in addition. Empty: the default." },
        { "log", "level", "", "info", "debug, info, warning, error", "Lowest level that is logged." },
    };

    using Values = std::map<std::string, std::string>;

    std::string keyOf(std::string_view section, std::string_view key)
    {
        return std::string(section) + "." + std::string(key);
    }

    const SettingInfo* findSettingInfo(std::string_view section, std::string_view key)
    {
        for (const SettingInfo& info : table) {
            if (info.section == section && info.key == key)
                return &info;
        }
        return nullptr;
    }

    std::string shortestText(double value)
    {
        char text[32];
        auto result = std::to_chars(std::begin(text), std::end(text), value);
        return std::string(text, result.ptr);
    }

    std::vector<std::string> splitList(const std::string& text)
    {
        std::vector<std::string> parts;
        std::istringstream stream(text);
        for (std::string part; std::getline(stream, part, ',');) {
            size_t first = part.find_first_not_of(" \t");
            size_t last = part.find_last_not_of(" \t");
            if (first != std::string::npos)
                parts.push_back(part.substr(first, last - first + 1));
        }
        return parts;
    }

    // Converts settings to typed values and records the first error.
    class Reader {
    public:
        Reader(const std::string& file, const Values& values)
            : m_file(file)
            , m_values(values)
        {
        }

        const SettingsError& error() const { return m_error; }
        bool isGiven(const char* section, const char* key) const { return m_values.contains(keyOf(section, key)); }

        std::string text(const char* section, const char* key) const
        {
            auto it = m_values.find(keyOf(section, key));
            return it != m_values.end() ? it->second : findSettingInfo(section, key)->defaultValue;
        }

        std::string identifier(const char* section, const char* key)
        {
            std::string value = text(section, key);
            if (!isValidName(value))
                fail(ResultCode::SettingInvalid, section, key,
                    "'" + value + "' is not a name of 1 to 64 of a-z 0-9 . _ -");
            return value;
        }

        Endpoint endpoint(const char* section, const char* key)
        {
            std::string value = text(section, key);
            auto parsed = Endpoint::parse(value);
            if (!parsed || !parsed->isSet()) {
                fail(ResultCode::SettingInvalid, section, key, "'" + value + "' is not an IP address with a port");
                return {};
            }
            return *parsed;
        }

        uint32_t number(const char* section, const char* key, uint32_t min, uint32_t max)
        {
            std::string value = text(section, key);
            uint32_t parsed = 0;
            auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), parsed);
            if (status == std::errc::invalid_argument || end != value.data() + value.size())
                fail(ResultCode::SettingInvalid, section, key, "'" + value + "' is not a whole number");
            else if (status != std::errc() || parsed < min || parsed > max)
                fail(ResultCode::SettingOutOfRange, section, key,
                    "'" + value + "' is not between " + std::to_string(min) + " and " + std::to_string(max));
            return parsed;
        }

        double decimal(const char* section, const char* key, double min, double max)
        {
            std::string value = text(section, key);
            double parsed = 0;
            auto [end, status] = std::from_chars(value.data(), value.data() + value.size(), parsed);
            if (status != std::errc() || end != value.data() + value.size())
                fail(ResultCode::SettingInvalid, section, key, "'" + value + "' is not a number");
            else if (!(parsed >= min && parsed <= max))
                fail(ResultCode::SettingOutOfRange, section, key,
                    "'" + value + "' is not between " + shortestText(min) + " and " + shortestText(max));
            return parsed;
        }

        std::chrono::milliseconds seconds(const char* section, const char* key, double min, double max)
        {
            return std::chrono::round<std::chrono::milliseconds>(
                std::chrono::duration<double>(decimal(section, key, min, max)));
        }

        bool flag(const char* section, const char* key)
        {
            std::string value = text(section, key);
            bool isYes = value == "yes" || value == "true";
            if (!isYes && value != "no" && value != "false")
                fail(ResultCode::SettingInvalid, section, key, "'" + value + "' is not yes or no");
            return isYes;
        }

        Endpoint optionalEndpoint(const char* section, const char* key)
        {
            return text(section, key).empty() ? Endpoint() : endpoint(section, key);
        }

        void fail(ResultCode code, const char* section, const char* key, const std::string& reason)
        {
            if (m_error.code != ResultCode::Ok)
                return;
            m_error = { code, m_file + ": [" + section + "] " + key + ": " + reason };
        }

    private:
        const std::string& m_file;
        const Values& m_values;
        SettingsError m_error;
    };

    struct RawFile {
        Values values;
        std::string unknown;
        std::string repeated;
    };

    // Handler for ini_parse_string(). Always returns 1 (success), so that the whole file is checked for INI syntax.
    int collectValue(void* user, const char* section, const char* key, const char* value)
    {
        auto& raw = *static_cast<RawFile*>(user);
        std::string where = std::string("[") + section + "] " + key;
        if (!findSettingInfo(section, key)) {
            if (raw.unknown.empty())
                raw.unknown = where;
            return 1;
        }
        if (!raw.values.emplace(keyOf(section, key), value).second && raw.repeated.empty())
            raw.repeated = where;
        return 1;
    }

    void readVoters(Reader& reader, Settings& settings)
    {
        if (!reader.isGiven("control", "voters")) {
            settings.voters = { { settings.hostId, settings.peer } };
            return;
        }
        if (reader.text("control", "voters") == "automatic") {
            settings.hasAutomaticVoters = true;
            settings.isControlHost = reader.flag("control", "member");
            settings.canBootstrap = reader.flag("control", "may-found");
            return;
        }
        for (const std::string& part : splitList(reader.text("control", "voters"))) {
            size_t equals = part.find('=');
            auto endpoint = equals == std::string::npos ? std::nullopt : Endpoint::parse(part.substr(equals + 1));
            if (!endpoint || !endpoint->isSet() || !isValidName(part.substr(0, equals)))
                return reader.fail(
                    ResultCode::SettingInvalid, "control", "voters", "'" + part + "' is not host=IP:port");
            if (!settings.voters.emplace(HostId(part.substr(0, equals)), *endpoint).second)
                return reader.fail(ResultCode::SettingInvalid, "control", "voters", "'" + part + "' repeats a host");
        }
        size_t count = settings.voters.size();
        if (count != 1 && count != 3 && count != 5)
            reader.fail(ResultCode::SettingOutOfRange, "control", "voters",
                std::to_string(count) + " voters; a log has 1, 3 or 5");
        auto own = settings.voters.find(settings.hostId);
        if (own != settings.voters.end() && own->second != settings.peer)
            reader.fail(ResultCode::SettingInvalid, "control", "voters",
                "the address of this host differs from [listen] peer " + settings.peer.toString());
    }

    void readSeeds(Reader& reader, Settings& settings)
    {
        constexpr size_t maxSeeds = 64;
        for (const std::string& part : splitList(reader.text("mesh", "seeds"))) {
            auto endpoint = Endpoint::parse(part);
            if (!endpoint || !endpoint->isSet())
                return reader.fail(
                    ResultCode::SettingInvalid, "mesh", "seeds", "'" + part + "' is not an IP address with a port");
            settings.seeds.push_back(*endpoint);
            if (uint32_t port = reader.number("mesh", "seed-port", 0, UINT16_MAX); port > 0)
                settings.seeds.back().port = static_cast<uint16_t>(port);
        }
        if (settings.seeds.size() > maxSeeds)
            reader.fail(ResultCode::SettingOutOfRange, "mesh", "seeds", "more than 64 seeds");
    }

    std::string resolvePath(const std::string& file, const std::string& path)
    {
        if (path.empty() || std::filesystem::path(path).is_absolute())
            return path;
        return (std::filesystem::path(file).parent_path() / path).string();
    }

    // Requires authentication for listeners beyond loopback, since otherwise anyone who can reach them could change the
    // mesh.
    void checkExposure(Reader& reader, const Settings& settings)
    {
        if (settings.isTrustedNetwork)
            return;
        bool hasRemoteCallers = settings.callers.isSet() && !settings.callers.isLoopback();
        if (settings.secretFile.empty() && (!settings.peer.isLoopback() || hasRemoteCallers))
            reader.fail(ResultCode::SettingMissing, "mesh", "secret-file", "required for a listener beyond loopback");
        bool isApiLocal = settings.api.isLoopback() && (!settings.readiness.isSet() || settings.readiness.isLoopback())
            && (!settings.metrics.isSet() || settings.metrics.isLoopback());
        if (isApiLocal)
            return;
        if (settings.secretFile.empty())
            reader.fail(ResultCode::SettingMissing, "mesh", "secret-file", "required for a listener beyond loopback");
        if (settings.operatorsFile.empty())
            reader.fail(ResultCode::SettingMissing, "control", "operators-file", "required for an API beyond loopback");
    }

    void readAll(Reader& reader, const std::string& file, Settings& settings)
    {
        settings = {};
        settings.meshId = reader.identifier("mesh", "id");
        settings.secretFile = resolvePath(file, reader.text("mesh", "secret-file"));
        settings.hostId = HostId(reader.identifier("host", "id"));
        settings.dataCentre = DataCentreName(reader.identifier("host", "data-centre"));
        settings.region = RegionName(reader.identifier("host", "region"));
        settings.isTrustedNetwork = reader.flag("mesh", "trusted-network");
        if (!reader.text("host", "service").empty())
            settings.service = ServiceName(reader.identifier("host", "service"));
        constexpr double bytesPerMegabit = 125'000;
        constexpr double maxMegabits = 1'000'000;
        settings.linkBytesPerSecond
            = static_cast<uint64_t>(reader.decimal("host", "link-mbps", 0, maxMegabits) * bytesPerMegabit);
        if (!reader.text("host", "upstream").empty())
            settings.upstream = reader.endpoint("host", "upstream");
        if (reader.text("listen", "callers") != "none")
            settings.callers = reader.endpoint("listen", "callers");
        settings.readiness = reader.optionalEndpoint("listen", "readiness");
        settings.metrics = reader.optionalEndpoint("listen", "metrics");
        settings.peer = reader.endpoint("listen", "peer");
        settings.api = reader.endpoint("listen", "api");
        settings.dataFolder = resolvePath(file, reader.text("control", "data-folder"));
        settings.operatorsFile = resolvePath(file, reader.text("control", "operators-file"));
        settings.defaultTimeout = std::chrono::milliseconds(reader.number("calls", "default-timeout-ms", 1, 600000));
        settings.maxConnections = reader.number("calls", "max-connections", 1, 60000);
        settings.maxBodyBytes = reader.number("calls", "max-body-bytes", 0, 67108864);
        settings.bodyMemoryBytes = static_cast<uint64_t>(reader.number("calls", "body-memory-mb", 8, 4096)) << 20;
        settings.drainTimeout = reader.seconds("calls", "drain-timeout-s", 0.1, 3600);
        settings.upstreamDrainTime = reader.seconds("calls", "upstream-drain-s", 0, 600);
        settings.leaveNotice = reader.seconds("calls", "leave-notice-s", 0, 60);
        settings.usesIdempotencyRecords = reader.flag("calls", "duplicate-records");
        settings.isHedging = reader.flag("calls", "hedging");
        settings.usesRankedAdmission = reader.text("calls", "admission") == "ranks";
        if (!settings.usesRankedAdmission && reader.text("calls", "admission") != "shares")
            reader.fail(ResultCode::SettingInvalid, "calls", "admission",
                "'" + reader.text("calls", "admission") + "' is not shares or ranks");
        settings.usesUpstreamSpeeds = reader.flag("calls", "upstream-speeds");
        settings.pacesUpstream = reader.flag("calls", "upstream-pace");
        settings.ordersNestedCalls = reader.flag("calls", "nested-calls-first");
        settings.throttlesNestedCalls = reader.flag("calls", "nested-call-throttle");
        settings.retryRatio = reader.decimal("calls", "retry-ratio", 0, 1);
        settings.retryWindow = reader.seconds("calls", "retry-window-s", 0, 600);
        settings.retrySlack = reader.decimal("calls", "retry-slack", 0, 1000000);
        if (!reader.text("calls", "allotment-window-s").empty())
            settings.allotmentWindow = reader.seconds("calls", "allotment-window-s", 0.1, 600);
        if (!reader.text("calls", "allotment-overage").empty())
            settings.allotmentOverage = reader.decimal("calls", "allotment-overage", 0, 1);
        if (!reader.text("calls", "allotment-slack").empty())
            settings.allotmentSlack = reader.decimal("calls", "allotment-slack", 0, 1000000);
        settings.electionTimeout
            = std::chrono::milliseconds(reader.number("control", "election-timeout-ms", 100, 10000));
        settings.toleratedLosses = reader.number("control", "tolerated-losses", 0, 4);
        settings.logLevel = reader.text("log", "level");
        static constexpr std::string_view levels[] = { "debug", "info", "warning", "error" };
        if (std::find(std::begin(levels), std::end(levels), settings.logLevel) == std::end(levels))
            reader.fail(ResultCode::SettingInvalid, "log", "level",
                "'" + settings.logLevel + "' is not debug, info, warning or error");
        readSeeds(reader, settings);
        readVoters(reader, settings);
        checkExposure(reader, settings);
    }

} // namespace

std::span<const SettingInfo> settingsTable()
{
    return table;
}

SettingsError parseSettings(const std::string& text, const std::string& name, Settings& settings)
{
    RawFile raw;
    int line = ini_parse_string(text.c_str(), collectValue, &raw);
    if (line != 0)
        return { ResultCode::SettingInvalid, name + ": line " + std::to_string(line) + " is not valid INI" };
    if (!raw.unknown.empty())
        return { ResultCode::SettingUnknown, name + ": " + raw.unknown + ": unknown setting" };
    if (!raw.repeated.empty())
        return { ResultCode::SettingInvalid, name + ": " + raw.repeated + ": given more than once" };
    Reader reader(name, raw.values);
    readAll(reader, name, settings);
    return reader.error();
}

SettingsError readSettings(const std::string& path, Settings& settings)
{
    std::ifstream stream(path);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream)
        return { ResultCode::FileUnreadable, path + ": cannot be read" };
    return parseSettings(text.str(), path, settings);
}

} // namespace dragonflylane
