/// @file
/// Logs of the daemons: messages for people on standard error, prefixed with the name of the
/// module, and structured lines on standard output.
#pragma once

#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::logging {

/// @brief Severity of a message, and the least severe level that is logged.
enum class log_level { debug, info, warning, error };

/// @brief Configures log(). Call it once, before the first call of log().
/// @param level The least severe level that is logged.
/// @param host Included in each line.
/// @param run Incarnation of the daemon; included in each line.
void configure_log(log_level level, const base::host_id& host, base::incarnation run);

/// @brief Logs a message, or drops it if the reader of standard error leaves no room. The next
/// message then says how many were dropped.
/// @param part Name of the module, for example "peers".
/// @param message A short message; must not contain customers' keys or bodies.
void log(log_level level, const std::string& part, const std::string& message);

/// @brief Configures the output of structured lines to standard output. A reader that is too slow
/// or stopped never blocks the writer. Call it once, before the first line.
void configure_structured_output();

/// @brief Writes one structured line. Call it from one thread only.
/// @param line The line, without the line break.
/// @return False if the line was dropped because the reader leaves no room.
bool write_structured_line(const std::string& line);

}  // namespace catkintack::logging
