#include "dragonflylane/Settings.h"

#include <algorithm>
#include <fstream>
#include <gtest/gtest.h>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace dragonflylane {

namespace {

    using Row = std::vector<std::string>;

    std::string trimmed(const std::string& text)
    {
        size_t first = text.find_first_not_of(" `");
        return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" `") - first + 1);
    }

    /// Rows with this many cells of the Markdown tables in a file of docs/, without headings and separators.
    std::vector<Row> tableRows(const std::string& page, size_t cells, const std::string& heading)
    {
        std::ifstream file(std::string(SOURCE_DIR) + "/docs/" + page);
        std::vector<Row> rows;
        for (std::string line; std::getline(file, line);) {
            if (!line.starts_with("|") || line.starts_with("| ---"))
                continue;
            Row row;
            std::istringstream stream(line.substr(1));
            for (std::string cell; std::getline(stream, cell, '|');)
                row.push_back(trimmed(cell));
            if (row.size() == cells && row[0] != heading)
                rows.push_back(std::move(row));
        }
        return rows;
    }

    SettingsError parse(const std::string& text)
    {
        Settings settings;
        return parseSettings(text, "mesh.ini", settings);
    }

} // namespace

// Guards against an error message that does not identify the wrong setting.
TEST(SettingsTest, EveryErrorNamesFileSectionKeyAndReason)
{
    struct Case {
        const char* text;
        ResultCode code;
        const char* where;
        const char* reason;
    };
    for (const Case& item : {
             Case { "[mesh]\nname = a\n", ResultCode::SettingUnknown, "[mesh] name", "unknown setting" },
             Case { "[mash]\nid = a\n", ResultCode::SettingUnknown, "[mash] id", "unknown setting" },
             Case { "[host]\nid = a\nid = b\n", ResultCode::SettingInvalid, "[host] id", "more than once" },
             Case { "[host]\nid = A b\n", ResultCode::SettingInvalid, "[host] id", "'A b' is not a name" },
             Case { "[host]\nregion =\n", ResultCode::SettingInvalid, "[host] region", "is not a name" },
             Case { "[listen]\npeer = here\n", ResultCode::SettingInvalid, "[listen] peer", "'here' is not an IP" },
             Case { "[listen]\napi = 127.0.0.1:0\n", ResultCode::SettingInvalid, "[listen] api", "is not an IP" },
             Case { "[listen]\ncallers = 127.0.0.1:70000\n", ResultCode::SettingInvalid, "[listen] callers", "is not" },
             Case { "[mesh]\nseeds = 127.0.0.1:1, x\n", ResultCode::SettingInvalid, "[mesh] seeds", "'x' is not" },
             Case { "[control]\nvoters = a\n", ResultCode::SettingInvalid, "[control] voters", "'a' is not host=" },
             Case { "[control]\nvoters = a=127.0.0.1:1, b=127.0.0.1:2\n", ResultCode::SettingOutOfRange,
                 "[control] voters", "2 voters" },
             Case { "[control]\nvoters = a=127.0.0.1:1, a=127.0.0.1:2\n", ResultCode::SettingInvalid,
                 "[control] voters", "repeats a host" },
             Case { "[control]\nvoters = local=127.0.0.1:1\n", ResultCode::SettingInvalid, "[control] voters",
                 "differs from [listen] peer" },
             Case { "[calls]\ndefault-timeout-ms = soon\n", ResultCode::SettingInvalid, "[calls] default-timeout-ms",
                 "'soon' is not a whole number" },
             Case { "[calls]\ndefault-timeout-ms = 0\n", ResultCode::SettingOutOfRange, "[calls] default-timeout-ms",
                 "not between 1 and 600000" },
             Case { "[calls]\nmax-body-bytes = 99999999999\n", ResultCode::SettingOutOfRange, "[calls] max-body-bytes",
                 "not between 0 and 67108864" },
             Case { "[log]\nlevel = loud\n", ResultCode::SettingInvalid, "[log] level", "'loud' is not" },
         }) {
        SettingsError error = parse(item.text);
        EXPECT_EQ(error.code, item.code) << item.text;
        EXPECT_TRUE(error.text.starts_with(std::string("mesh.ini: ") + item.where + ": ")) << error.text;
        EXPECT_NE(error.text.find(item.reason), std::string::npos) << error.text;
        EXPECT_EQ(exitCode(error.code), 2);
    }
    EXPECT_EQ(parse("[mesh]\nid local\n").text, "mesh.ini: line 2 is not valid INI");
    Settings settings;
    SettingsError missing = readSettings("/nonexistent/mesh.ini", settings);
    EXPECT_EQ(missing.code, ResultCode::FileUnreadable);
    EXPECT_EQ(missing.text, "/nonexistent/mesh.ini: cannot be read");
}

