#pragma once

// The demo's report, with the result of its checks.

#include "bench/DemoMesh.h"
#include "bench/DemoObserver.h"

#include <string>
#include <vector>

namespace dragonflylane {

/// Prints report lines and counts failed checks.
class DemoReport {
public:
    void section(const std::string& title);
    void line(const std::string& label, const std::string& value);
    /// Prints a count that checks an invariant. The check fails if it is not zero.
    void mustBeZero(const char* invariant, const std::string& label, size_t count, const std::string& detail = {});
    void addChange(const std::string& label, const DemoChange&);
    void addControlBytes(const std::string& label, const DemoMesh&, const ControlSample& from, const ControlSample& to);
    /// Prints the latency that the mesh adds, as difference of the quantiles of both paths.
    void addLatency(std::vector<Duration> direct, std::vector<Duration> throughMesh);

    bool isPassed() const { return m_failures == 0; }
    size_t failures() const { return m_failures; }

private:
    size_t m_failures { 0 };
};

} // namespace dragonflylane
