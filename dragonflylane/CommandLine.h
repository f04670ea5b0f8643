#pragma once

// Commands of the tool `dragonflylane`. Every command exits with 0 on success, otherwise with the class of the result
// code (docs/RESULT_CODES.md).

namespace dragonflylane {

/// Parses the arguments, runs one command and returns the exit code.
int runCommandLine(int argc, char** argv);

} // namespace dragonflylane
