#pragma once

// The table that the demo prints, and its verdict.

#include "bench/DemoMesh.h"
#include "bench/DemoObserver.h"

#include <string>
#include <vector>

namespace dragonflylane {

/// Collects lines; a count that must be zero and is not makes the demo fail.
class DemoReport {
public:
    void section(const std::string& title);
    void line(const std::string& label, const std::string& value);
    /// A count with the invariant that it checks.
    void mustBeZero(const char* invariant, const std::string& label, size_t count, const std::string& detail = {});
    void addChange(const std::string& label, const DemoChange&);
    void addControlBytes(const std::string& label, const DemoMesh&, const ControlSample& from, const ControlSample& to);
    /// Added latency from the quantiles of both paths.
    void addLatency(std::vector<Duration> direct, std::vector<Duration> throughMesh);

    bool isPassed() const { return m_failures == 0; }
    size_t failures() const { return m_failures; }

private:
    size_t m_failures { 0 };
};

} // namespace dragonflylane
