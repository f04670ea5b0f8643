#pragma once

// Finds the lines of a JSON text to which messages about it refer.

#include <cstddef>
#include <optional>
#include <string_view>

namespace dragonflylane {

/// Line, counted from 1, of the first byte that makes the text invalid JSON. Empty if the text is valid.
std::optional<size_t> lineOfJsonError(std::string_view json);

/// Line, counted from 1, on which an element of an array begins. The array is a member of the top-level object. Empty
/// if there is no such element. The text must be valid JSON.
std::optional<size_t> lineOfJsonElement(std::string_view json, std::string_view array, size_t index);

} // namespace dragonflylane
