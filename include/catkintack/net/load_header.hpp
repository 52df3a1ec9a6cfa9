/// @file
/// Text format of load reports in HTTP headers.
#pragma once

#include <optional>
#include <string>

#include "catkintack/routing/load_report.hpp"

namespace catkintack::net {

/// @brief Formats a load report.
/// @return For example "running=1 queued=0 leaving=0".
std::string to_text(const routing::load_report& report);

/// @brief Parses a load report.
/// @param text Value of the header.
/// @return The report, or nothing when the text is malformed.
std::optional<routing::load_report> parse_load_report(const std::string& text);

}  // namespace catkintack::net
