#pragma once

// Renders the API's JSON responses as human-readable text.

#include <boost/json/fwd.hpp>
#include <string>

namespace dragonflylane {

std::string renderError(const boost::json::value&);
std::string renderPlanText(const boost::json::value&);
std::string renderConfirmation(const boost::json::value&);
std::string renderPlanRecordText(const boost::json::value&);
std::string renderHistory(const boost::json::value&);
std::string renderStatusText(const boost::json::value&);
std::string renderConvergenceText(const boost::json::value&);
std::string renderRoutingTableText(const boost::json::value&);
std::string renderMembersText(const boost::json::value&);
std::string renderExplanation(const boost::json::value&);
/// Renders any document with one "key: value" line for each field.
std::string renderPretty(const boost::json::value&);
std::string renderRolloutText(const boost::json::value&);

} // namespace dragonflylane
