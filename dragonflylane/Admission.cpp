#include "dragonflylane/Admission.h"

namespace dragonflylane {

void LoadReport::addWait(Duration wait)
{
    if (wait <= Duration::zero())
        return;
    queued += serviceTime > Duration::zero() ? static_cast<uint32_t>(wait * limit / serviceTime) : limit;
}

} // namespace dragonflylane
