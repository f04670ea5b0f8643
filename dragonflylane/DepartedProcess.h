#pragma once

// A departure together with the upstream whose process is leaving.

#include "dragonflylane/MemberRecord.h"

namespace dragonflylane {

struct DepartedProcess {
    UpstreamId upstream {};
    UpstreamDeparture departure {};

    bool operator==(const DepartedProcess&) const = default;
};

} // namespace dragonflylane
