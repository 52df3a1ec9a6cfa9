/// @file
/// The commands `plans` and `allowances`.
#pragma once

#include <boost/leaf.hpp>

#include "catkintack/cli/command.hpp"
#include "catkintack/cli/command_context.hpp"
#include "catkintack/config/list_kind.hpp"

namespace catkintack::cli {

/// @brief Runs a command on a list.
/// @return The exit code, or a usage_error or config_error.
boost::leaf::result<exit_code> run_list_command(config::list_kind kind,
                                                const command_line& line,
                                                const command_context& context);

}  // namespace catkintack::cli
