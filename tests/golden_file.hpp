/// @file
/// Golden files: recorded texts that a test compares with what it got.
#pragma once

#include <filesystem>
#include <string>

namespace catkintack::tests {

/// @brief Reads a whole file.
/// @param path The file.
/// @return Its text; empty when it cannot be read.
std::string read_file(const std::filesystem::path& path);

/// @brief Shows the first lines that differ, with context.
/// @param recorded The recorded text.
/// @param actual The text got.
/// @return Lines in the manner of diff: " " same, "-" only recorded, "+" only got; empty if equal.
std::string first_difference(const std::string& recorded, const std::string& actual);

/// @brief Fails the running test with a diff unless a text equals the recorded one.
///
/// With CATKINTACK_GOLDEN_UPDATE set it records the text anew; CI never sets it.
/// @param path The golden file; relative to tests/golden.
/// @param actual The text got.
void check_golden_file(const std::filesystem::path& path, const std::string& actual);

}  // namespace catkintack::tests
