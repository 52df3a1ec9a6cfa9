/// @file
/// Draws events as a sequence diagram.
#pragma once

#include <string>
#include <vector>

#include "catkintack/base/event_record.hpp"

namespace catkintack::cli {

/// @brief Draws a lane per host and upstream, a row per event, and arrows for each attempt.
/// @param events Events in causal order, usually of one request.
/// @return An SVG document.
std::string timeline_svg(const std::vector<base::event_record>& events);

}  // namespace catkintack::cli
