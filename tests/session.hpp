/// @file
/// Golden sessions: runs a script of events against the decision core and returns its timeline.
#pragma once

#include <string>

namespace catkintack::tests {

/// @brief Runs a session script.
/// @param script One event per line; tests/golden/README.md describes the syntax.
/// @return The timeline: each event followed by the decisions and actions that it caused.
/// @throws std::runtime_error for an unknown command or a malformed line.
std::string run_session(const std::string& script);

}  // namespace catkintack::tests
