#include "bench/DemoReport.h"

#include <algorithm>
#include <cstdio>

namespace dragonflylane {

namespace {

    constexpr int labelWidth = 58;

    double milliseconds(Duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    template <typename T> T quantile(std::vector<T>& values, double q)
    {
        if (values.empty())
            return {};
        std::sort(values.begin(), values.end());
        return values[std::min(values.size() - 1, static_cast<size_t>(q * static_cast<double>(values.size())))];
    }

    std::string formatRates(std::vector<double>& rates)
    {
        char text[64];
        double median = quantile(rates, 0.5);
        std::snprintf(text, sizeof(text), "%.0f / %.0f B/s", median, rates.empty() ? 0.0 : rates.back());
        return text;
    }

} // namespace

void DemoReport::section(const std::string& title)
{
    std::printf("\n%s\n", title.c_str());
}

void DemoReport::line(const std::string& label, const std::string& value)
{
    std::printf("  %-*s %s\n", labelWidth, label.c_str(), value.c_str());
    std::fflush(stdout);
}

void DemoReport::mustBeZero(const char* invariant, const std::string& label, size_t count, const std::string& detail)
{
    m_failures += count > 0 ? 1 : 0;
    std::string value = std::to_string(count) + (count == 0 ? "" : "  FAILED") + (detail.empty() ? "" : "  " + detail);
    line(std::string(invariant) + " " + label, value);
}

void DemoReport::addChange(const std::string& label, const DemoChange& change)
{
    char text[128];
    std::snprintf(text, sizeof(text),
        "%.0f ms in the API, %.0f ms in routing tables, revision %llu, %zu plan conflicts",
        milliseconds(change.convergence), milliseconds(change.liveConvergence),
        static_cast<unsigned long long>(change.revision), change.conflicts);
    bool isDone = change.isConfirmed && change.isConverged && change.isLiveConverged;
    line("convergence: " + label, isDone ? text : "not applied: " + change.detail);
    mustBeZero("I9", "changes not applied by all daemons: " + label, isDone ? 0 : 1);
    mustBeZero("I9", "daemons with an older revision although reported as converged", change.staleAfterConvergence);
}

void DemoReport::addControlBytes(
    const std::string& label, const DemoMesh& mesh, const ControlSample& from, const ControlSample& to)
{
    double seconds = std::chrono::duration<double>(to.time - from.time).count();
    for (bool isControl : { false, true }) {
        std::vector<double> sent;
        std::vector<double> received;
        for (const auto& [host, last] : to.daemons) {
            auto first = from.daemons.find(host);
            bool isComparable = first != from.daemons.end() && last.sent >= first->second.sent;
            if (!isComparable || mesh.find(host)->settings.isControl() != isControl)
                continue;
            sent.push_back(static_cast<double>(last.sent - first->second.sent) / seconds);
            received.push_back(static_cast<double>(last.received - first->second.received) / seconds);
        }
        std::string suffix = (isControl ? "control host, " : "daemon, ") + label;
        line("control bytes sent, median / maximum per " + suffix, formatRates(sent));
        line("control bytes received, median / maximum per " + suffix, formatRates(received));
    }
}

void DemoReport::addLatency(std::vector<Duration> direct, std::vector<Duration> throughMesh)
{
    for (double q : { 0.5, 0.99 }) {
        Duration directTime = quantile(direct, q);
        Duration meshTime = quantile(throughMesh, q);
        char text[96];
        std::snprintf(text, sizeof(text), "%.3f ms (direct %.3f, through the mesh %.3f)",
            milliseconds(meshTime - directTime), milliseconds(directTime), milliseconds(meshTime));
        line(q < 0.9 ? "added latency p50" : "added latency p99", text);
    }
}

} // namespace dragonflylane