// Guards against settings without a default, which a first start would require.
TEST(SettingsTest, EmptyFileDescribesAMeshOfOneHostOnLoopback)
{
    Settings settings;
    ASSERT_EQ(parseSettings("", "mesh.ini", settings).code, ResultCode::Ok);
    EXPECT_TRUE(settings.isControl());
    EXPECT_EQ(settings.voters.at(settings.hostId), settings.peer);
    for (const Endpoint& endpoint : { settings.callers, settings.peer, settings.api })
        EXPECT_EQ(endpoint.address, "127.0.0.1");
}

// Guards against a listener beyond loopback without authentication.
TEST(SettingsTest, ListenersBeyondLoopbackNeedSecretAndOperators)
{
    const std::string secret = "[mesh]\nsecret-file = s\n";
    const std::string both = secret + "[control]\noperators-file = o\n";
    for (const char* address : { "10.0.0.1:7080", "0.0.0.0:7080", "[::]:7080" }) {
        for (const char* key : { "callers", "peer", "api" }) {
            std::string listener = std::string("[listen]\n") + key + " = " + address + "\n";
            SettingsError error = parse(listener);
            EXPECT_EQ(error.code, ResultCode::SettingMissing) << listener;
            EXPECT_TRUE(error.text.starts_with("mesh.ini: [mesh] secret-file: required")) << error.text;
            bool isApi = std::string(key) == "api";
            EXPECT_EQ(parse(listener + secret).code, isApi ? ResultCode::SettingMissing : ResultCode::Ok) << listener;
            EXPECT_EQ(parse(listener + both).code, ResultCode::Ok) << listener;
        }
    }
    EXPECT_EQ(parse("[listen]\napi = 127.0.0.2:7081\n").code, ResultCode::Ok);
}

// Guards against documentation with settings, defaults or ranges that differ from the code.
TEST(SettingsTest, PageListsEverySetting)
{
    std::vector<Row> expected;
    for (const SettingInfo& info : settingsTable())
        expected.push_back({ info.section, info.key, info.unit, info.defaultValue, info.range, info.meaning });
    std::vector<Row> rows = tableRows("SETTINGS.md", 6, "section");
    std::sort(expected.begin(), expected.end());
    std::sort(rows.begin(), rows.end());
    EXPECT_EQ(rows, expected);
}

// Guards against documentation with result codes or run states that differ from the code.
TEST(SettingsTest, PageListsEveryResultCode)
{
    std::map<RunState, std::string> runs { { RunState::NotRun, "not run" }, { RunState::Unknown, "unknown" },
        { RunState::Answered, "-" } };
    std::vector<Row> expected;
    for (const ResultCodeInfo& info : allResultCodes())
        expected.push_back({ std::to_string(static_cast<unsigned>(info.code)), std::string(info.name),
            runs.at(runState(info.code)), std::string(info.message) });
    std::vector<Row> rows = tableRows("RESULT_CODES.md", 5, "number");
    for (Row& row : rows) {
        EXPECT_FALSE(row.back().empty()) << row[0];
        row.pop_back();
    }
    std::sort(expected.begin(), expected.end());
    std::sort(rows.begin(), rows.end());
    EXPECT_EQ(rows, expected);
}

} // namespace dragonflylane
