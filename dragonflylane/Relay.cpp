#include "dragonflylane/Relay.h"
