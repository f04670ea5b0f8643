#pragma once

// One daemon: builds its tasks from the settings and runs them on one thread.
//
//     Daemon daemon(settings);
//     std::string detail;
//     if (auto error = daemon.start(detail)) ...
//     return daemon.run();      // until SIGTERM or SIGINT, then until its work in flight has ended

#include "dragonflylane/Settings.h"

#include <memory>
#include <string>
#include <system_error>

namespace dragonflylane {

/// Proxy on every host, and control on the hosts that the settings name as voters.
class Daemon {
public:
    explicit Daemon(Settings);
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
