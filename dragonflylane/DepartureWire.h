#pragma once

// Encoding of departures (wire/departure.thrift). Errors: FrameTooLarge, MalformedFrame.

#include "dragonflylane/DepartureMessages.h"

#include <string>
#include <string_view>
#include <system_error>

namespace dragonflylane {

namespace wire {
    class DepartedProcess;
}

std::string encode(const DepartureMessage&);
std::error_code decode(std::string_view, DepartureMessage&);

std::vector<wire::DepartedProcess> toWire(const std::vector<DepartedProcess>&);
/// Returns false if there are more than a host can have, or if one isn't valid.
bool readDepartures(const std::vector<wire::DepartedProcess>&, std::vector<DepartedProcess>&);

} // namespace dragonflylane
