// The daemon. Usage: dragonflylaned --settings FILE

#include "dragonflylane/Daemon.h"
#include "dragonflylane/Event.h"

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>

using namespace dragonflylane;

namespace {

int fail(ResultCode code, const std::string& text)
{
    std::fprintf(stderr, "dragonflylaned: %s (%u %s)\n", text.c_str(), static_cast<unsigned>(code),
        std::string(name(code)).c_str());
    return exitCode(code);
}

int run(const std::string& path)
{
    Settings settings;
    if (SettingsError error = readSettings(path, settings); error.code != ResultCode::Ok)
        return fail(error.code, error.text);
    setLogLevel(settings.logLevel);
    Daemon daemon(std::move(settings));
    std::string detail;
    if (std::error_code error = daemon.start(detail))
        return fail(resultCode(error), detail);
    return daemon.run();
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options options("dragonflylaned", "Daemon of the dragonflylane service mesh");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>())("help", "print this help");
    try {
        auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0 || arguments.count("settings") == 0) {
            std::printf("%s\n", options.help().c_str());
            return arguments.count("help") > 0 ? 0 : exitCode(ResultCode::SettingMissing);
        }
        return run(arguments["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception& error) {
        return fail(ResultCode::SettingUnknown, error.what());
    }
}
