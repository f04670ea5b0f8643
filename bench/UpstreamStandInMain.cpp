// Runs a simulated upstream. Usage: UpstreamStandIn --listen IP:PORT --daemon IP:PORT --id ID --service NAME

#include "bench/UpstreamStandIn.h"

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>

using namespace dragonflylane;

namespace {

Endpoint endpoint(const cxxopts::ParseResult& parsed, const char* name)
{
    return Endpoint::parse(parsed[name].as<std::string>()).value_or(Endpoint());
}

UpstreamStandInOptions readOptions(const cxxopts::ParseResult& parsed)
{
    UpstreamStandInOptions options { .listen = endpoint(parsed, "listen"),
        .daemon = endpoint(parsed, "daemon"),
        .id = parsed["id"].as<std::string>(),
        .service = parsed["service"].as<std::string>(),
        .slots = parsed["slots"].as<uint32_t>(),
        .serviceTime = std::chrono::milliseconds(parsed["service-ms"].as<uint32_t>()),
        .coldTime = std::chrono::milliseconds(parsed["cold-ms"].as<uint32_t>()),
        .crashOn = parsed["crash-on"].as<std::string>(),
        .stallOn = parsed["stall-on"].as<std::string>(),
        .reportsFalseHealth = parsed.count("lie-health") > 0,
        .ledgerFile = parsed["ledger"].as<std::string>(),
        .seed = parsed["seed"].as<uint64_t>() };
    if (parsed.count("announced") > 0)
        options.announced = endpoint(parsed, "announced");
    if (parsed.count("shed-above") > 0)
        options.shedAbove = parsed["shed-above"].as<uint32_t>();
    return options;
}

cxxopts::Options describeOptions()
{
    auto text = [](const char* value) { return cxxopts::value<std::string>()->default_value(value); };
    auto number = [](const char* value) { return cxxopts::value<uint32_t>()->default_value(value); };
    cxxopts::Options options("UpstreamStandIn", "Simulated upstream");
    options.add_options()("listen", "own address", text("127.0.0.1:9080"))("daemon", "API address of its daemon",
        text("127.0.0.1:7081"))("id", "upstream id", text("upstream-1"))("service", "service name", text("upstream"))(
        "slots", "maximum number of concurrent requests", number("12"))("service-ms", "mean service time in ms",
        number("2"))("cold-ms", "warm-up time until ready, in ms", number("0"))("seed", "seed of the service times",
        cxxopts::value<uint64_t>()->default_value("1"))("ledger", "file to which the ledger is written", text(""))(
        "announced", "address to announce", cxxopts::value<std::string>())("help", "print this help");
    options.add_options("Faults")("crash-on", "exit if a target contains this text", text(""))(
        "stall-on", "never respond if a target contains this text", text(""))("shed-above",
        "respond with 503 if at least this many requests are running or waiting",
        cxxopts::value<uint32_t>())("lie-health", "report ready regardless of the state");
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    cxxopts::Options description = describeOptions();
    constexpr int usageError = 2;
    try {
        auto parsed = description.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::printf("%s\n", description.help().c_str());
            return 0;
        }
        UpstreamStandInOptions options = readOptions(parsed);
        if (!options.listen.isSet() || !options.daemon.isSet() || options.slots == 0) {
            std::fprintf(
                stderr, "UpstreamStandIn: --listen and --daemon must be IP:port, --slots must be at least 1\n");
            return usageError;
        }
        return UpstreamStandIn(std::move(options)).run();
    } catch (const cxxopts::exceptions::exception& error) {
        std::fprintf(stderr, "UpstreamStandIn: %s\n", error.what());
        return usageError;
    }
}
