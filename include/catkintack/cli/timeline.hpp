/// @file
/// The `timeline` command.
#pragma once

#include <boost/leaf.hpp>
#include <iosfwd>

#include "catkintack/cli/command.hpp"

namespace catkintack::cli {

/// @brief Merges the events of all listed hosts.
/// @param line The command line.
/// @param out Takes the events, one a line.
/// @return The exit code, or an error of the layers below.
boost::leaf::result<exit_code> run_timeline(const command_line& line, std::ostream& out);

}  // namespace catkintack::cli
