/// @file
/// The daemons' logs: short sentences on standard error, one prefix per part, and structured lines
/// on standard output.
#pragma once

#include <string>

#include "catkintack/base/ids.hpp"

namespace catkintack::logging {

/// @brief How much is logged.
enum class log_level { debug, info, warning, error };

/// @brief Sets up the log; call once before any other function of this header.
/// @param level The least severe level shown.
/// @param host Shown on each line.
/// @param run Shown on each line.
void configure_log(log_level level, const base::host_id& host, base::incarnation run);

/// @brief Logs a sentence.
/// @param level Its severity.
/// @param part The part that speaks, for example "peers".
/// @param sentence A short sentence, without keys or bodies.
void log(log_level level, const std::string& part, const std::string& sentence);

/// @brief Sets up the output of structured lines on standard output, each written whole or not at
/// all; a pipe that is full never blocks the writer.
void configure_structured_output();

/// @brief Writes one structured line.
/// @param line The line, without its end.
void write_structured_line(const std::string& line);

}  // namespace catkintack::logging
