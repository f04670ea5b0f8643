#pragma once

// The experiments. Each starts its own fleet, adds its figures to the report and throws std::runtime_error when the
// mesh does not come up.

#include <string>

namespace dragonflylane {

class ChildProcesses;
class Report;
struct ExperimentSettings;

/// What every experiment needs.
struct ExperimentContext {
    const ExperimentSettings& settings;
    ChildProcesses& processes;
    /// Path of dragonflylaned.
    std::string program;
    Report& report;
};

/// Lookups through an entry and an owner daemon against direct connections to the same upstreams, in alternating
/// rounds.
void measureAddedLatency(ExperimentContext&);
/// Goodput at one, two and five times the capacity, against a naive proxy in front of the same upstreams.
void measureOverload(ExperimentContext&);
/// Lookups while one of several upstreams is stalled, and while one crashes and returns.
void measureFailingUpstreams(ExperimentContext&);
/// Time from a confirmation until all daemons hold the revision, idle and in a restart storm, and what it costs.
void measureConvergence(ExperimentContext&);
/// Latency of confirmations, and time without confirmations after the leader is killed or stopped.
void measureConfirmLatency(ExperimentContext&);

} // namespace dragonflylane
