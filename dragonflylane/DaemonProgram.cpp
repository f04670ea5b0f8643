#include "dragonflylane/DaemonProgram.h"

#include "dragonflylane/Event.h"

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>

namespace dragonflylane {

namespace {

    int fail(const char* program, ResultCode code, const std::string& text)
    {
        std::fprintf(stderr, "%s: %s (%u %s)\n", program, text.c_str(), static_cast<unsigned>(code),
            std::string(name(code)).c_str());
        return exitCode(code);
    }

    int run(const char* program, const std::string& path, DaemonOptions options)
    {
        if (SettingsError error = readSettings(path, options.settings); error.code != ResultCode::Ok)
            return fail(program, error.code, error.text);
        options.reloadSettings = [path](Settings& changed) { return readSettings(path, changed); };
        setLogLevel(options.settings.logLevel);
        Daemon daemon(std::move(options));
        std::string detail;
        if (std::error_code error = daemon.start(detail))
            return fail(program, resultCode(error), detail);
        return daemon.run();
    }

} // namespace

int runDaemonProgram(int argc, char** argv, const char* program, DaemonOptions options)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options usage(program, "Daemon of the dragonflylane service mesh");
    usage.add_options()("settings", "settings file", cxxopts::value<std::string>())("help", "print this help");
    try {
        auto arguments = usage.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::printf("%s\n", usage.help().c_str());
            return arguments.count("help") > 0 ? 0 : exitCode(ResultCode::SettingMissing);
        }
        return run(program, arguments["settings"].as<std::string>(), std::move(options));
    } catch (const cxxopts::exceptions::exception& error) {
        return fail(program, ResultCode::SettingUnknown, error.what());
    }
}

} // namespace dragonflylane
