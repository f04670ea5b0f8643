#pragma once

// Figures of an experiment, printed as a table and as JSON lines. Each figure is shown with its baseline from the same
// run, because figures of different runs on a shared machine are not comparable.

#include <optional>
#include <string>
#include <vector>

namespace dragonflylane {

/// A bound that a figure should not exceed, or not fall below.
struct FigureGoal {
    double bound { 0 };
    /// True if the figure should be at least the bound, false if it should be at most the bound.
    bool isLowerBound { false };
};

/// One measured number. Infinite and undefined values are rendered as null in JSON.
struct Figure {
    std::string name;
    double value { 0 };
    std::string unit;
    /// The same quantity without the mechanism under test, from the same run.
    std::optional<double> baseline;
    std::optional<FigureGoal> goal;

    bool isMet() const;
};

/// Collects the figures of one run.
class Report {
public:
    Report(std::string experiment, uint64_t seed)
        : m_experiment(std::move(experiment))
        , m_seed(seed)
    {
    }

    void add(Figure);
    const std::vector<Figure>& figures() const { return m_figures; }
    /// One-minute load average, printed with the figures.
    void setLoadAverage(double value) { m_loadAverage = value; }

    std::string table() const;
    std::string jsonLines() const;

private:
    std::string m_experiment;
    uint64_t m_seed;
    double m_loadAverage { 0 };
    std::vector<Figure> m_figures;
};

/// One-minute load average of the machine; zero if unknown.
double machineLoadAverage();

} // namespace dragonflylane
