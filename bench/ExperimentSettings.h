#pragma once

// Settings of an experiment, read from an INI file: section [experiment] with the kind and the numeric settings of this
// kind. Unknown sections and keys, duplicate keys and values that are not numbers are errors.

#include <chrono>
#include <map>
#include <string>

namespace dragonflylane {

/// After a successful read, every number of the kind is present, from the file or by default.
struct ExperimentSettings {
    std::string kind;
    std::map<std::string, double, std::less<>> numbers;

    double number(std::string_view key) const { return numbers.find(key)->second; }
    size_t count(std::string_view key) const { return static_cast<size_t>(number(key)); }
    std::chrono::nanoseconds milliseconds(std::string_view key) const
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double, std::milli>(number(key)));
    }
    std::chrono::nanoseconds seconds(std::string_view key) const { return 1000 * milliseconds(key); }
    uint64_t seed() const { return static_cast<uint64_t>(number("seed")); }
};

/// Returns an error message, empty on success.
std::string parseExperiment(const std::string& text, const std::string& name, ExperimentSettings&);
std::string readExperiment(const std::string& path, ExperimentSettings&);

} // namespace dragonflylane
