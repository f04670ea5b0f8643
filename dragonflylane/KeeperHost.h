#pragma once

#include "dragonflylane/Ids.h"

namespace dragonflylane {

/// A host that stores duplicate records. The data centre is part of the view, so that all daemons spread the records
/// of a key alike, whatever they know of the members.
struct KeeperHost {
    HostId host;
    DataCentreName dataCentre;

    auto operator<=>(const KeeperHost&) const = default;
    bool operator==(const KeeperHost&) const = default;
};

} // namespace dragonflylane
