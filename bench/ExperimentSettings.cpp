#include "bench/ExperimentSettings.h"

#include <charconv>
#include <cmath>
#include <fstream>
#include <ini.h>
#include <sstream>

namespace dragonflylane {

namespace {

    using Numbers = std::map<std::string, double, std::less<>>;

    const std::map<std::string, Numbers, std::less<>>& defaults()
    {
        static const std::map<std::string, Numbers, std::less<>> table {
            { "added-latency",
                { { "seed", 1 }, { "calls-per-second", 2000 }, { "round-s", 5 }, { "rounds", 4 }, { "upstreams", 2 },
                    { "service-time-ms", 1 }, { "constant-service-time", 0 }, { "goal-p99-ms", 0.58 } } },
            { "overload",
                { { "seed", 1 }, { "upstreams", 3 }, { "service-time-ms", 40 }, { "deadline-ms", 500 },
                    { "order-share", 0.3 }, { "order-keys", 0 }, { "duration-s", 10 }, { "measure-from-s", 2 },
                    { "shedding", 0 }, { "naive-attempt-timeout-ms", 250 }, { "goal-goodput-share", 0.9 },
                    { "goal-attempts", 1.2 } } },
            { "failing-upstreams",
                { { "seed", 1 }, { "upstreams", 5 }, { "service-time-ms", 5 }, { "deadline-ms", 1000 },
                    { "calls-per-second", 500 }, { "duration-s", 10 }, { "measure-from-s", 2 },
                    { "crash-interval-s", 3 }, { "goal-factor", 2 } } },
            { "convergence",
                { { "seed", 1 }, { "daemons", 200 }, { "changes", 10 }, { "change-interval-ms", 500 }, { "idle-s", 20 },
                    { "killed-share", 0.3333 }, { "goal-idle-s", 1 }, { "goal-storm-s", 6 },
                    { "goal-idle-bytes", 200 } } },
            { "confirm-latency",
                { { "seed", 1 }, { "daemons", 3 }, { "confirms", 200 }, { "rounds", 5 }, { "goal-no-leader-s", 2 } } },
        };
        return table;
    }

    struct RawFile {
        std::map<std::string, std::string, std::less<>> values;
        std::string error;
    };

    int collect(void* user, const char* section, const char* key, const char* value)
    {
        auto& raw = *static_cast<RawFile*>(user);
        if (!raw.error.empty())
            return 1;
        if (std::string_view(section) != "experiment")
            raw.error = std::string("[") + section + "]: unknown section";
        else if (!raw.values.emplace(key, value).second)
            raw.error = std::string("[experiment] ") + key + ": given more than once";
        return 1;
    }

    std::string takeNumber(const std::string& key, const std::string& text, Numbers& numbers)
    {
        auto known = numbers.find(key);
        if (known == numbers.end())
            return "[experiment] " + key + ": unknown key for this kind of experiment";
        double value = 0;
        auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (status != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
            return "[experiment] " + key + ": '" + text + "' is not a non-negative number";
        known->second = value;
        return {};
    }

    std::string interpret(const RawFile& raw, ExperimentSettings& settings)
    {
        auto kind = raw.values.find("kind");
        if (kind == raw.values.end())
            return "[experiment] kind: missing";
        auto known = defaults().find(kind->second);
        if (known == defaults().end())
            return "[experiment] kind: '" + kind->second + "' is unknown";
        settings = { .kind = kind->second, .numbers = known->second };
        for (const auto& [key, value] : raw.values) {
            std::string error = key == "kind" ? std::string() : takeNumber(key, value, settings.numbers);
            if (!error.empty())
                return error;
        }
        return {};
    }

} // namespace

std::string parseExperiment(const std::string& text, const std::string& name, ExperimentSettings& settings)
{
    RawFile raw;
    if (int line = ini_parse_string(text.c_str(), collect, &raw); line != 0)
        return name + ": line " + std::to_string(line) + " is not valid INI";
    std::string error = raw.error.empty() ? interpret(raw, settings) : raw.error;
    return error.empty() ? error : name + ": " + error;
}

std::string readExperiment(const std::string& path, ExperimentSettings& settings)
{
    std::ifstream stream(path);
    std::stringstream text;
    text << stream.rdbuf();
    if (!stream)
        return path + ": cannot be read";
    return parseExperiment(text.str(), path, settings);
}

} // namespace dragonflylane
