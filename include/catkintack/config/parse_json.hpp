/// @file
/// Parses JSON written by other programs.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace catkintack::config {

/// Deepest nesting of arrays and objects that parse_json accepts.
inline constexpr int max_json_depth = 64;

/// @brief Parses JSON of limited depth.
///
/// Each level needs memory many times its size, and copying or writing a value needs a stack frame
/// for each level, so that a deeply nested value could end the process.
/// @return The value.
/// @throws nlohmann::json::exception if the text is malformed or nested deeper than max_json_depth.
nlohmann::json parse_json(const std::string& text);

/// @brief Returns a value as a whole number.
///
/// nlohmann-json itself converts booleans and negative, fractional and too large numbers to other
/// numbers without an error.
/// @return Nothing if the value is not a whole number from min to max.
std::optional<std::uint64_t> whole_number(const nlohmann::json& value,
                                          std::uint64_t min,
                                          std::uint64_t max);

}  // namespace catkintack::config
