// Runs one experiment against daemon processes on loopback.
//
//     Experiment FILE.ini [--daemon PATH]      default: dragonflylaned in the folder of this program
//
// Prints a table and then one JSON object for each figure. Exit codes: 0 if all goals are met, 1 if a goal is missed or
// the experiment failed, 2 for an invalid command line or experiment file.

#include "bench/ChildProcesses.h"
#include "bench/ExperimentSettings.h"
#include "bench/Experiments.h"
#include "bench/Report.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <map>
#include <stdexcept>

namespace dragonflylane {

namespace {

    constexpr int failedExitCode = 1;
    constexpr int usageExitCode = 2;

    using Measure = void (*)(ExperimentContext&);

    const std::map<std::string, Measure>& measures()
    {
        static const std::map<std::string, Measure> table {
            { "added-latency", &measureAddedLatency },
            { "overload", &measureOverload },
            { "failing-upstreams", &measureFailingUpstreams },
            { "convergence", &measureConvergence },
            { "confirm-latency", &measureConfirmLatency },
        };
        return table;
    }

    int runExperiment(const ExperimentSettings& settings, const std::string& program)
    {
        ChildProcesses processes;
        Report report(settings.kind, settings.seed());
        ExperimentContext context { settings, processes, program, report };
        try {
            measures().at(settings.kind)(context);
        } catch (const std::exception& error) {
            std::fprintf(stderr, "Experiment: %s\n", error.what());
            return failedExitCode;
        }
        report.setLoadAverage(machineLoadAverage());
        std::printf("%s\n%s", report.table().c_str(), report.jsonLines().c_str());
        bool isMet = std::all_of(
            report.figures().begin(), report.figures().end(), [](const Figure& figure) { return figure.isMet(); });
        return isMet ? 0 : failedExitCode;
    }

    int run(int argc, char** argv)
    {
        cxxopts::Options options("Experiment", "Runs one experiment against daemon processes on loopback");
        options.add_options()("file", "experiment file", cxxopts::value<std::string>())(
            "daemon", "path of dragonflylaned", cxxopts::value<std::string>());
        options.parse_positional("file");
        auto arguments = options.parse(argc, argv);
        if (arguments.count("file") == 0) {
            std::fprintf(stderr, "%s\n", options.help().c_str());
            return usageExitCode;
        }
        ExperimentSettings settings;
        if (std::string error = readExperiment(arguments["file"].as<std::string>(), settings); !error.empty()) {
            std::fprintf(stderr, "Experiment: %s\n", error.c_str());
            return usageExitCode;
        }
        auto defaultDaemon = std::filesystem::absolute(argv[0]).parent_path() / "dragonflylaned";
        return runExperiment(
            settings, arguments.count("daemon") > 0 ? arguments["daemon"].as<std::string>() : defaultDaemon.string());
    }

} // namespace

} // namespace dragonflylane

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return dragonflylane::run(argc, argv);
    } catch (const cxxopts::exceptions::exception& error) {
        std::fprintf(stderr, "Experiment: %s\n", error.what());
        return dragonflylane::usageExitCode;
    } catch (const std::exception& error) {
        // Catching the exception makes unwinding kill the daemons that were started; an uncaught one may not unwind.
        std::fprintf(stderr, "Experiment: %s\n", error.what());
        return EXIT_FAILURE;
    }
}
