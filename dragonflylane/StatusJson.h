#pragma once

// Renders the state of a daemon and of the mesh as the API's JSON documents.

#include "dragonflylane/HttpMessage.h"
#include "dragonflylane/Ids.h"

#include <map>
#include <string>
#include <vector>

namespace dragonflylane {

struct AckSummary;
struct ApiParts;
struct JournalEntry;

/// Overview of quorum, leader, revision, convergence, drains and quarantine.
std::string renderStatus(const ApiParts&);
std::string renderMembers(const ApiParts&);
std::string renderRoutingTable(const ApiParts&);
std::string renderAcks(const AckSummary&);
/// Convergence of a revision, from the acknowledgement summaries (/v1/acks) of the control hosts. `present` is the
/// number of daemons that must have acknowledged it.
std::string renderConvergence(Revision, const std::map<HostId, HttpResponse>& acks, size_t present);
std::string renderJournal(const std::vector<JournalEntry>&);
/// Merges the journals of several daemons, ordered by wall-clock time.
std::string mergeJournals(const std::map<HostId, HttpResponse>&);

} // namespace dragonflylane
