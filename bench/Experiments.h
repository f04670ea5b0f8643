#pragma once

// The experiments. Each starts its own fleet, adds its figures to the report, and throws std::runtime_error if the mesh
// does not start.

#include <string>

namespace dragonflylane {

class ChildProcesses;
class Report;
struct ExperimentSettings;

/// Inputs of an experiment.
struct ExperimentContext {
    const ExperimentSettings& settings;
    ChildProcesses& processes;
    /// Path of dragonflylaned.
    std::string program;
    Report& report;
};

/// Compares lookups through an entry and an owner daemon with direct connections to the same upstreams, in alternating
/// rounds.
void measureAddedLatency(ExperimentContext&);
/// Compares goodput at one, two and five times the capacity with a naive proxy in front of the same upstreams.
void measureOverload(ExperimentContext&);
/// Measures lookups while one of several upstreams is stalled, and while one repeatedly crashes and restarts.
void measureFailingUpstreams(ExperimentContext&);
/// Measures the time from a confirmation until all daemons have the revision, when idle and while many daemons restart,
/// and the cost in control traffic, CPU time and memory.
void measureConvergence(ExperimentContext&);
/// Measures the latency of confirmations, and the time without any after the leader is killed or stopped.
void measureConfirmLatency(ExperimentContext&);

} // namespace dragonflylane
