// Compares ways to choose an upstream in virtual time, on the same arrivals: today's choice by load per slot, the
// choice by expected finish with several settings, and an ideal that knows every work time. Prints one line for each
// load and candidate: p50, p99, share in time, and share of the calls that went to another host.

#include "bench/SelectionModel.h"

#include <chrono>
#include <cstdio>

namespace dragonflylane {

namespace {

    double inMilliseconds(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    void print(double load, const char* candidate, const SelectionResult& result)
    {
        constexpr double percent = 100;
        std::printf("load %.2f  %-28s p50 %6.0f ms  p99 %6.0f ms  in time %6.2f %%  remote %5.1f %%\n", load, candidate,
            inMilliseconds(result.p50), inMilliseconds(result.p99), percent * result.inTime,
            percent * result.remoteShare);
    }

    void measure(double load)
    {
        SelectionModelOptions options { .load = load };
        print(load, "load per slot", runSelection(options, [](auto& selector) { selector.useSpeeds = false; }));
        print(load, "expected finish, 2 samples",
            runSelection(options, [](auto& selector) { selector.samplesWithSpeeds = 2; }));
        print(load, "expected finish, 3 samples",
            runSelection(options, [](auto& selector) { selector.samplesWithSpeeds = 3; }));
        print(load, "expected finish, 5 samples",
            runSelection(options, [](auto& selector) { selector.samplesWithSpeeds = 5; }));
        print(load, "no preference for local",
            runSelection(options, [](auto& selector) { selector.preferLocalUpstream = false; }));
        print(load, "ideal", runIdealSelection(options));
    }

} // namespace

} // namespace dragonflylane

int main()
{
    for (double load : { 0.4, 0.6, 0.75 })
        dragonflylane::measure(load);
    return 0;
}
