#pragma once

// Main function of a daemon program: command line, settings file and exit code.

#include "dragonflylane/Daemon.h"

namespace dragonflylane {

/// Reads the settings file that the command line names into options.settings and runs the daemon until it is stopped.
/// Returns the exit code of the process.
int runDaemonProgram(int argc, char** argv, const char* program, DaemonOptions options);

} // namespace dragonflylane
