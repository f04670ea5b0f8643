#include "bench/SoakPlan.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>

namespace dragonflylane {

namespace {

    constexpr std::array faults { SoakFault::Kill, SoakFault::Terminate, SoakFault::Pause, SoakFault::Delay,
        SoakFault::Reset, SoakFault::Blackhole, SoakFault::DropResponses, SoakFault::Drain };

    bool isDaemonFault(SoakFault fault)
    {
        return fault == SoakFault::Kill || fault == SoakFault::Terminate || fault == SoakFault::Pause;
    }

} // namespace

const char* name(SoakFault fault)
{
    constexpr std::array names { "kill", "terminate", "pause", "delay", "reset", "silence", "cut answers", "drain" };
    return names.at(static_cast<size_t>(fault));
}

std::vector<SoakStep> planSoak(const SoakPlanOptions& options)
{
    std::mt19937_64 random(options.seed);
    std::exponential_distribution<double> gap(1 / std::chrono::duration<double>(options.meanGap).count());
    std::uniform_real_distribution<double> part(0.1, 1);
    std::vector<SoakStep> steps;
    std::map<std::string, Duration> busyUntil;
    Duration at {};
    while (true) {
        at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        SoakStep step { .at = at, .fault = faults[random() % faults.size()] };
        const auto& targets = isDaemonFault(step.fault) ? options.daemons : options.upstreams;
        step.target = targets[random() % targets.size()];
        step.duration = std::chrono::duration_cast<Duration>(options.longest * part(random));
        if (at + options.longest > options.length)
            return steps;
        Duration& busy = busyUntil[step.target];
        if (busy > at)
            continue;
        busy = at + step.duration;
        steps.push_back(step);
    }
}

} // namespace dragonflylane
