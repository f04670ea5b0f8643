#pragma once

// One daemon: builds its tasks from the settings and runs them on one thread.
//
//     Daemon daemon(settings);
//     std::string detail;
//     if (auto error = daemon.start(detail)) ...
//     return daemon.run();      // until SIGTERM or SIGINT, then until its work in flight has ended

#include "dragonflylane/CallHeaders.h"
#include "dragonflylane/MeshPort.h"
#include "dragonflylane/Settings.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace dragonflylane {

/// Settings, and what the mesh's surroundings prescribe.
struct DaemonOptions {
    Settings settings;
    CallHeaderNames headerNames {};
    /// See UpstreamClientOptions::mayEndWithConnection.
    bool answersMayEndWithConnection { false };
    ForeignApi foreignApi {};
    /// Reads the settings again after SIGHUP or a change of their file; empty: they are never read again.
    std::function<SettingsError(Settings&)> readAgain {};
};

/// Proxy on every host, and control on the hosts that the settings name as voters.
class Daemon {
public:
    explicit Daemon(DaemonOptions);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    /// Opens files and listeners. On an error, detail says what and where.
    std::error_code start(std::string& detail);
    /// Returns the exit code of the process.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace dragonflylane
