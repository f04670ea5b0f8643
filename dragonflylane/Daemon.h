#pragma once

// One daemon: creates its components from the settings and runs them on one thread.
//
//     Daemon daemon(settings);
//     std::string detail;
//     if (auto error = daemon.start(detail)) ...
//     return daemon.run();      // until SIGTERM or SIGINT, then until the calls in flight have ended or the
//                               // drain timeout aborts them

#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/DaemonHooks.h"
#include "dragonflylane/Settings.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace dragonflylane {

/// Settings, and the header names, response framing and API of the platform that the mesh runs on.
struct DaemonOptions {
    Settings settings;
    CallHeaderNames headerNames {};
    /// See UpstreamClientOptions::acceptsCloseDelimited.
    bool acceptsCloseDelimitedResponses { false };
    PlatformApiHandler platformApiHandler {};
    /// Takes precedence over the setting upstream-drain-s.
    std::optional<std::chrono::milliseconds> upstreamDrainTime {};
    /// Reads the settings again on SIGHUP. Empty: SIGHUP does not change the settings.
    std::function<SettingsError(Settings&)> reloadSettings {};
};

/// Runs the proxy of this host. On control hosts also runs a replica of the configuration log.
class Daemon {
public:
    explicit Daemon(DaemonOptions);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Opens files and listeners. On an error, detail names the file or address and the reason.
    std::error_code start(std::string& detail);
    /// Returns the exit code of the process.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dragonflylane
