#pragma once

#include "dragonflylane/GossipMessages.h"

#include <optional>
#include <string>
#include <variant>

namespace dragonflylane {

/// A message to send in one datagram.
struct GossipDatagram {
    Endpoint to;
    GossipMessage message;
};

/// A record changed. `current` is empty if the record expired.
struct MemberChanged {
    HostId host;
    std::optional<MemberRecord> current;
};

/// A broadcast of another daemon. Each one is delivered once.
struct BroadcastReceived {
    HostId origin;
    std::string payload;
};

/// Another daemon still has the record that an earlier process of this daemon has published.
struct EarlierRecordFound {
    MemberRecord record;
};

using MembershipOutput = std::variant<GossipDatagram, MemberChanged, BroadcastReceived, EarlierRecordFound>;

} // namespace dragonflylane
