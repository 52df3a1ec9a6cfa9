/// @file
/// The text form of a load report.
#pragma once

#include <optional>
#include <string>

#include "catkintack/routing/load_report.hpp"

namespace catkintack::net {

/// @brief Writes a load report.
/// @param report The report.
/// @return For example "running=1 queued=0 leaving=0".
std::string to_text(const routing::load_report& report);

/// @brief Reads a load report.
/// @param text The header's value.
/// @return The report, or nothing for a malformed text.
std::optional<routing::load_report> parse_load_report(const std::string& text);

}  // namespace catkintack::net
