#pragma once

// JSON documents of the API about the state of a daemon and of the mesh.

#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace dragonflylane {

struct AckSummary;
struct ApiParts;
struct JournalEntry;

/// One screen: quorum, leader, revision, convergence, drains, quarantine.
std::string renderStatus(const ApiParts&);
std::string renderMembers(const ApiParts&);
std::string renderRoutingTable(const ApiParts&);
std::string renderAcks(const AckSummary&);
/// Convergence of a revision from the acknowledgements that the control hosts have.
std::string renderConvergence(Revision, const std::map<HostId, HttpResponse>& acks, size_t present);
std::string renderJournal(const std::vector<JournalEntry>&);
/// Joins the journals of several daemons in order of time.
std::string mergeJournals(const std::map<HostId, HttpResponse>&);

} // namespace dragonflylane
