// The operators' command-line tool.

#include "dragonflylane/CommandLine.h"

#include <csignal>

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    return dragonflylane::runCommandLine(argc, argv);
}
