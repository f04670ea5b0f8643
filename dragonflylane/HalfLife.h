#pragma once

// Values that lose weight with age.

#include "dragonflylane/BootClock.h"

#include <algorithm>
#include <cmath>

namespace dragonflylane {

/// Share of an old value that is left at this age; 1 for an age below zero.
inline double remainingShare(Duration age, Duration halfLife)
{
    double halvings
        = static_cast<double>(std::max(Duration::zero(), age).count()) / static_cast<double>(halfLife.count());
    return std::exp2(-halvings);
}

} // namespace dragonflylane
