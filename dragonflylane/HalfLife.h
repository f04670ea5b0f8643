#pragma once

// Exponential decay.

#include "dragonflylane/BootClock.h"

#include <algorithm>
#include <cmath>

namespace dragonflylane {

/// Returns the fraction of a value that remains at this age: 2^(-age / halfLife); 1 for a negative age.
inline double decayFactor(Duration age, Duration halfLife)
{
    double halvings
        = static_cast<double>(std::max(Duration::zero(), age).count()) / static_cast<double>(halfLife.count());
    return std::exp2(-halvings);
}

} // namespace dragonflylane
