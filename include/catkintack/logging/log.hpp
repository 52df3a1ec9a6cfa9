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

/// @brief Logs a message.
/// @param part Name of the module, for example "peers".
/// @param message A short message; must not contain customers' keys or bodies.
void log(log_level level, const std::string& part, const std::string& message);

/// @brief Configures the output of structured lines to standard output. Each line is written as a
/// whole or dropped; a full pipe never blocks the writer.
void configure_structured_output();

/// @brief Writes one structured line.
/// @param line The line, without the line break.
void write_structured_line(const std::string& line);

}  // namespace catkintack::logging
