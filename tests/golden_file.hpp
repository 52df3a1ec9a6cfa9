/// @file
/// Golden files: recorded texts that tests compare their output with.
#pragma once

#include <filesystem>
#include <string>

namespace catkintack::tests {

/// @brief Reads a whole file.
/// @return The contents; empty if the file cannot be read.
std::string read_file(const std::filesystem::path& path);

/// @brief Formats the first differing block of two texts, with context lines.
/// @return Lines in diff format: " " common, "-" only recorded, "+" only actual; empty if equal.
std::string first_difference(const std::string& recorded, const std::string& actual);

/// @brief Fails the running test with a diff if a text differs from the recorded one.
///
/// If CATKINTACK_GOLDEN_UPDATE is set, the file is overwritten with the text first. CI never sets
/// it.
/// @param path The golden file, relative to tests/golden.
/// @param actual The text to compare.
void check_golden_file(const std::filesystem::path& path, const std::string& actual);

}  // namespace catkintack::tests
