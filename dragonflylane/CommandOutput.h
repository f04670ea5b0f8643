#pragma once

// Text for people out of the API's JSON answers.

#include <boost/json/fwd.hpp>
#include <string>

namespace dragonflylane {

std::string renderError(const boost::json::value&);
std::string renderPlanAnswer(const boost::json::value&);
std::string renderConfirmation(const boost::json::value&);
std::string renderRecord(const boost::json::value&);
std::string renderHistory(const boost::json::value&);
std::string renderStatusText(const boost::json::value&);
std::string renderConvergenceText(const boost::json::value&);
std::string renderRoutingTableText(const boost::json::value&);
std::string renderMembersText(const boost::json::value&);
std::string renderExplanation(const boost::json::value&);
/// Any document, one "key: value" line a field.
std::string renderPretty(const boost::json::value&);

} // namespace dragonflylane
