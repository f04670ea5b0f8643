#pragma once

#include "dragonflylane/Ids.h"

namespace dragonflylane {

/// A host that stores idempotency records. The data centre is part of the view, so that all daemons choose the same
/// keepers for a key, independently of their view of the membership. The wire struct has the same name.
struct KeeperHost {
    HostId host;
    DataCentreName dataCentre;

    auto operator<=>(const KeeperHost&) const = default;
    bool operator==(const KeeperHost&) const = default;
};

} // namespace dragonflylane
