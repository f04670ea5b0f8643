// The daemon of the service mesh. Usage: dragonflylaned --settings FILE

#include "dragonflylane/DaemonProgram.h"

int main(int argc, char** argv)
{
    return dragonflylane::runDaemonProgram(argc, argv, "dragonflylaned", {});
}
