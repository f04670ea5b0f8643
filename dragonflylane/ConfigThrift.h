#pragma once

// Conversion between configuration types and their wire types. Included only by ConfigWire.cpp and PlanWire.cpp.
// The read functions return false for values that the model cannot represent.

#include "dragonflylane/ConfigDelta.h"
#include "dragonflylane/ConfigState.h"
#include "gen-cpp/config_types.h"

namespace dragonflylane {

void appendItem(const ConfigItem&, wire::ConfigItems*);
bool readItems(const wire::ConfigItems&, std::vector<ConfigItem>*);
std::vector<wire::ConfigKeeperHost> toWire(const std::vector<KeeperHost>&);
std::vector<KeeperHost> fromWire(const std::vector<wire::ConfigKeeperHost>&);
wire::ConfigItemKey toWire(const ItemKey&);
bool readKey(const wire::ConfigItemKey&, ItemKey*);
wire::ConfigDelta toWire(const ConfigDelta&);
bool readDelta(const wire::ConfigDelta&, ConfigDelta*);
wire::ConfigSnapshot toWire(const ConfigState&);
/// Returns MalformedFrame, or DigestMismatch if `checkDigest` is set and the digest is wrong.
std::error_code readSnapshot(const wire::ConfigSnapshot&, ConfigState*, bool checkDigest);
std::string digestBytes(const Digest&);
bool readDigest(const std::string&, Digest*);

} // namespace dragonflylane
