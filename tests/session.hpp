/// @file
/// Golden sessions: a script of events for the decision core, and the time line that it gives.
#pragma once

#include <string>

namespace catkintack::tests {

/// @brief Runs a session script.
/// @param script One event a line; tests/golden/README.md describes the words.
/// @return The time line: every event with the decisions and actions that followed.
std::string run_session(const std::string& script);

}  // namespace catkintack::tests
