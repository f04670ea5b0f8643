#include "bench/Report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <cstdlib>
#include <spdlog/fmt/fmt.h>

namespace dragonflylane {

namespace json = boost::json;

namespace {

    json::value renderNumber(double value)
    {
        return std::isfinite(value) ? json::value(value) : json::value();
    }

    std::string renderGoal(const Figure& figure)
    {
        if (!figure.goal)
            return {};
        return fmt::format("{} {:g} {}", figure.goal->isLowerBound ? ">=" : "<=", figure.goal->bound,
            figure.isMet() ? "met" : "MISSED");
    }

} // namespace

bool Figure::isMet() const
{
    if (!goal)
        return true;
    // An undefined value compares false with every bound and so never meets a goal.
    return goal->isLowerBound ? value >= goal->bound : value <= goal->bound;
}

void Report::add(Figure figure)
{
    m_figures.push_back(std::move(figure));
}

std::string Report::table() const
{
    std::string text = fmt::format("{} seed {} load average {:.1f}\n", m_experiment, m_seed, m_loadAverage);
    text += fmt::format("{:<48} {:>12} {:>12}  {:<10} {}\n", "figure", "value", "baseline", "unit", "goal");
    for (const Figure& figure : m_figures) {
        std::string baseline = figure.baseline ? fmt::format("{:.3f}", *figure.baseline) : "-";
        text += fmt::format("{:<48} {:>12.3f} {:>12}  {:<10} {}\n", figure.name, figure.value, baseline, figure.unit,
            renderGoal(figure));
    }
    return text;
}

std::string Report::jsonLines() const
{
    std::string text;
    for (const Figure& figure : m_figures) {
        json::object line { { "experiment", m_experiment }, { "seed", m_seed }, { "figure", figure.name },
            { "value", renderNumber(figure.value) }, { "unit", figure.unit }, { "loadAverage", m_loadAverage } };
        if (figure.baseline)
            line["baseline"] = renderNumber(*figure.baseline);
        if (figure.goal) {
            line["goal"] = figure.goal->bound;
            line["goalKind"] = figure.goal->isLowerBound ? "at-least" : "at-most";
            line["met"] = figure.isMet();
        }
        text += json::serialize(line) + "\n";
    }
    return text;
}

double machineLoadAverage()
{
    double average = 0;
    return getloadavg(&average, 1) == 1 ? average : 0;
}

} // namespace dragonflylane
