#include "dragonflylane/Membership.h"
